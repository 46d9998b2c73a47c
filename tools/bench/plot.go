package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pistachiotack/pistachiotack/internal/load"
)

const (
	plotWidth  = vg.Length(510)
	plotHeight = vg.Length(255)
	// smooth is the number of points in the moving mean of a curve.
	smooth = 4
)

// plotReports draws goodput over time of all variants of one scenario.
func plotReports(file string, reports []*load.Report) error {
	if len(reports) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d, slots at 1/%d", reports[0].Name, reports[0].Example, reports[0].Seed, reports[0].Scale)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := []any{"offered", curve(reports[0], func(point load.Point) int { return point.Offered })}
	for _, report := range reports {
		lines = append(lines, "good, "+report.Variant, curve(report, func(point load.Point) int { return point.Good }))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw curves")
	}

	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

// curve returns a moving mean of a count, as a rate.
func curve(report *load.Report, count func(load.Point) int) plotter.XYs {
	points := report.Series
	var xys plotter.XYs
	for i := 0; i+smooth < len(points); i++ {
		sum := 0
		for _, point := range points[i : i+smooth] {
			sum += count(point)
		}
		span := points[i+smooth].Seconds - points[i].Seconds
		xys = append(xys, plotter.XY{X: points[i].Seconds + span/2, Y: float64(sum) / span})
	}

	return xys
}
