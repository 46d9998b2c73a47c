// Package stall tells a backend server that has stopped answering from one that works for long.
package stall
