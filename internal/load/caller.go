package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Manner says what callers do with an answer that is no success.
type Manner string

const (
	// MannerPatient comes back when the refusal says, if that is within its deadline.
	MannerPatient Manner = "patient"
	// MannerHard asks again at once, whatever was said, until its deadline.
	MannerHard Manner = "hard"
	// MannerNaive asks again at once, three times at most, with a short timeout for each try.
	MannerNaive Manner = "naive"
	// MannerOnce never asks again.
	MannerOnce Manner = "once"
)

const (
	hardPause = 50 * time.Millisecond
	hardTries = 50
	oncePause = 200 * time.Millisecond
	// cutTries bounds how often an ordinary client asks again because its connection broke.
	cutTries     = 2
	naiveRetries = 3
	// NaiveTimeout is the timeout of each try without any layer.
	NaiveTimeout = time.Second
	connectTries = 3
)

// Picker names an entry for a request.
type Picker interface {
	// Entry returns an address; the number is drawn at random for each try.
	Entry(service string, number uint64) string
}

// Entries is a Picker over a fixed list, whatever the service.
type Entries []string

// Entry returns one of the addresses.
func (e Entries) Entry(_ string, number uint64) string {
	return e[number%uint64(len(e))]
}

// caller makes one request, with all the tries that its manner allows.
type caller struct {
	client *http.Client
	picker Picker
	manner Manner
	prefix string
	kind   Kind
	from   arrival
}

// run returns all tries; the last one says what came of the request.
func (c caller) run(ctx context.Context) []try {
	ctx, cancel := context.WithTimeout(ctx, c.kind.Deadline)
	defer cancel()

	to := target{kind: c.kind, path: c.kind.path(c.from.object), mark: fmt.Sprintf("%s.%d", c.prefix, c.from.number)}
	to.id = to.mark + ".0"
	if c.keyed() {
		to.key = to.id
	}
	var tries []try
	for {
		last := c.try(ctx, to, uint64(len(tries)))
		tries = append(tries, last)
		if last.verdict == verdictGood || ctx.Err() != nil {
			return tries
		}
		wait, again := c.again(len(tries), last)
		if !again || !sleepWithin(ctx, wait) {
			return tries
		}
		to = c.next(to, last, len(tries))
	}
}

// keyed gives every other once request an idempotency key; those between hold tickets.
func (c caller) keyed() bool {
	return c.kind.Once && (c.from.number%2 == 0 || c.manner == MannerNaive)
}

// next repeats a once request whose outcome is not known, any other try is a request of its own.
func (c caller) next(to target, last try, number int) target {
	if c.kind.Once && last.outcome != call.OutcomeNotRun && c.manner != MannerNaive {
		to.ticket = last.ticket

		return to
	}
	to.ticket = ""
	to.id = fmt.Sprintf("%s.%d", to.mark, number)
	if c.keyed() {
		to.key = to.id
	}

	return to
}

func (c caller) try(ctx context.Context, to target, number uint64) try {
	if c.manner == MannerNaive {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(NaiveTimeout, c.archiveTime()))
		defer cancel()
	}
	var done try
	for i := range uint64(connectTries) {
		to.entry = c.picker.Entry(c.kind.Service, c.from.entry+i+number)
		if done = send(ctx, c.client, to); done.verdict != verdictConnect {
			break
		}
	}

	return done
}

// archiveTime keeps the timeout of a naive try above what an archive takes at best.
func (c caller) archiveTime() time.Duration {
	if !c.kind.Archive {
		return 0
	}

	return c.kind.Deadline
}

// again says whether and after which wait the caller asks again.
func (c caller) again(tries int, last try) (time.Duration, bool) {
	switch c.manner {
	case MannerHard:
		return hardPause, tries < hardTries
	case MannerNaive:
		return 0, tries <= naiveRetries
	case MannerPatient:
		return c.patience(tries, last)
	default:
		return 0, false
	}
}

// patience waits as the refusal says; a once request is repeated by ticket or key until its outcome is known.
func (c caller) patience(tries int, last try) (time.Duration, bool) {
	unknown := last.outcome == call.OutcomeUnknown || last.outcome == ""
	if c.kind.Once && unknown && (c.keyed() || last.ticket != "") {
		return max(oncePause, last.retryAfter), true
	}

	if last.verdict == verdictCut && !c.kind.Once {
		return 0, tries <= cutTries
	}

	return last.retryAfter, last.retryAfter > 0
}

// sleepWithin returns false at once if the wait goes past the deadline.
func sleepWithin(ctx context.Context, wait time.Duration) bool {
	limit, ok := ctx.Deadline()
	if ok && time.Until(limit) < wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
