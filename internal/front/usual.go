package front

import "time"

const (
	// timeShare is the weight of one answer in the usual time of its route.
	timeShare = 0.05
	// timesMost bounds the routes whose usual time is remembered.
	timesMost = 1024
)

// usual holds the mean time of answers for each route.
type usual struct {
	times map[string]time.Duration
}

func newUsual() *usual {
	return &usual{times: map[string]time.Duration{}}
}

func (u *usual) note(route string, took time.Duration) {
	known, found := u.times[route]
	if !found {
		if len(u.times) >= timesMost {
			clear(u.times)
		}
		known = took
	}
	u.times[route] = known + time.Duration(timeShare*float64(took-known))
}

// noteTime takes the time of an answer.
func (f *Front) noteTime(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usual.note(route, took)
}

// usualTime returns the mean time of the route's answers, zero if there were none.
func (f *Front) usualTime(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.usual.times[route]
}
