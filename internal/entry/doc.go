// Package entry implements the entry node: it accepts root requests from callers and outgoing calls of the local backend
// server, and forwards them to targets, which are nodes of the called service. The node that runs a call is its executing node.
//
// Each call is an operation with an ID of its own, and is made in one or more attempts, each sent to one target. An attempt
// costs credits, which limit the number of attempts in the call tree of a root request. A Chooser selects the targets, and a
// Retrier decides about retries. If the outcome of an attempt is unknown, the entry node queries the executing node for it.
//
// A once operation must not be run twice. It is bound to its home, the only node incarnation that may run it, by a ticket in
// the URL or by an idempotency key that is claimed in the table service.
package entry
