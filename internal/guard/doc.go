// Package guard is the service that alone reaches the backend server on its VM, and decides what that runs.
package guard
