// Package spool writes the log of a process without ever making the writer of a line wait: lines that the reader of the log does not take in
// time are dropped and counted.
package spool
