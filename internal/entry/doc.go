// Package entry implements the entry node: it accepts root requests from callers and outgoing calls of the local backend
// server, and forwards them to targets, which are nodes of the called service. The node that runs a call is its executing node.
//
// Each call is an operation with an ID of its own, and is made in one or more attempts, each sent to one target. An attempt
// costs credits, which limit the number of attempts in the call tree of a root request. A Chooser selects the targets, and a
// Retrier decides about retries. The response to an attempt carries feedback headers, with which the executing node reports
// the outcome, its load and the unspent credits.
//
// The outcome of an attempt is ran, notRun or unknown. For an unknown one the entry node queries the executing node, which
// fences an attempt that hasn't arrived: it will not run, even if it arrives later.
//
// A once operation must not be run twice. It is bound to its home, the only node incarnation (one run of a node's process)
// that may run it, by a ticket in the URL or by an idempotency key that is claimed in the table service.
package entry
