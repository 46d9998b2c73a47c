// Package heads checks the heads of HTTP/1.1 responses, and prepares those of requests and responses for hertz's parser.
package heads
