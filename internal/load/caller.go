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
	hardPause    = 10 * time.Millisecond
	hardTries    = 50
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

	var tries []try
	for number := 0; ; number++ {
		tries = append(tries, c.try(ctx, number))
		last := tries[len(tries)-1]
		if last.verdict == verdictGood || ctx.Err() != nil {
			return tries
		}
		wait, again := c.again(len(tries), last)
		if !again || !sleepWithin(ctx, wait) {
			return tries
		}
	}
}

func (c caller) try(ctx context.Context, number int) try {
	if c.manner == MannerNaive {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(NaiveTimeout, c.archiveTime()))
		defer cancel()
	}
	to := target{
		kind: c.kind,
		path: c.kind.path(c.from.object),
		id:   fmt.Sprintf("%s.%d.%d", c.prefix, c.from.number, number),
	}
	if c.kind.Once {
		to.key = fmt.Sprintf("%s.%d", c.prefix, c.from.number)
	}
	var done try
	for i := range uint64(connectTries) {
		to.entry = c.picker.Entry(c.kind.Service, c.from.entry+i+uint64(number))
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
	if c.kind.Once && c.manner != MannerHard && c.manner != MannerNaive && last.outcome != call.OutcomeNotRun {
		return 0, false
	}
	switch c.manner {
	case MannerHard:
		return hardPause, tries < hardTries
	case MannerNaive:
		return 0, tries <= naiveRetries
	case MannerPatient:
		return last.retryAfter, last.retryAfter > 0
	default:
		return 0, false
	}
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
