// Package listen opens one HTTP listener on hertz's standard transport, which keeps memory flat for large bodies.
package listen
