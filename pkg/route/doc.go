// Package route chooses the executing node for a call, from what this entry has seen and from aged reports.
package route
