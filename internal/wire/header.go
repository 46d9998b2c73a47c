package wire

import "strings"

// Headers that callers and backend servers may send or will see; docs/INTERFACE.md describes each.
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
	// HeaderRetryAfterDuration carries the same wait as Retry-After as a Go duration.
	HeaderRetryAfterDuration = "Pistachiotack-Retry-After"
	HeaderIdempotencyKey     = "Idempotency-Key"
	// HeaderTicket names the ticket of a once operation on the answers to a caller that holds it.
	HeaderTicket = "Pistachiotack-Ticket"
)

// Headers between nodes, never accepted from a caller.
const (
	HeaderEnvelope = "Pistachiotack-Envelope"
	HeaderFeedback = "Pistachiotack-Feedback"
)

// QueryTicket is the query parameter by which a caller repeats a once operation.
const QueryTicket = "pistachiotackTicket"

// Prefix starts every header of the product.
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

// EndToEnd reports whether a header, in its canonical form, concerns more than one connection.
func EndToEnd(name string) bool {
	return !hopByHop[name]
}

// Forwarded reports whether a header, in its canonical form, is passed on unchanged.
func Forwarded(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, Prefix)
}
