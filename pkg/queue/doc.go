// Package queue decides which calls run on a backend server now, which wait, and which are refused.
package queue
