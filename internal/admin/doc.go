// Package admin serves HTTP requests of operators on a listener of their own: the metrics, the explanation of single requests, and
// the routes of other services of the node.
package admin
