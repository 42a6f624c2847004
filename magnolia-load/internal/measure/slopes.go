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
	slopesAbout = "What grows with the number of hosts: hosts without load in one process, six for each service and each service calling the next, with five replicas on one machine and without latency. Each total is fitted by a line over the sizes by least squares; the figure at 3,000 nodes is that line drawn out, and no measurement. Bytes are counted at one end of each connection."
	letterNodes = 3000
)

// slopeServices are the numbers of services, with six hosts each.
var slopeServices = []int{2, 5, 10, 17, 34, 50}

// quantity is a total that grows with the number of nodes.
type quantity struct {
	name FigureName
	unit Unit
	of   func(scale) float64
}

// scale is what was measured at one number of nodes.
type scale struct {
	nodes     int
	processor float64
	bytes     float64
	memory    float64
	inForce   float64
}

var quantities = []quantity{
	{"processor", "% of a core", func(found scale) float64 { return found.processor }},
	{"bytes", "KB/s", func(found scale) float64 { return found.bytes }},
	{"memory", "MB", func(found scale) float64 { return found.memory }},
	{"patch-in-force", "ms", func(found scale) float64 { return found.inForce }},
}

func runSlopes(ctx context.Context, run Run) ([]Figure, error) {
	var scales []scale
	for _, services := range slopeServices {
		found, err := measureScale(ctx, run, services)
		if err != nil {
			return nil, err
		}
		scales = append(scales, found)
	}
	var figures []Figure
	for _, wanted := range quantities {
		figures = append(figures, slopeFigures(wanted, scales)...)
	}
	image, err := plotSlopes(scales)
	if err != nil {
		return nil, err
	}
	run.Keep("slopes.svg", image)
	return figures, nil
}

func slopeFigures(wanted quantity, scales []scale) []Figure {
	var figures []Figure
	var points []point
	for _, found := range scales {
		value := wanted.of(found)
		points = append(points, point{Size: float64(found.nodes), Value: value})
		figures = append(figures, Figure{
			Name: FigureName(fmt.Sprintf("%s-%d-nodes", wanted.name, found.nodes)), Unit: wanted.unit, Value: value,
		})
	}
	fitted := fitLine(points)
	return append(
		figures,
		Figure{Name: wanted.name + "-slope", Unit: wanted.unit + " a node", Value: fitted.Slope},
		Figure{Name: wanted.name + "-constant", Unit: wanted.unit, Value: fitted.Intercept},
		Figure{Name: wanted.name + "-fit", Unit: "R²", Value: fitted.Fit},
		Figure{Name: wanted.name + "-drawn-out", Unit: wanted.unit + " at 3000 nodes", Value: fitted.at(letterNodes)},
	)
}

func measureScale(ctx context.Context, run Run, services int) (scale, error) {
	design := idleDesign(services)
	found := scale{nodes: services * len(design.Places)}
	run.Progress("slopes: starting %d hosts", found.nodes)
	empty := heapInUse()
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: design, System: system, Seed: run.Seed}
	if err := running.Start(ctx); err != nil {
		return found, err
	}
	err := found.fill(ctx, system)
	found.memory = heapInUse() - empty
	err = errors.Join(err, running.Stop())
	return found, err
}

func (s *scale) fill(ctx context.Context, system *mesh.Magnolia) error {
	ctx, cancel := context.WithTimeout(ctx, leaseWithin)
	defer cancel()
	if err := system.WaitInForce(ctx, configuration.Version(1)); err != nil {
		return err
	}
	time.Sleep(leaseSettle)
	bytes, processor := countIdle(system.Links())
	s.bytes = float64(bytes) / kibibyte / leaseLength.Seconds()
	s.processor = percent(processor.Seconds() / leaseLength.Seconds())
	times, err := system.Patch(ctx, "level-1/read", patchLeast)
	s.inForce = inMilliseconds(times.InForce)
	return err
}

// heapInUse gives the live heap of this process in MB.
func heapInUse() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse+memory.StackInuse) / (kibibyte * kibibyte)
}
