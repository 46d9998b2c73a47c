// Package spell suggests the known word closest to a mistyped one.
package spell
