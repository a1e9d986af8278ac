package loadtest

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// quantileSteps is the number of points per factor of ten of the remaining
// share of requests.
const quantileSteps = 10

// Plot draws the latency of short requests by quantile for each report, with
// the last per cents spread out. The file's ending chooses PNG or SVG.
func Plot(title, path string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of requests (%)"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = quantileTicks()
	p.Legend.Top = true
	p.Legend.Left = true
	for i, r := range reports {
		if r.Short.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(quantileCurve(r))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Label, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// quantileCurve spreads quantiles by the logarithm of the remaining share.
func quantileCurve(r *Report) plotter.XYs {
	points := make(plotter.XYs, 0, 3*quantileSteps+1)
	for i := range 3*quantileSteps + 1 {
		x := float64(i) / quantileSteps
		q := percent * (1 - math.Pow(10, -x))
		latency := math.Max(0.01, float64(r.Short.ValueAtQuantile(q))/1000)
		points = append(points, plotter.XY{X: x, Y: latency})
	}
	return points
}

func quantileTicks() plot.ConstantTicks {
	return plot.ConstantTicks{
		{Value: 0, Label: "0"},
		{Value: -math.Log10(0.5), Label: "50"},
		{Value: 1, Label: "90"},
		{Value: 2, Label: "99"},
		{Value: 3, Label: "99.9"},
	}
}
