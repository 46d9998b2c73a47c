// Package node builds one node out of its services, and drains it before it stops.
package node
