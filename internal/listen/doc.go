// Package listen runs an HTTP server on one address, and drains it before it is closed. It uses hertz's standard transport, with
// which memory doesn't grow with the size of bodies.
package listen
