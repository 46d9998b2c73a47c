// Command slope measures what the control of a node costs at several sizes of the fleet, and works out a larger one.
//
// It starts real node processes without backend servers, in six data centres and 53 services, beside a platform stand-in:
//
//	go run ./tools/slope --sizes 25,50,100,200 --time 20s --out slope.json
//
// Each size is measured at rest, under edits of the settings tree made one after the other, and under restarts of random nodes.
package main
