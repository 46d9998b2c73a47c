// Package pace sets how often each node of a fleet repeats work whose cost is borne by something that doesn't grow with the fleet, such
// as the platform's store or the servers of one service.
package pace
