package wire

import (
	"math"
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

// Headers of a routed request between the entry node, which received it from the caller, and the executing node, beside the
// backend server that runs it. They are not accepted from callers.
const (
	HeaderHop    = Prefix + "Hop"
	HeaderReport = Prefix + "Report"
)

// ErrBadHop is returned if the hop header of a request from a peer is missing or malformed.
var ErrBadHop = errors.New("hop header cannot be read")

const (
	fieldSeparator = ";"
	listSeparator  = ","
	pairSeparator  = "="
	hopFields      = 9
	reportFields   = 13
)

// Hop is what the entry node sends to the executing node with a routed request.
type Hop struct {
	Route   string
	Service string
	// Caller is the service on the VM of the entry node.
	Caller string
	// Remaining is the time left until the response is due.
	Remaining time.Duration
	// Rank is the position of the request in the order of the queue, the lowest first.
	Rank int
	// Once is set if the request must not run twice.
	Once    bool
	Attempt int
	// Revision is the version of the route table at the entry node.
	Revision uint64
	// LevelEstimate is the entry node's estimate of the admission level of the service, the share of the demand that the service can
	// take, from 0 to 1. It is negative if the entry node has none.
	LevelEstimate float64
}

// Key returns the RouteKey of the hop.
func (h Hop) Key() string {
	return RouteKey(h.Route, h.Service)
}

// RouteKey returns the key of a route at one of its services.
func RouteKey(route, service string) string {
	return route + "@" + service
}

// SetHop sets the hop header of a request.
func SetHop(header *protocol.RequestHeader, hop Hop) {
	SetField(header, HeaderHop, strings.Join([]string{
		url.QueryEscape(hop.Route),
		url.QueryEscape(hop.Service),
		url.QueryEscape(hop.Caller),
		strconv.FormatInt(hop.Remaining.Milliseconds(), 10),
		strconv.Itoa(hop.Rank),
		formatFlag(hop.Once),
		strconv.Itoa(hop.Attempt),
		strconv.FormatUint(hop.Revision, 10),
		formatDecimal(hop.LevelEstimate),
	}, fieldSeparator))
}

// ParseHop parses the hop header of a request. It returns ErrBadHop if the header is missing or malformed.
func ParseHop(header *protocol.RequestHeader) (Hop, error) {
	parts := strings.Split(string(header.Peek(HeaderHop)), fieldSeparator)
	if len(parts) < hopFields {
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
		LevelEstimate: r.decimal(),
	}

	return hop, r.err
}

// Report is what the executing node sends to the entry node with each response.
type Report struct {
	Outcome call.Outcome
	Reason  call.Reason
	// State is the membership state of the executing node.
	State   string
	Running int
	Waiting int
	Slots   int
	// Revision is the version of the route table at the executing node.
	Revision uint64
	Origin   fanout.Origin
	// LocalFault is set if an error response cannot be due to a failed call that the backend server made.
	LocalFault bool
	// IntegralLevel is the integral part of the admission level of the node's service, without the proportional part that varies
	// with the current load.
	IntegralLevel float64
	// Levels are the admission levels of the node's service, of the services that the route calls and of the most loaded services.
	Levels []shed.Level
	// NeedsKnown is set if Needs has been estimated. Needs may be empty nonetheless.
	NeedsKnown bool
	Needs      []fanout.Need
}

// SetReport sets the report header of a response.
func SetReport(header *protocol.ResponseHeader, report Report) {
	levels := make([]string, 0, len(report.Levels))
	for _, level := range report.Levels {
		levels = append(levels, formatPair(level.Service, level.Value))
	}
	needs := make([]string, 0, len(report.Needs))
	for _, need := range report.Needs {
		needs = append(needs, formatPair(need.Service, need.Calls))
	}
	SetField(header, HeaderReport, strings.Join([]string{
		string(report.Outcome),
		string(report.Reason),
		report.State,
		strconv.Itoa(report.Running),
		strconv.Itoa(report.Waiting),
		strconv.Itoa(report.Slots),
		strconv.FormatUint(report.Revision, 10),
		strconv.Itoa(int(report.Origin)),
		formatFlag(report.LocalFault),
		formatDecimal(report.IntegralLevel),
		strings.Join(levels, listSeparator),
		formatFlag(report.NeedsKnown),
		strings.Join(needs, listSeparator),
	}, fieldSeparator))
}

// ParseReport parses the report header of a response. It returns false if the header is missing or malformed.
func ParseReport(header *protocol.ResponseHeader) (Report, bool) {
	parts := strings.Split(string(header.Peek(HeaderReport)), fieldSeparator)
	if len(parts) < reportFields {
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
		IntegralLevel: r.decimal(),
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

func formatFlag(set bool) string {
	if set {
		return "1"
	}

	return "0"
}

// formatPair formats a name and a value with two decimals, which is more than the accuracy of the values.
func formatPair(name string, value float64) string {
	return url.QueryEscape(name) + pairSeparator + formatDecimal(value)
}

func formatDecimal(value float64) string {
	return strconv.FormatFloat(value, 'f', 2, 64)
}

// fieldReader parses the fields of a header in order and keeps the first error.
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
	r.setError(err)

	return value
}

func (r *fieldReader) number() int64 {
	value, err := strconv.ParseInt(r.next(), 10, 64)
	r.setError(err)

	return value
}

func (r *fieldReader) decimal() float64 {
	return r.parseDecimal(r.next())
}

// parseDecimal refuses values that are not finite: averages that take one in never return to a number.
func (r *fieldReader) parseDecimal(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = errors.Newf("%s is not finite", text)
	}
	r.setError(err)

	return value
}

func (r *fieldReader) pairs(add func(name string, value float64)) {
	list := r.next()
	if list == "" {
		return
	}
	for entry := range strings.SplitSeq(list, listSeparator) {
		name, text, _ := strings.Cut(entry, pairSeparator)
		value := r.parseDecimal(text)
		name, err := url.QueryUnescape(name)
		r.setError(err)
		add(name, value)
	}
}

func (r *fieldReader) setError(err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrapf(ErrBadHop, "%v", err)
	}
}
