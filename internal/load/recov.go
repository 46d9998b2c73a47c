package load

import "time"

// Recovery is reached when the success of this many buckets in a row stays above the share of the success before.
const (
	recoveryShare   = 0.95
	recoveryWindow  = 2
	recoveryWindows = 4
)

// recovery returns the time from the end of the trigger, the second-last phase, to success as before.
func recovery(series []Point, phases []Phase) (time.Duration, bool) {
	if len(phases) < 3 {
		return 0, false
	}
	var begins, total time.Duration
	for i, phase := range phases {
		if i < len(phases)-1 {
			begins += phase.Time
		}
		total += phase.Time
	}
	usual := success(series[:phases[0].Time/bucket])
	first := int(begins / bucket)
	last := int(total/bucket) - recoveryWindow - recoveryWindows + 1
	for from := first; from <= last; from++ {
		if steady(series, from, usual*recoveryShare) {
			return time.Duration(from)*bucket - begins, true
		}
	}

	return 0, false
}

func steady(series []Point, from int, least float64) bool {
	for i := from; i < from+recoveryWindows; i++ {
		if success(series[i:i+recoveryWindow]) < least {
			return false
		}
	}

	return true
}

// success returns the part of the arrivals that ended well.
func success(points []Point) float64 {
	offered, good := 0, 0
	for _, point := range points {
		offered += point.Offered
		good += point.GoodOfOffered
	}

	return share(good, offered)
}
