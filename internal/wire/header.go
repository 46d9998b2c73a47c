package wire

import "strings"

// Headers that callers and backend servers send or receive, described in docs/INTERFACE.md.
const (
	HeaderService    = "Pistachiotack-Service"
	HeaderCaller     = "Pistachiotack-Caller"
	HeaderTimeout    = "Pistachiotack-Timeout"
	HeaderParent     = "Pistachiotack-Parent"
	HeaderOperation  = "Pistachiotack-Operation"
	HeaderOutcome    = "Pistachiotack-Outcome"
	HeaderLoad       = "Pistachiotack-Load"
	HeaderDraining   = "Pistachiotack-Draining"
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterDuration carries the delay of Retry-After as a Go duration, to the millisecond.
	HeaderRetryAfterDuration = "Pistachiotack-Retry-After"
	HeaderIdempotencyKey     = "Idempotency-Key"
	// HeaderTicket carries the ticket of a once operation (one that must not run twice) in responses to the caller that holds it.
	HeaderTicket = "Pistachiotack-Ticket"
)

// Headers between nodes. They are not accepted from callers.
const (
	HeaderEnvelope = "Pistachiotack-Envelope"
	HeaderFeedback = "Pistachiotack-Feedback"
)

// QueryTicket is the query parameter with which a caller retries a once operation.
const QueryTicket = "pistachiotackTicket"

// Prefix is the prefix of all headers that this package defines, except the standard ones.
const Prefix = "Pistachiotack-"

var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// EndToEnd reports whether a header, given in canonical form, is not hop-by-hop.
func EndToEnd(name string) bool {
	return !hopByHop[name]
}

// Forwarded reports whether a header, given in canonical form, is end-to-end and none of the headers with Prefix.
func Forwarded(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, Prefix)
}
