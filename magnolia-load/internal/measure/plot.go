package measure

import (
	"bytes"
	"image/color"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
)

const (
	plotStep   = 200 * time.Millisecond
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotGoodput draws the goodput of both versions over time as SVG.
func plotGoodput(found pair) ([]byte, error) {
	drawing := plot.New()
	drawing.Title.Text = "Goodput of whole requests"
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "answers a second"
	drawing.Y.Min = 0
	drawing.Legend.Top = true
	lines := []struct {
		name    string
		outcome experiment.Outcome
		color   color.Color
	}{
		{"magnoliawall", found.ours, color.RGBA{G: 100, A: 255}},
		{"naive", found.naive, color.RGBA{R: 180, A: 255}},
	}
	for _, entry := range lines {
		line, err := goodputLine(entry.outcome)
		if err != nil {
			return nil, err
		}
		line.Color = entry.color
		drawing.Add(line)
		drawing.Legend.Add(entry.name, line)
	}
	return svg(drawing)
}

func goodputLine(outcome experiment.Outcome) (*plotter.Line, error) {
	var points plotter.XYs
	for _, point := range load.Series(outcome.Samples, load.Span{To: outcome.Plan.Length()}, plotStep) {
		points = append(points, plotter.XY{X: (point.At + plotStep).Seconds(), Y: point.Goodput})
	}
	line, err := plotter.NewLine(points)
	return line, oops.Wrapf(err, "the goodput cannot be drawn")
}

func svg(drawing *plot.Plot) ([]byte, error) {
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, oops.Wrapf(err, "the plot cannot be drawn")
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return nil, oops.Wrapf(err, "the plot cannot be written")
	}
	return image.Bytes(), nil
}

// plotSlopes draws the processor time over the number of nodes with its line.
func plotSlopes(scales []scale) ([]byte, error) {
	var measured []point
	var points plotter.XYs
	for _, found := range scales {
		measured = append(measured, point{Size: float64(found.nodes), Value: found.processor})
		points = append(points, plotter.XY{X: float64(found.nodes), Y: found.processor})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, oops.Wrapf(err, "the points cannot be drawn")
	}
	fitted := plotter.NewFunction(fitLine(measured).at)
	fitted.Color = color.RGBA{G: 100, A: 255}
	drawing := plot.New()
	drawing.Title.Text = "Processor time of hosts without load"
	drawing.X.Label.Text = "hosts in one process"
	drawing.Y.Label.Text = "% of a core"
	drawing.X.Min, drawing.Y.Min = 0, 0
	drawing.Add(scatter, fitted)
	return svg(drawing)
}
