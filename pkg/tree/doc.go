// Package tree parses, checks, compares, merges and edits the settings tree, a TOML text that all nodes share.
//
// A setting can be stated for the root, a place (a data centre), a service or a kind of request; more specific levels
// override less specific ones, and a service overrides a place. A Snapshot is a tree compiled for looking up the effective
// Policy of a request.
package tree
