// Package fanout learns how many calls an execution makes to other services, from counts taken beside one backend server.
package fanout
