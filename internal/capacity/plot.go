package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 22 * vg.Centimeter
)

// errNothingToPlot says that no slope against nodes was measured.
var errNothingToPlot = errors.New("capacity: nothing to plot")

// Plot draws the control traffic and processor time of one node against the
// nodes of its region, as SVG.
func Plot(slopes []Slope) (*vgsvg.Canvas, error) {
	bytes, err := plotOf(slopes, "B/s", "control traffic of a node, bytes a second")
	if err != nil {
		return nil, err
	}
	cpu, err := plotOf(slopes, "core", "control processor time of a node, parts of a core")
	if err != nil {
		return nil, err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	for i, cells := range plot.Align([][]*plot.Plot{{bytes}, {cpu}}, tiles, draw.New(canvas)) {
		[]*plot.Plot{bytes, cpu}[i].Draw(cells[0])
	}
	return canvas, nil
}

func plotOf(slopes []Slope, unit, label string) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "nodes in the region"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var drawn []any
	for _, s := range slopes {
		if s.Unit != unit || s.Against != "nodes in the region" {
			continue
		}
		drawn = append(drawn, string(s.Role)+", "+s.Quantity, points(s))
	}
	if len(drawn) == 0 {
		return nil, errNothingToPlot
	}
	return p, plotutil.AddLinePoints(p, drawn...)
}

func points(s Slope) plotter.XYs {
	var xys plotter.XYs
	for _, point := range s.Points {
		if !math.IsNaN(point.Value) {
			xys = append(xys, plotter.XY{X: point.Size, Y: point.Value})
		}
	}
	return xys
}
