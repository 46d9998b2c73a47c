// Package route selects the executing node for each attempt of a call, from the results that this entry node observed and
// the load that the nodes reported with their responses.
package route
