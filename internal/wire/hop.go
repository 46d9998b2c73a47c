package wire

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Headers between the entry and the executing node of a routed request, never accepted from a caller.
const (
	HeaderHop    = Prefix + "Hop"
	HeaderReport = Prefix + "Report"
)

// ErrBadHop is returned for a request from a peer whose hop header cannot be read.
var ErrBadHop = errors.New("hop header cannot be read")

const (
	fieldSeparator = ";"
	listSeparator  = ","
	pairSeparator  = "="
	hopFields      = 9
	reportFields   = 13
)

// Hop is what an entry tells the executing node about a routed request.
type Hop struct {
	Route   string
	Service string
	// Caller is the service of the VM where the request began.
	Caller string
	// Remaining is the time left for an answer.
	Remaining time.Duration
	// Rank orders the request in the queue, the lowest first.
	Rank int
	// Once says that the request must not run twice.
	Once     bool
	Attempt  int
	Revision uint64
	// LevelEstimate is the admission level of the service as the entry believes it, negative for none.
	LevelEstimate float64
}

// Key names the route at its service.
func (h Hop) Key() string {
	return RouteKey(h.Route, h.Service)
}

// RouteKey names a route at one of its services.
func RouteKey(route, service string) string {
	return route + "@" + service
}

// SetHop writes the hop into the request's headers.
func SetHop(header *protocol.RequestHeader, hop Hop) {
	header.Set(HeaderHop, strings.Join([]string{
		url.QueryEscape(hop.Route),
		url.QueryEscape(hop.Service),
		url.QueryEscape(hop.Caller),
		strconv.FormatInt(hop.Remaining.Milliseconds(), 10),
		strconv.Itoa(hop.Rank),
		flag(hop.Once),
		strconv.Itoa(hop.Attempt),
		strconv.FormatUint(hop.Revision, 10),
		decimals(hop.LevelEstimate),
	}, fieldSeparator))
}

// ParseHop reads the hop of a request, ErrBadHop if there is none that can be read.
func ParseHop(header *protocol.RequestHeader) (Hop, error) {
	parts := strings.Split(string(header.Peek(HeaderHop)), fieldSeparator)
	if len(parts) != hopFields {
		return Hop{}, errors.Wrapf(ErrBadHop, "%d fields", len(parts))
	}
	r := fieldReader{parts: parts}
	hop := Hop{
		Route:         r.text(),
		Service:       r.text(),
		Caller:        r.text(),
		Remaining:     time.Duration(r.number()) * time.Millisecond,
		Rank:          int(r.number()),
		Once:          r.number() == 1,
		Attempt:       int(r.number()),
		Revision:      uint64(r.number()),
		LevelEstimate: r.fraction(),
	}

	return hop, r.err
}

// Report is what an executing node tells the entry with each answer.
type Report struct {
	Outcome call.Outcome
	Reason  call.Reason
	// State is the one of the node in membership.
	State    string
	Running  int
	Waiting  int
	Slots    int
	Revision uint64
	Origin   fanout.Origin
	// LocalFault says that a failed answer cannot be put down to the calls that the backend server made.
	LocalFault bool
	// IntegralLevel is the level of the node's service without its passing part.
	IntegralLevel float64
	// Levels are those of the node's service and of the services that the route needs.
	Levels []shed.Level
	// NeedsKnown says that Needs are known, be they none.
	NeedsKnown bool
	Needs      []fanout.Need
}

// SetReport writes the report into the answer's headers.
func SetReport(header *protocol.ResponseHeader, report Report) {
	levels := make([]string, 0, len(report.Levels))
	for _, level := range report.Levels {
		levels = append(levels, pair(level.Service, level.Value))
	}
	needs := make([]string, 0, len(report.Needs))
	for _, need := range report.Needs {
		needs = append(needs, pair(need.Service, need.Calls))
	}
	header.Set(HeaderReport, strings.Join([]string{
		string(report.Outcome),
		string(report.Reason),
		report.State,
		strconv.Itoa(report.Running),
		strconv.Itoa(report.Waiting),
		strconv.Itoa(report.Slots),
		strconv.FormatUint(report.Revision, 10),
		strconv.Itoa(int(report.Origin)),
		flag(report.LocalFault),
		decimals(report.IntegralLevel),
		strings.Join(levels, listSeparator),
		flag(report.NeedsKnown),
		strings.Join(needs, listSeparator),
	}, fieldSeparator))
}

// ParseReport reads the report of an answer and whether there was one that can be read.
func ParseReport(header *protocol.ResponseHeader) (Report, bool) {
	parts := strings.Split(string(header.Peek(HeaderReport)), fieldSeparator)
	if len(parts) != reportFields {
		return Report{}, false
	}
	r := fieldReader{parts: parts}
	report := Report{
		Outcome:       call.Outcome(r.text()),
		Reason:        call.Reason(r.text()),
		State:         r.text(),
		Running:       int(r.number()),
		Waiting:       int(r.number()),
		Slots:         int(r.number()),
		Revision:      uint64(r.number()),
		Origin:        fanout.Origin(r.number()),
		LocalFault:    r.number() == 1,
		IntegralLevel: r.fraction(),
	}
	r.pairs(func(name string, value float64) {
		report.Levels = append(report.Levels, shed.Level{Service: name, Value: value})
	})
	report.NeedsKnown = r.number() == 1
	r.pairs(func(name string, value float64) {
		report.Needs = append(report.Needs, fanout.Need{Service: name, Calls: value})
	})

	return report, r.err == nil && report.Outcome.Valid()
}

func flag(set bool) string {
	if set {
		return "1"
	}

	return "0"
}

// pair states two decimals, which is finer than any of the figures is known.
func pair(name string, value float64) string {
	return url.QueryEscape(name) + pairSeparator + decimals(value)
}

func decimals(value float64) string {
	return strconv.FormatFloat(value, 'f', 2, 64)
}

// fieldReader takes fields in their order and keeps the first error.
type fieldReader struct {
	parts []string
	err   error
}

func (r *fieldReader) next() string {
	part := r.parts[0]
	r.parts = r.parts[1:]

	return part
}

func (r *fieldReader) text() string {
	value, err := url.QueryUnescape(r.next())
	r.fail(err)

	return value
}

func (r *fieldReader) number() int64 {
	value, err := strconv.ParseInt(r.next(), 10, 64)
	r.fail(err)

	return value
}

func (r *fieldReader) fraction() float64 {
	value, err := strconv.ParseFloat(r.next(), 64)
	r.fail(err)

	return value
}

func (r *fieldReader) pairs(take func(name string, value float64)) {
	list := r.next()
	if list == "" {
		return
	}
	for entry := range strings.SplitSeq(list, listSeparator) {
		name, text, _ := strings.Cut(entry, pairSeparator)
		value, err := strconv.ParseFloat(text, 64)
		r.fail(err)
		name, err = url.QueryUnescape(name)
		r.fail(err)
		take(name, value)
	}
}

func (r *fieldReader) fail(err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrapf(ErrBadHop, "%v", err)
	}
}
