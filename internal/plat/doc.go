// Package plat is a small stand-in for the platform's table service and object store, with faults that can be switched on.
package plat
