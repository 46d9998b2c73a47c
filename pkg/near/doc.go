// Package near names the known word that a mistyped one was meant to be.
package near
