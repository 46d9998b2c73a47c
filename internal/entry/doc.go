// Package entry takes calls from callers and from the backend server beside the node, and makes the attempts they need.
package entry
