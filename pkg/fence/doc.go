// Package fence tracks the attempts of operations at one executing node. An attempt that the node reports as not run is fenced
// first, that is recorded as refused, so that it cannot start later. A once operation runs at most once over all its attempts.
package fence
