package claim

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// ErrBadTicket means that a text is not a valid ticket.
var ErrBadTicket = errors.New("not a ticket")

const (
	ticketParts = 3
	ticketBase  = 36
)

// Ticket identifies a once operation and its home, the only node incarnation that may run it.
type Ticket struct {
	Op          call.ID `json:"op"`
	Node        string  `json:"node"`
	Incarnation uint64  `json:"incarnation"`
}

// String returns the text form that callers receive.
func (t Ticket) String() string {
	return string(t.Op) + "." + strconv.FormatUint(t.Incarnation, ticketBase) + "." + t.Node
}

// ParseTicket parses the form that String returns. The error is ErrBadTicket if the text is not valid.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.SplitN(text, ".", ticketParts)
	if len(parts) != ticketParts || parts[2] == "" {
		return Ticket{}, errors.Wrapf(ErrBadTicket, "parse %q", text)
	}
	incarnation, err := strconv.ParseUint(parts[1], ticketBase, 64)
	if err != nil || incarnation == 0 {
		return Ticket{}, errors.Wrapf(ErrBadTicket, "read incarnation of %q", text)
	}
	op := call.ID(parts[0])
	if _, err := op.CreatedAt(); err != nil {
		return Ticket{}, errors.Wrapf(ErrBadTicket, "read operation of %q", text)
	}

	return Ticket{Op: op, Node: parts[2], Incarnation: incarnation}, nil
}
