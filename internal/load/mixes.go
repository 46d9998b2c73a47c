package load

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// ErrUnknownExample is returned for an example that is not shipped.
var ErrUnknownExample = errors.New("unknown example, there are rijksbureau and vysocina")

// DefaultScale divides the slots of the users' targets so that one machine carries them.
const DefaultScale = 10

const (
	kib         = 1 << 10
	mib         = 1 << 20
	archivePace = 2 * mib
	ms          = time.Millisecond
)

// Services of the two examples.
const (
	serviceLogboek     = "logboek"
	serviceKeuring     = "keuring"
	serviceCertificaat = "certificaat"
	serviceAlarm       = "alarm"
	serviceVitrina     = "vitrina"
	servicePokladna    = "pokladna"
	serviceArchiv      = "archiv"
	serviceKalendar    = "kalendar"
)

// FindExample returns the example of that name at the default scale, or ErrUnknownExample.
func FindExample(name string) (Example, error) {
	for _, example := range []Example{rijksbureau(), vysocina()} {
		if example.Name == name {
			return example, nil
		}
	}

	return Example{}, errors.Wrapf(ErrUnknownExample, "find %q", name)
}

// In both mixes the vital kinds alone need less than the slots of any service, even at three times the capacity.

func rijksbureau() Example {
	return Example{
		Name:        "rijksbureau",
		DataCentres: []string{"hal-a", "hal-b", "hal-c", "hal-d"},
		Deep:        serviceLogboek,
		Scale:       DefaultScale,
		Services: []Service{
			{Name: serviceLogboek, Targets: 5, Slots: 130, Connections: 860},
			{Name: serviceKeuring, Targets: 5, Slots: 130, Connections: 860},
			{Name: serviceCertificaat, Targets: 4, Slots: 160, Connections: 1000},
			{Name: serviceAlarm, Targets: 4, Slots: 20, Connections: 230},
		},
		Kinds: []Kind{
			{Name: "reading", Service: serviceLogboek, Method: http.MethodPost, Path: "/cells/%d/readings", Share: 0.30, Class: call.ClassHigh, Bytes: kib, Work: 60 * ms, Deadline: 1500 * ms},
			{Name: "readings", Service: serviceLogboek, Method: http.MethodGet, Path: "/cells/%d/readings/day", Share: 0.22, Class: call.ClassNormal, Bytes: 4 * kib, Work: 80 * ms, Deadline: 2 * time.Second},
			{Name: "export", Service: serviceLogboek, Method: http.MethodGet, Path: "/export/%d", Share: 0.06, Class: call.ClassBulk, Bytes: 64 * kib, Work: 300 * ms, Deadline: 5 * time.Second},
			{Name: "signOff", Service: serviceKeuring, Method: http.MethodPost, Path: "/signoffs", Share: 0.06, Class: call.ClassVital, Once: true, Bytes: kib, Work: 120 * ms, Deadline: 4 * time.Second, Calls: []string{"readings"}},
			{Name: "inspection", Service: serviceKeuring, Method: http.MethodGet, Path: "/inspections/%d", Share: 0.08, Class: call.ClassNormal, Bytes: 2 * kib, Work: 100 * ms, Deadline: 2 * time.Second, Calls: []string{"readings"}},
			{Name: "register", Service: serviceKeuring, Method: http.MethodGet, Path: "/register/%d", Share: 0.06, Class: call.ClassBulk, Bytes: 32 * kib, Work: 160 * ms, Deadline: 2 * time.Second},
			{Name: "archive", Service: serviceCertificaat, Method: http.MethodGet, Path: "/certificates/%d/archive", Share: 0.02, Class: call.ClassNormal, Archive: true, Bytes: 2 * mib, Deadline: 20 * time.Second},
			{Name: "issue", Service: serviceCertificaat, Method: http.MethodPost, Path: "/certificates", Share: 0.03, Class: call.ClassHigh, Once: true, Bytes: kib, Work: 120 * ms, Deadline: 5 * time.Second, Calls: []string{"inspection"}},
			{Name: "status", Service: serviceCertificaat, Method: http.MethodGet, Path: "/certificates/%d", Share: 0.09, Class: call.ClassNormal, Bytes: kib, Work: 60 * ms, Deadline: 2 * time.Second},
			{Name: "raise", Service: serviceAlarm, Method: http.MethodPost, Path: "/alarms", Share: 0.02, Class: call.ClassVital, Once: true, Bytes: kib, Work: 60 * ms, Deadline: time.Second},
			{Name: "acknowledge", Service: serviceAlarm, Method: http.MethodPut, Path: "/alarms/%d/acknowledged", Share: 0.02, Class: call.ClassVital, Bytes: kib, Work: 40 * ms, Deadline: time.Second},
			{Name: "list", Service: serviceAlarm, Method: http.MethodGet, Path: "/alarms/%d", Share: 0.04, Class: call.ClassHigh, Bytes: 4 * kib, Work: 80 * ms, Deadline: 2 * time.Second, Calls: []string{"readings"}},
		},
	}
}

