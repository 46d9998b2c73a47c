package stall

import "time"

const (
	// stallFactor is how many times its usual duration a call may take while no call ends at all.
	stallFactor = 8
	// stallLeast is the shortest time without an end that counts as a stall.
	stallLeast = 500 * time.Millisecond
	// learnShare is the weight of the newest call in the usual duration of its kind.
	learnShare = 0.1
	// mostKinds bounds the kinds that are remembered.
	mostKinds = 256
)

// Detector follows the calls that run on one backend server; its owner serialises calls.
type Detector struct {
	running int
	// lastSign is when a call ended with an answer, or when calls began to run.
	lastSign time.Time
	usual    map[string]time.Duration
}

// New returns the detector of a server that has not run a call yet.
func New() *Detector {
	return &Detector{usual: map[string]time.Duration{}}
}

// Start counts a call that begins to run.
func (p *Detector) Start(now time.Time) {
	if p.running == 0 {
		p.lastSign = now
	}
	p.running++
}

// Finish counts a call that ended with an answer, whatever it says.
func (p *Detector) Finish(now time.Time, kind string, took time.Duration) {
	p.running--
	p.lastSign = now
	known, found := p.usual[kind]
	switch {
	case found:
		p.usual[kind] = known + time.Duration(learnShare*float64(took-known))
	case len(p.usual) < mostKinds:
		p.usual[kind] = took
	}
}

// FinishWithoutResponse counts a call that ended without an answer, which is no sign of life.
func (p *Detector) FinishWithoutResponse() {
	p.running--
}

// Stalled reports whether calls run, but none has ended for far longer than one of that kind usually takes.
func (p *Detector) Stalled(now time.Time, kind string) bool {
	usual, known := p.usual[kind]
	if !known || p.running == 0 {
		return false
	}

	return now.Sub(p.lastSign) > max(stallLeast, stallFactor*usual)
}
