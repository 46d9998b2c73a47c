package resume

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

// row is the stored form of a node's state.
type row struct {
	ID        string    `json:"id"`
	Service   string    `json:"service"`
	Address   string    `json:"address"`
	StartedAt time.Time `json:"born"`
	// Sequence is the sequence number of the last heartbeat when the row was written; later heartbeats don't cause a new write.
	Sequence uint64    `json:"sequence"`
	Slots    int       `json:"slots"`
	Left     bool      `json:"left,omitempty"`
	AsOf     time.Time `json:"at"`
	// RateLimit is in calls per second, nil for none and in rows of earlier builds.
	RateLimit *float64 `json:"rateLimit,omitempty"`
	// Demand holds the demand estimates at the time SavedAt.
	Demand  demand.Snapshot `json:"demand"`
	SavedAt time.Time       `json:"keptAt"`
	// Revision is the version of the routes in force, and Era the era of the store, when the row was written; rows of earlier builds
	// have neither.
	Revision uint64  `json:"revision,omitempty"`
	Era      *uint64 `json:"era,omitempty"`
}

// state is the state that is saved.
type state struct {
	backend beat.Snapshot
	demand  demand.Snapshot
	savedAt time.Time
	// revision is the version of the routes in force, and era the era of the table, nil if unknown.
	revision uint64
	era      *uint64
}

// maxRowBytes is the maximum size of a row with demand estimates, which are left out of a larger row. The platform's limit is 64 KiB.
const maxRowBytes = 32 << 10

// encode returns the encoded row, without the demand estimates if it would exceed maxRowBytes.
func encode(s state) ([]byte, error) {
	text, err := marshal(s)
	if err != nil || len(text) <= maxRowBytes {
		return text, err
	}
	s.demand = demand.Snapshot{}

	return marshal(s)
}

func marshal(s state) ([]byte, error) {
	snapshot, r := s.backend, s.backend.Heartbeat
	var rateLimit *float64
	if snapshot.RateLimit.Stated() {
		rateLimit = new(snapshot.RateLimit.CallsPerSecond())
	}
	text, err := json.Marshal(row{
		ID: r.ID, Service: r.Service, Address: r.Address, StartedAt: r.StartedAt, Sequence: r.Sequence, Slots: r.Slots,
		Left: snapshot.Left, AsOf: snapshot.AsOf, RateLimit: rateLimit, Demand: s.demand, SavedAt: s.savedAt,
		Revision: s.revision, Era: s.era,
	})

	return text, errors.Wrap(err, "encode the node's row")
}

func decode(text []byte) (state, error) {
	var r row
	if err := json.Unmarshal(text, &r); err != nil {
		return state{}, errors.Wrap(err, "decode the node's row")
	}
	if err := r.Demand.Validate(); err != nil {
		return state{}, errors.Wrap(err, "check the node's row")
	}
	snapshot := beat.Snapshot{
		Heartbeat: beat.Heartbeat{
			ID: r.ID, Service: r.Service, Address: r.Address, StartedAt: r.StartedAt, Sequence: r.Sequence, Slots: r.Slots,
		},
		Left: r.Left,
		AsOf: r.AsOf,
	}
	if r.RateLimit != nil {
		snapshot.RateLimit = rate.PerSecond(*r.RateLimit)
	}

	return state{backend: snapshot, demand: r.Demand, savedAt: r.SavedAt, revision: r.Revision, era: r.Era}, nil
}

// equivalent reports whether restoring the saved snapshot has about the same effect as restoring the current one.
func equivalent(current, saved beat.Snapshot) bool {
	a, b := current, saved

	return similarLimits(current.RateLimit, saved.RateLimit) && a.Heartbeat.ID == b.Heartbeat.ID && a.Heartbeat.StartedAt.Equal(b.Heartbeat.StartedAt) && a.Heartbeat.Slots == b.Heartbeat.Slots && a.Left == b.Left
}

const (
	// maxLimitRatio and minLimitRatio bound the saved rate limit as a multiple of the current one, so that a limit that varies does not cause
	// a write for each of its values.
	maxLimitRatio = 1.25
	minLimitRatio = 0.5
)

// similarLimits reports whether the saved limit may stand for the current one until the server's first response.
func similarLimits(current, saved rate.Limit) bool {
	if !current.Stated() || !saved.Stated() {
		return current == saved
	}
	calls := current.CallsPerSecond()

	return saved.CallsPerSecond() <= maxLimitRatio*calls && saved.CallsPerSecond() >= minLimitRatio*calls
}
