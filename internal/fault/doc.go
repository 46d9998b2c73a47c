// Package fault is a TCP proxy for tests whose faults are switched while connections run through it.
package fault
