// Package reply chooses the HTTP status with which a request ends.
//
// Clients conclude from some statuses alone that the request has not run and never will. These are used only if that is the outcome of
// the request over all its attempts, whoever chose the status.
package reply
