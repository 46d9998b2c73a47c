package pace

import "time"

// Interval returns the mean interval at which each of the nodes acts, so that in the whole fleet two actions are apart by the given time
// at least, and one node never acts more often than its shortest interval allows.
func Interval(shortest time.Duration, nodes int, apart time.Duration) time.Duration {
	return max(shortest, time.Duration(nodes)*apart)
}
