// Package shed implements admission control with load shedding. The node that a request enters admits it only if all services in its
// call tree have capacity for it. A controller beside each backend server sets the share of the demand that it can take.
package shed