func vysocina() Example {
	return Example{
		Name:        "vysocina",
		DataCentres: []string{"jihlava", "trebic", "pelhrimov", "zdar"},
		Deep:        serviceKalendar,
		Scale:       DefaultScale,
		Services: []Service{
			{Name: serviceVitrina, Targets: 5, Slots: 50, Connections: 420},
			{Name: servicePokladna, Targets: 4, Slots: 50, Connections: 420},
			{Name: serviceArchiv, Targets: 4, Slots: 50, Connections: 420},
			{Name: serviceKalendar, Targets: 4, Slots: 20, Connections: 230},
		},
		Kinds: []Kind{
			{Name: "stock", Service: serviceVitrina, Method: http.MethodGet, Path: "/stock/%d", Share: 0.36, Class: call.ClassBulk, Bytes: 8 * kib, Work: 60 * ms, Deadline: 2 * time.Second},
			{Name: "dates", Service: serviceVitrina, Method: http.MethodGet, Path: "/dates/%d", Share: 0.15, Class: call.ClassBulk, Bytes: 2 * kib, Work: 50 * ms, Deadline: 2 * time.Second, Calls: []string{"plan"}},
			{Name: "booking", Service: serviceVitrina, Method: http.MethodPost, Path: "/bookings", Share: 0.06, Class: call.ClassHigh, Once: true, Bytes: kib, Work: 120 * ms, Deadline: 3 * time.Second, Calls: []string{"plan"}},
			{Name: "confirmation", Service: serviceVitrina, Method: http.MethodGet, Path: "/bookings/%d", Share: 0.06, Class: call.ClassHigh, Bytes: kib, Work: 50 * ms, Deadline: 2 * time.Second},
			{Name: "deposit", Service: servicePokladna, Method: http.MethodPost, Path: "/deposits", Share: 0.06, Class: call.ClassVital, Once: true, Bytes: kib, Work: 120 * ms, Deadline: 5 * time.Second, Calls: []string{"plan"}},
			{Name: "receipt", Service: servicePokladna, Method: http.MethodGet, Path: "/deposits/%d", Share: 0.05, Class: call.ClassHigh, Bytes: kib, Work: 50 * ms, Deadline: 2 * time.Second},
			{Name: "drawing", Service: serviceArchiv, Method: http.MethodGet, Path: "/drawings/%d", Share: 0.03, Class: call.ClassBulk, Archive: true, Bytes: mib, Deadline: 15 * time.Second},
			{Name: "index", Service: serviceArchiv, Method: http.MethodGet, Path: "/index/%d", Share: 0.04, Class: call.ClassBulk, Bytes: 16 * kib, Work: 60 * ms, Deadline: 2 * time.Second},
			{Name: "loadingList", Service: serviceKalendar, Method: http.MethodGet, Path: "/loading-lists/%d", Share: 0.11, Class: call.ClassHigh, Bytes: 4 * kib, Work: 60 * ms, Deadline: 1500 * ms},
			{Name: "loaded", Service: serviceKalendar, Method: http.MethodPost, Path: "/loading-lists/%d/loaded", Share: 0.04, Class: call.ClassVital, Once: true, Bytes: kib, Work: 60 * ms, Deadline: 2 * time.Second},
			{Name: "plan", Service: serviceKalendar, Method: http.MethodGet, Path: "/plan/%d", Share: 0.04, Class: call.ClassNormal, Bytes: 2 * kib, Work: 60 * ms, Deadline: 2 * time.Second},
		},
	}
}
