// Package rules holds the route table in force, which maps hosts and paths to services, and keeps it up to date.
//
// New versions come from the change feed of the platform. A node also fetches them from other nodes, so that it receives changes
// while it cannot reach the platform itself.
package rules
