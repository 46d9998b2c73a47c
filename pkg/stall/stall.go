package stall

import "time"

const (
	// stallFactor is the multiple of a kind's usual duration that may pass without any response before the server counts as stalled.
	stallFactor = 8
	// minStall is the minimum time without any response that counts as a stall.
	minStall = 500 * time.Millisecond
	// durationWeight is the weight of the latest call in the moving average of its kind's duration.
	durationWeight = 0.1
	// maxKinds bounds the kinds of request whose duration is tracked.
	maxKinds = 256
)

// Detector tracks the calls that run on one backend server. It is not safe for concurrent use.
type Detector struct {
	running int
	// lastProgress is the time of the latest response, or of the first call after an idle time.
	lastProgress  time.Time
	usualDuration map[string]time.Duration
}

// New returns a detector without calls.
func New() *Detector {
	return &Detector{usualDuration: map[string]time.Duration{}}
}

// Start records that a call begins to run.
func (d *Detector) Start(now time.Time) {
	if d.running == 0 {
		d.lastProgress = now
	}
	d.running++
}

// Finish records that a call of the kind ended with a response after the given duration, whatever the status of the response.
func (d *Detector) Finish(now time.Time, kind string, duration time.Duration) {
	d.running--
	d.lastProgress = now
	usual, found := d.usualDuration[kind]
	switch {
	case found:
		d.usualDuration[kind] = usual + time.Duration(durationWeight*float64(duration-usual))
	case len(d.usualDuration) < maxKinds:
		d.usualDuration[kind] = duration
	}
}

// FinishWithoutResponse records that a call ended without a response, which does not count as progress.
func (d *Detector) FinishWithoutResponse() {
	d.running--
}

// Stalled reports whether calls are running and there has been no response for much longer than a call of the kind usually takes. It is
// false for a kind whose usual duration is unknown.
func (d *Detector) Stalled(now time.Time, kind string) bool {
	usual, known := d.usualDuration[kind]
	if !known || d.running == 0 {
		return false
	}

	return now.Sub(d.lastProgress) > max(minStall, stallFactor*usual)
}
