// Package beat follows the life of one backend server through the heartbeats that reach the node beside it.
package beat
