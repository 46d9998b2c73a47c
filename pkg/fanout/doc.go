// Package fanout estimates how many calls an execution of a request makes to other services. It needs only the counts of executions
// and outgoing calls at one backend server, without knowing which execution makes which call.
package fanout
