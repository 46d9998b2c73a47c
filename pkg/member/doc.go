// Package member holds the fleet's membership as pure state: entries, their life, merges and probes.
package member
