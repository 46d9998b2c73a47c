// Package fake is a backend server for tests and demonstrations, with behaviour and faults that are switched while it runs.
package fake
