// Package plotter draws latency distributions as PNG images.
//
// # Usage
//
//	err := plotter.Draw(w, "Oaxaca, one straggler", []plotter.Series{{Name: "random", Points: points}})
//
// The horizontal axis is the share of responses on a logarithmic scale of nines
// (0.9, 0.99, 0.999), which shows the tail in as much detail as the rest.
package plotter

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
	// maxNines is the end of the horizontal axis: 4 stands for the share 0.9999.
	maxNines = 4
)

// Point is one point of a latency distribution.
type Point struct {
	// Share is the share of the responses with at most this latency, from 0 to 1.
	Share float64
	// LatencyMS is the latency in milliseconds.
	LatencyMS float64
}

// Series is one named distribution.
type Series struct {
	Name   string
	Points []Point
}

// Draw writes a PNG image of the distributions to w.
func Draw(w io.Writer, title string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of responses"
	p.Y.Label.Text = "latency, ms"
	p.X.Min, p.X.Max = 0, maxNines
	p.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{
		{Value: 0, Label: "0"}, {Value: 1, Label: "0.9"}, {Value: 2, Label: "0.99"},
		{Value: 3, Label: "0.999"}, {Value: 4, Label: "0.9999"},
	})
	p.Legend.Top, p.Legend.Left = true, true
	for i, s := range series {
		line, err := plotter.NewLine(points(s))
		if err != nil {
			return fmt.Errorf("draw %s: %w", s.Name, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	canvas := vgimg.New(width, height)
	return encode(w, p, canvas)
}

func encode(w io.Writer, p *plot.Plot, canvas *vgimg.Canvas) error {
	p.Draw(draw.New(canvas))
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(w); err != nil {
		return fmt.Errorf("write the image: %w", err)
	}
	return nil
}

// points converts a series to the axes of the plot.
func points(s Series) plotter.XYs {
	var xys plotter.XYs
	for _, pt := range s.Points {
		nines := -math.Log10(max(1-pt.Share, math.Pow10(-maxNines)))
		xys = append(xys, plotter.XY{X: nines, Y: pt.LatencyMS})
	}
	return xys
}
