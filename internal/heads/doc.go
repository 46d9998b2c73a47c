// Package heads prepares the heads of HTTP/1.1 messages for hertz's parser.
package heads
