// Package front is the service that takes the requests which begin on its VM, and finds a node that runs each of them.
package front
