// Package spell names the known word that a mistyped one was meant to be.
package spell
