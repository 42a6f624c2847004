package measure

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	slopesAbout       = "What grows with the number of hosts: hosts without load in one process, six for each service and each service calling the next, with five replicas on one machine and without latency. Each total is fitted by a line over the sizes by least squares; the figure at 3,000 nodes is that line drawn out, and no measurement. Bytes are counted at one end of each connection."
	extrapolatedNodes = 3000
)

// slopeServiceCounts are the numbers of services measured, with six hosts each.
var slopeServiceCounts = []int{2, 5, 10, 17, 34, 50}

// quantity is a total that is fitted over the number of nodes.
type quantity struct {
	name FigureName
	unit Unit
	of   func(scaleResult) float64
}

// scaleResult holds the totals measured at one number of nodes.
type scaleResult struct {
	nodes              int
	processorPercent   float64
	kilobytesPerSecond float64
	memoryMB           float64
	patchInForceMS     float64
}

var quantities = []quantity{
	{"processor", "% of a core", func(result scaleResult) float64 { return result.processorPercent }},
	{"bytes", "KB/s", func(result scaleResult) float64 { return result.kilobytesPerSecond }},
	{"memory", "MB", func(result scaleResult) float64 { return result.memoryMB }},
	{"patch-in-force", "ms", func(result scaleResult) float64 { return result.patchInForceMS }},
}

func runSlopes(ctx context.Context, run Run) ([]Figure, error) {
	var scales []scaleResult
	for _, services := range slopeServiceCounts {
		result, err := measureScale(ctx, run, services)
		if err != nil {
			return nil, err
		}
		scales = append(scales, result)
	}
	var figures []Figure
	for _, total := range quantities {
		figures = append(figures, slopeFigures(total, scales)...)
	}
	image, err := plotSlopes(scales)
	if err != nil {
		return nil, err
	}
	run.KeepFile("slopes.svg", image)
	return figures, nil
}

func slopeFigures(total quantity, scales []scaleResult) []Figure {
	var figures []Figure
	var points []sizedValue
	for _, result := range scales {
		value := total.of(result)
		points = append(points, sizedValue{Size: float64(result.nodes), Value: value})
		figures = append(figures, Figure{
			Name: FigureName(fmt.Sprintf("%s-%d-nodes", total.name, result.nodes)), Unit: total.unit, Value: value,
		})
	}
	fitted := fitLine(points)
	return append(
		figures,
		Figure{Name: total.name + "-slope", Unit: total.unit + " a node", Value: fitted.Slope},
		Figure{Name: total.name + "-constant", Unit: total.unit, Value: fitted.Intercept},
		Figure{Name: total.name + "-fit", Unit: "R²", Value: fitted.RSquared},
		Figure{Name: total.name + "-drawn-out", Unit: total.unit + " at 3000 nodes", Value: fitted.at(extrapolatedNodes)},
	)
}

func measureScale(ctx context.Context, run Run, services int) (scaleResult, error) {
	design := idleDesign(services)
	result := scaleResult{nodes: services * len(design.Places)}
	run.Progress("slopes: starting %d hosts", result.nodes)
	heapBefore := heapInUseMB()
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: design, System: system, Seed: run.Seed}
	if err := running.Start(ctx); err != nil {
		return result, err
	}
	err := result.measure(ctx, system)
	result.memoryMB = heapInUseMB() - heapBefore
	err = errors.Join(err, running.Stop())
	return result, err
}

func (result *scaleResult) measure(ctx context.Context, system *mesh.Magnolia) error {
	ctx, cancel := context.WithTimeout(ctx, idleStartTimeout)
	defer cancel()
	if err := system.WaitInForce(ctx, configuration.Version(1)); err != nil {
		return err
	}
	time.Sleep(idleSettleTime)
	bytes, processor := measureIdle(system.Topology())
	result.kilobytesPerSecond = float64(bytes) / kibibyte / idleMeasureDuration.Seconds()
	result.processorPercent = toPercent(processor.Seconds() / idleMeasureDuration.Seconds())
	times, err := system.Patch(ctx, "level-1/read", firstPatchDeadline)
	result.patchInForceMS = toMS(times.InForce)
	return err
}

// heapInUseMB returns the memory that the heap and stacks of this process use, in
// MB.
func heapInUseMB() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse+memory.StackInuse) / (kibibyte * kibibyte)
}
