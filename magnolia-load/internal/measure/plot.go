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

// plotGoodput draws the goodput of both versions over time as an SVG image.
func plotGoodput(results outcomes) ([]byte, error) {
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
		{"magnoliawall", results.magnolia, color.RGBA{G: 100, A: 255}},
		{"naive", results.naive, color.RGBA{R: 180, A: 255}},
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
	return renderSVG(drawing)
}

func goodputLine(outcome experiment.Outcome) (*plotter.Line, error) {
	var points plotter.XYs
	for _, point := range load.GoodputSeries(outcome.Samples, load.Span{To: outcome.Plan.Duration()}, plotStep) {
		points = append(points, plotter.XY{X: (point.At + plotStep).Seconds(), Y: point.Goodput})
	}
	line, err := plotter.NewLine(points)
	return line, oops.Wrapf(err, "drawing the goodput")
}

func renderSVG(drawing *plot.Plot) ([]byte, error) {
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, oops.Wrapf(err, "drawing the plot")
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return nil, oops.Wrapf(err, "writing the plot")
	}
	return image.Bytes(), nil
}

// plotSlopes draws the processor time over the number of nodes, with the fitted
// line.
func plotSlopes(scales []scaleResult) ([]byte, error) {
	var measured []sizedValue
	var points plotter.XYs
	for _, result := range scales {
		measured = append(measured, sizedValue{Size: float64(result.nodes), Value: result.processorPercent})
		points = append(points, plotter.XY{X: float64(result.nodes), Y: result.processorPercent})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, oops.Wrapf(err, "drawing the points")
	}
	fitted := plotter.NewFunction(fitLine(measured).at)
	fitted.Color = color.RGBA{G: 100, A: 255}
	drawing := plot.New()
	drawing.Title.Text = "Processor time of hosts without load"
	drawing.X.Label.Text = "hosts in one process"
	drawing.Y.Label.Text = "% of a core"
	drawing.X.Min, drawing.Y.Min = 0, 0
	drawing.Add(scatter, fitted)
	return renderSVG(drawing)
}
