package shed

import (
	"math"
	"time"
)

const (
	// finishedTime is the time constant with which calls are forgotten.
	finishedTime = 500 * time.Millisecond
	// assumedFinished is the number of finished calls that is assumed, so that few calls show no overload.
	assumedFinished = 5
	// maxServices is the maximum number of services with counts; when it is exceeded, all counts start anew.
	maxServices = 1024
)

// Finished counts for each service how many of a node's calls end before their deadline. It is not safe for concurrent use.
//
// The load that it answers is that of a service whose servers are idle because the calls do not reach them in time, or their responses
// do not come back, over links that are full: the load of the servers does not show it.
type Finished struct {
	counts map[string]*finishedCounts
}

type finishedCounts struct {
	at                time.Time
	total, unfinished float64
}

// NewFinished returns a Finished without calls.
func NewFinished() *Finished {
	return &Finished{counts: map[string]*finishedCounts{}}
}

// Observe counts a call to the service.
func (f *Finished) Observe(now time.Time, service string, finished bool) {
	c := f.counts[service]
	if c == nil {
		if len(f.counts) >= maxServices {
			clear(f.counts)
		}
		c = &finishedCounts{at: now}
		f.counts[service] = c
	}
	c.decay(now)
	c.total++
	if !finished {
		c.unfinished++
	}
}

// Share returns the share of the recent calls to the service that ended before their deadline, 1 without calls.
func (f *Finished) Share(now time.Time, service string) float64 {
	c := f.counts[service]
	if c == nil {
		return 1
	}
	c.decay(now)

	return 1 - c.unfinished/(c.total+assumedFinished)
}

func (c *finishedCounts) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(finishedTime))
		c.total, c.unfinished, c.at = c.total*kept, c.unfinished*kept, now
	}
}
