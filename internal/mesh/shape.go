package mesh

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
)

// Names of the shipped examples.
const (
	Rijksbureau = "rijksbureau"
	Vysocina    = "vysocina"
)

// ErrUnknownExample is returned for a name that is not shipped.
var ErrUnknownExample = errors.New("unknown example")

// Service is one service of a fleet, with the stand-ins for its backend servers.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Routes  []fake.Route
	// Paths are the paths to call for each route, in the same order.
	Paths []string
}

// Sizes of answers in bytes.
const (
	smallAnswer   = 512
	listAnswer    = 16 << 10
	archiveAnswer = 4 << 20
)

// Service times of the stand-ins.
const (
	shortWork = 4 * time.Millisecond
	longWork  = 10 * time.Millisecond
)

const (
	get  = "GET"
	post = "POST"
)

// Example returns the services of a shipped example, each target scaled down tenfold in slots.
func Example(name string) ([]Service, error) {
	switch name {
	case Rijksbureau:
		return rijksbureau(), nil
	case Vysocina:
		return vysocina(), nil
	default:
		return nil, errors.Wrapf(ErrUnknownExample, "%q", name)
	}
}

func rijksbureau() []Service {
	return []Service{
		{Name: "logboek", Targets: 5, Slots: 13, Routes: []fake.Route{
			{Method: post, Prefix: "/cells/", Work: shortWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/cells/", Work: longWork, Bytes: listAnswer},
			{Method: get, Prefix: "/export/", Work: longWork, Bytes: listAnswer},
		}, Paths: []string{"/cells/7/readings", "/cells/7/readings/today", "/export/2026"}},
		{Name: "keuring", Targets: 5, Slots: 13, Routes: []fake.Route{
			{Method: post, Prefix: "/signoffs", Work: longWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/inspections/", Work: longWork, Bytes: listAnswer},
			{Method: get, Prefix: "/register/", Work: longWork, Bytes: listAnswer},
		}, Paths: []string{"/signoffs", "/inspections/12", "/register/2026"}},
		{Name: "certificaat", Targets: 4, Slots: 16, Routes: []fake.Route{
			{Method: get, Prefix: "/certificates/", Work: shortWork, Bytes: archiveAnswer, Archive: true},
			{Method: post, Prefix: "/certificates", Work: longWork, Bytes: smallAnswer},
		}, Paths: []string{"/certificates/3/archive", "/certificates"}},
		{Name: "alarm", Targets: 4, Slots: 2, Routes: []fake.Route{
			{Method: post, Prefix: "/alarms", Work: shortWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/alarms", Work: shortWork, Bytes: smallAnswer},
		}, Paths: []string{"/alarms", "/alarms"}},
	}
}

func vysocina() []Service {
	return []Service{
		{Name: "vitrina", Targets: 5, Slots: 5, Routes: []fake.Route{
			{Method: get, Prefix: "/", Work: longWork, Bytes: listAnswer},
		}, Paths: []string{"/stock/marquees"}},
		{Name: "pokladna", Targets: 4, Slots: 5, Routes: []fake.Route{
			{Method: post, Prefix: "/", Work: longWork, Bytes: smallAnswer},
		}, Paths: []string{"/deposits"}},
		{Name: "archiv", Targets: 4, Slots: 5, Routes: []fake.Route{
			{Method: get, Prefix: "/", Work: shortWork, Bytes: archiveAnswer, Archive: true},
		}, Paths: []string{"/drawings/marquee-12"}},
		{Name: "kalendar", Targets: 4, Slots: 2, Routes: []fake.Route{
			{Method: get, Prefix: "/", Work: shortWork, Bytes: smallAnswer},
		}, Paths: []string{"/dates/2026-06"}},
	}
}
