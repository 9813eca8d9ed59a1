// A plot of the goodput over time shows what a single ratio can't: whether the goodput stays level, falls slowly, or
// doesn't recover after the trigger.

package overloader

import (
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotStep   = 250 * time.Millisecond
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

func plotScenario(dir string, s shape, sc scenario, t phases, list []arrival, curves map[string][]result) error {
	picture := plot.New()
	picture.Title.Text = s.deployment + ": " + sc.name
	picture.X.Label.Text = "seconds"
	picture.Y.Label.Text = "whole requests a second"
	picture.Legend.Top = true
	lines := []any{"offered", offeredCurve(list, t)}
	names := make([]string, 0, len(curves))
	for name := range curves {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lines = append(lines, name, goodputCurve(curves[name], t))
	}
	if err := plotutil.AddLines(picture, lines...); err != nil {
		return err
	}
	return picture.Save(plotWidth, plotHeight, filepath.Join(dir, s.deployment+"-"+sc.name+".svg"))
}

func offeredCurve(list []arrival, t phases) plotter.XYs {
	points := emptyCurve(t)
	for _, a := range list {
		points.countAt(a.at)
	}
	return plotter.XYs(points)
}

func goodputCurve(list []result, t phases) plotter.XYs {
	points := emptyCurve(t)
	for _, r := range list {
		if r.answered {
			points.countAt(r.doneAt)
		}
	}
	return plotter.XYs(points)
}

type curve plotter.XYs

func emptyCurve(t phases) curve {
	points := make(curve, int(t.total()/plotStep)+1)
	for i := range points {
		points[i].X = (time.Duration(i) * plotStep).Seconds()
	}
	return points
}

func (c curve) countAt(at time.Duration) {
	i := int(at / plotStep)
	if i < len(c) {
		c[i].Y += 1 / plotStep.Seconds()
	}
}
