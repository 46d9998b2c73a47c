// Package quota divides a fleet-wide retry budget among the nodes. Each node keeps to its share without communicating with the others.
package quota
