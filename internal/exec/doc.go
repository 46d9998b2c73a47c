// Package exec implements the executing node, which receives calls from other nodes and runs them on its local backend server.
//
// The fence first checks each call, so that an attempt that was reported as not run cannot start later, and a once operation runs
// at most once over all its attempts. Then the Admitter starts, queues or refuses the call. Each response carries feedback: the
// outcome (ran, notRun or unknown), the unspent credits, which bound further attempts in the call tree, and the load of the node.
// Other nodes query and cancel attempts through Control.
package exec
