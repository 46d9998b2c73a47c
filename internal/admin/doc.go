// Package admin is the operators' listener, on which the services of a node offer their pages.
package admin
