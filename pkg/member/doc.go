// Package member implements the gossip membership protocol of the nodes: who is in the fleet, in which state, and which data centres
// this node can reach. It performs no I/O and reads no clock: Fleet takes the current time, events and messages, and returns the
// calls for its owner to make.
package member
