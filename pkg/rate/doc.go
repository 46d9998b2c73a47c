// Package rate limits the calls per second to one backend server, as the server asks for in its responses.
package rate
