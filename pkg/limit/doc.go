// Package limit adapts the concurrency limit of one executing node to the capacity of its local backend server.
//
// The Limiter raises the limit until the backend server sheds load or the latency rises well above its baseline, the latency
// without contention. It lowers the limit at once after shedding. On high latency it tries a lower limit for a while, called a
// trial, and keeps it only if the throughput does not drop, because a slow dependency of the backend server is no reason to
// run fewer calls.
package limit
