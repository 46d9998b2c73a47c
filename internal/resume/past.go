package resume

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

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
}

func encode(past beat.Past) ([]byte, error) {
	r := past.Report
	text, err := json.Marshal(row{
		ID: r.ID, Service: r.Service, Address: r.Address, Born: r.Born, Sequence: r.Sequence, Slots: r.Slots,
		Left: past.Left, At: past.At,
	})

	return text, errors.Wrap(err, "encode the backend server's row")
}

func decode(text []byte) (beat.Past, error) {
	var r row
	if err := json.Unmarshal(text, &r); err != nil {
		return beat.Past{}, errors.Wrap(err, "decode the backend server's row")
	}

	return beat.Past{
		Report: beat.Report{
			ID: r.ID, Service: r.Service, Address: r.Address, Born: r.Born, Sequence: r.Sequence, Slots: r.Slots,
		},
		Left: r.Left,
		At:   r.At,
	}, nil
}

// same reports whether two pasts have the same consequences after a restart.
func same(a, b beat.Past) bool {
	return a.Report.ID == b.Report.ID && a.Report.Born.Equal(b.Report.Born) && a.Report.Slots == b.Report.Slots && a.Left == b.Left
}
