// Package life follows the backend server beside the node: when it may take work, and when it says that it is leaving.
package life
