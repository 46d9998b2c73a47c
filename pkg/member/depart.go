package member

import "time"

// Departure is the leaving of a backend server. It is final for that process, so nodes keep it when the node beside the server restarts, and
// tell it that node.
type Departure struct {
	// Process is the ID of the process that left, StartedAt its start, zero if it is not known.
	Process   string
	StartedAt time.Time
	// At is when the node beside the server learned of it, by its own clock.
	At time.Time
}

// SetDeparted announces that the backend server beside the node has left.
func (f *Fleet) SetDeparted(now time.Time, departure Departure) {
	if known := f.self.Departed; known != nil && known.Process == departure.Process && known.StartedAt.Equal(departure.StartedAt) {
		return
	}
	self := *f.self
	self.Departed = &departure
	self.Version++
	f.announce(now, self)
}

// learnDeparture takes over what another node knows of the backend server beside this one. What this process has seen itself goes first.
func (f *Fleet) learnDeparture(now time.Time, received *Entry) {
	if received.Departed == nil || f.self.Departed != nil {
		return
	}
	f.recordEvent(f.self.ID, f.self.State, f.self.State, ReasonDeparture)
	f.SetDeparted(now, *received.Departed)
}

// departureFor returns the entry of a node with the departure that it does not announce, nil if there is none. The node may have been restarted
// since then.
func (f *Fleet) departureFor(id string, now time.Time) []Update {
	rec, found := f.records[id]
	if !found || id == f.self.ID || rec.departed == nil {
		return nil
	}
	if rec.entry.Departed == rec.departed && rec.entry.State == StateServing {
		return nil
	}
	known := *rec.entry
	known.Departed = rec.departed
	update := f.updateOf(rec, now)
	update.Entry = &known

	return []Update{update}
}
