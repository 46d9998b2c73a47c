package main

import (
	"fmt"
	"io"
)

// Events of an ordinary day in the whole fleet, and the length of the day in seconds.
const (
	editsPerDay    = 2300
	restartsPerDay = 230
	daySeconds     = 86400
)

// line is y = Base + Slope * nodes.
type line struct {
	Base, Slope float64
}

// fit returns the line with the least squares of errors.
func fit(nodes, values []float64) line {
	count := float64(len(nodes))
	var sumX, sumY, sumXX, sumXY float64
	for i := range nodes {
		sumX += nodes[i]
		sumY += values[i]
		sumXX += nodes[i] * nodes[i]
		sumXY += nodes[i] * values[i]
	}
	spread := count*sumXX - sumX*sumX
	if spread == 0 {
		return line{Base: sumY / max(count, 1)}
	}
	slope := (count*sumXY - sumX*sumY) / spread

	return line{Base: (sumY - slope*sumX) / count, Slope: slope}
}

func (l line) at(nodes int) float64 {
	return l.Base + l.Slope*float64(nodes)
}

// figure is one quantity of a phase.
type figure struct {
	name string
	unit string
	of   func(phase) float64
}

func figures() []figure {
	return []figure{
		{name: "core", unit: "% of a core", of: func(p phase) float64 { return p.Core }},
		{name: "bytes", unit: "B/s, both ways", of: func(p phase) float64 { return p.Sent + p.Got }},
		{name: "resident", unit: "MiB", of: func(p phase) float64 { return p.RSS }},
	}
}

// extrapolate prints the lines at rest, the cost of one event, and the sum on an ordinary day at the target size.
func extrapolate(out io.Writer, results []result, target int) {
	var nodes []float64
	for _, r := range results {
		nodes = append(nodes, float64(r.Nodes))
	}
	for _, f := range figures() {
		var rest []float64
		for _, r := range results {
			rest = append(rest, f.of(r.find(phaseRest)))
		}
		atRest := fit(nodes, rest)
		fmt.Fprintf(out, "%-8s at rest: %.4g + %.4g a node = %.4g %s at %d nodes\n", f.name, atRest.Base, atRest.Slope, atRest.at(target), f.unit, target)
		if f.name == "resident" {
			continue
		}
		total := atRest.at(target)
		total += f.event(out, results, nodes, phaseEdits, editsPerDay, target)
		total += f.event(out, results, nodes, phaseRestarts, restartsPerDay, target)
		fmt.Fprintf(out, "%-8s on an ordinary day: %.4g %s at %d nodes\n", f.name, total, f.unit, target)
	}
}

// event prints what one event costs each node, and returns what a day's events make a second at the target size.
func (f figure) event(out io.Writer, results []result, nodes []float64, name string, perDay float64, target int) float64 {
	var costs []float64
	for _, r := range results {
		p := r.find(name)
		cost := 0.0
		if p.Events > 0 {
			cost = (f.of(p) - f.of(r.find(phaseRest))) * p.Seconds / float64(p.Events)
		}
		costs = append(costs, cost)
	}
	each := fit(nodes, costs)
	perSecond := each.at(target) * perDay / daySeconds
	fmt.Fprintf(out, "%-8s one of %s: %.4g + %.4g a node = %.4g times a second (%s) at %d nodes; %.0f a day add %.4g\n",
		f.name, name, each.Base, each.Slope, each.at(target), f.unit, target, perDay, perSecond)

	return perSecond
}
