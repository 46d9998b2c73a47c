// Package meter holds the node's metrics and shows them in the format of Prometheus.
package meter
