package load

import (
	"math/rand/v2"
	"time"
)

// Phase is a stretch of a run with one rate of arrivals.
type Phase struct {
	Name string
	Time time.Duration
	// Rate is in requests a second.
	Rate float64
}

// arrival is one request of a caller as it was drawn.
type arrival struct {
	number int
	at     time.Duration
	phase  int
	kind   int
	object int
	entry  uint64
}

// arrivals draws a Poisson process, the same for the same seed.
type arrivals struct {
	random *rand.Rand
	kinds  []Kind
	phases []Phase
	phase  int
	ends   time.Duration
	last   arrival
}

const objects = 1000

func newArrivals(seed uint64, kinds []Kind, phases []Phase) *arrivals {
	return &arrivals{
		random: rand.New(rand.NewPCG(seed, 2)),
		kinds:  kinds,
		phases: phases,
		ends:   phases[0].Time,
	}
}

// next returns the next arrival, false after the last phase.
func (a *arrivals) next() (arrival, bool) {
	at := a.last.at + a.gap()
	for at >= a.ends {
		if a.phase++; a.phase >= len(a.phases) {
			return arrival{}, false
		}
		at = a.ends + a.gap()
		a.ends += a.phases[a.phase].Time
	}
	a.last = arrival{
		number: a.last.number + 1,
		at:     at,
		phase:  a.phase,
		kind:   a.draw(),
		object: 1 + a.random.IntN(objects),
		entry:  a.random.Uint64(),
	}

	return a.last, true
}

func (a *arrivals) gap() time.Duration {
	return time.Duration(a.random.ExpFloat64() / a.phases[a.phase].Rate * float64(time.Second))
}

// draw returns the index of a kind by its share.
func (a *arrivals) draw() int {
	total := 0.0
	for _, kind := range a.kinds {
		total += kind.Share
	}
	point := a.random.Float64() * total
	for i, kind := range a.kinds {
		if point -= kind.Share; point < 0 {
			return i
		}
	}

	return len(a.kinds) - 1
}
