package resume

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

// row is a beat.Past as the table keeps it.
type row struct {
	ID      string    `json:"id"`
	Service string    `json:"service"`
	Address string    `json:"address"`
	Born    time.Time `json:"born"`
	// Sequence is that of the last heartbeat when the row was written; later ones do not change the row.
	Sequence uint64    `json:"sequence"`
	Slots    int       `json:"slots"`
	Left     bool      `json:"left,omitempty"`
	At       time.Time `json:"at"`
	// Demand is what was known of call trees at the time KeptAt.
	Demand demand.Snapshot `json:"demand"`
	KeptAt time.Time       `json:"keptAt"`
}

// state is all that is kept.
type state struct {
	past   beat.Snapshot
	demand demand.Snapshot
	keptAt time.Time
}

// rowMost is the size in bytes from which a row is kept without what is known of call trees; the platform takes 64 KiB.
const rowMost = 32 << 10

// encode returns the row, without what is known of call trees if it would be too long.
func encode(s state) ([]byte, error) {
	text, err := marshal(s)
	if err != nil || len(text) <= rowMost {
		return text, err
	}
	s.demand = demand.Snapshot{}

	return marshal(s)
}

func marshal(s state) ([]byte, error) {
	past, r := s.past, s.past.Heartbeat
	text, err := json.Marshal(row{
		ID: r.ID, Service: r.Service, Address: r.Address, Born: r.StartedAt, Sequence: r.Sequence, Slots: r.Slots,
		Left: past.Left, At: past.AsOf, Demand: s.demand, KeptAt: s.keptAt,
	})

	return text, errors.Wrap(err, "encode the node's row")
}

func decode(text []byte) (state, error) {
	var r row
	if err := json.Unmarshal(text, &r); err != nil {
		return state{}, errors.Wrap(err, "decode the node's row")
	}
	past := beat.Snapshot{
		Heartbeat: beat.Heartbeat{
			ID: r.ID, Service: r.Service, Address: r.Address, StartedAt: r.Born, Sequence: r.Sequence, Slots: r.Slots,
		},
		Left: r.Left,
		AsOf: r.At,
	}

	return state{past: past, demand: r.Demand, keptAt: r.KeptAt}, nil
}

// same reports whether two pasts have the same consequences after a restart.
func same(a, b beat.Snapshot) bool {
	return a.Heartbeat.ID == b.Heartbeat.ID && a.Heartbeat.StartedAt.Equal(b.Heartbeat.StartedAt) && a.Heartbeat.Slots == b.Heartbeat.Slots && a.Left == b.Left
}
