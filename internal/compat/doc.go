// Package compat holds the tests that keep two releases of a node able to work side by side: they compare what leaves the process with
// the formats of the last release.
package compat
