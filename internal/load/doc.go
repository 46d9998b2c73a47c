// Package load drives open-loop traffic at nodes, checks every answer and reports goodput, recovery and broken promises.
package load
