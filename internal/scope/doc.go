// Package scope holds what a call inherits from the root request or from the execution that makes it.
package scope
