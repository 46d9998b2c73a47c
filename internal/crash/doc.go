// Package crash is the kernel service that shares among the nodes of a service which requests were running when backend servers
// crashed, and keeps those that are known to crash them in the platform's table.
package crash
