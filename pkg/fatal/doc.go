// Package fatal recognises requests that crash the backend servers that run them (queries of death), by the crashes at which equal
// requests were running.
package fatal
