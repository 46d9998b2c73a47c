// Package rules is the service that holds the routes in force, and takes newer ones from the platform or from other nodes.
package rules
