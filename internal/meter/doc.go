// Package meter collects the metrics of a node and writes them in the Prometheus text format. It also counts the goodput, the
// important requests that are answered completely and in time.
package meter
