package loadgen

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// minPlotted is the smallest plotted value, because a logarithmic axis cannot show 0. It is the unit of the histograms
	// in milliseconds.
	minPlotted = 0.001
)

// writePlot plots percentiles of the time to first token by prompt length. It writes no file if there are no values.
func (r *Result) writePlot(path string) error {
	lines := []struct {
		name  string
		value func(Latency) float64
	}{
		{"p50", func(l Latency) float64 { return l.P50 }},
		{"p95", func(l Latency) float64 { return l.P95 }},
		{"p99", func(l Latency) float64 { return l.P99 }},
	}
	p := plot.New()
	p.Title.Text = "Time to first token by prompt length"
	p.X.Label.Text = "prompt tokens"
	p.Y.Label.Text = "ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var arguments []any
	for _, line := range lines {
		points := r.plotPoints(line.value)
		if len(points) == 0 {
			return nil
		}
		arguments = append(arguments, line.name, points)
	}
	if err := plotutil.AddLinePoints(p, arguments...); err != nil {
		return err
	}
	widenAxes(p)
	return p.Save(plotWidth, plotHeight, path)
}

func (r *Result) plotPoints(value func(Latency) float64) plotter.XYs {
	var points plotter.XYs
	for _, class := range r.classes {
		if l, ok := r.Latencies[MetricFirstToken][class.Name]; ok && class.Tokens > 0 {
			points = append(points, plotter.XY{X: float64(class.Tokens), Y: max(value(l), minPlotted)})
		}
	}
	return points
}

// widenAxes widens both axes, because gonum cannot draw a logarithmic axis whose minimum equals its maximum.
func widenAxes(p *plot.Plot) {
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Min /= 2
		axis.Max *= 2
	}
}
