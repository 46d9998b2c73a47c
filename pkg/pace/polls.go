package pace

import "time"

// Polls sets for how long each of the nodes asks to hold a poll. What a poll waits for, and a connection that has gone silent, is noticed at its
// end, and by one node of the fleet is enough if the nodes tell each other.
type Polls struct {
	// Shortest and Longest bound one poll.
	Shortest, Longest time.Duration
	// Mean is the mean time of a poll in a small fleet; in a large one polls end Apart from each other on average.
	Mean, Apart time.Duration
}

// Wait returns the time of one poll in a fleet with the number of nodes, for a random number of at least 0 and below 1. Polls that begin
// together, as they do after each change, end at different times.
func (p Polls) Wait(nodes int, random float64) time.Duration {
	mean := Interval(p.Mean, nodes, p.Apart)
	longest := min(2*mean-p.Shortest, p.Longest)

	return p.Shortest + time.Duration(random*float64(longest-p.Shortest))
}
