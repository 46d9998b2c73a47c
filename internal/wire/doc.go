// Package wire defines the HTTP headers that nodes, callers and backend servers exchange, encodes and decodes their values, and
// copies requests and responses from one hop to the next.
package wire
