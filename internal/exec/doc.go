// Package exec implements the executing node, which receives calls from other nodes and runs them on its local backend server.
//
// A call is one attempt at an operation; a retry is a further attempt. The fence first checks each attempt, so that one that was
// reported as not run cannot start later, and a once operation runs at most once over all its attempts. Then the Admitter starts,
// queues or refuses the call. Under overload it refuses the calls with the lowest rank, that is priority, first.
//
// Each response carries feedback: the outcome (ran, notRun or unknown), the unspent credits, which bound the number of attempts in
// the call tree of the root request, and the load of the node. Other nodes query and cancel attempts through Control.
package exec
