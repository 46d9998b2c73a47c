// Package kernel is a service container. It starts the services of a process in the order of their registration, stops them in
// reverse order, and lets them look each other up by name.
package kernel
