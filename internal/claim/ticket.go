package claim

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// ErrBadTicket is returned for text that is no ticket.
var ErrBadTicket = errors.New("not a ticket")

const (
	ticketParts = 3
	ticketBase  = 36
)

// Ticket names a once operation and the one process that may run it, its home.
type Ticket struct {
	Op          call.ID `json:"op"`
	Node        string  `json:"node"`
	Incarnation uint64  `json:"incarnation"`
}

// String returns the form that callers see.
func (t Ticket) String() string {
	return string(t.Op) + "." + strconv.FormatUint(t.Incarnation, ticketBase) + "." + t.Node
}

// ParseTicket reads a ticket, ErrBadTicket if the text is none.
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
