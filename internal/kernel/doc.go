// Package kernel starts the services of a process in order, stops them in reverse and lets them find each other by name.
package kernel
