// Package queue limits the number of calls that run on a backend server at once. Further calls wait in order of importance. Calls are
// refused if the queue is full, if they have waited too long, or if too little time is left to run them.
package queue
