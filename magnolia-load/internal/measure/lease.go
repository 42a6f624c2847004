package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	leaseAbout = "Hosts without load in one process, six for each service and each service calling the next, with five replicas; what the connections between hosts carry, sent and received, and the processor time, by node and second. The process holds the replicas too, so that their share is in the figures. The naive version has no membership and is left out."
	// leaseSettle outlasts the warm time of started targets, so that their
	// change of state is not counted.
	leaseSettle = 22 * time.Second
	leaseLength = 3 * time.Second
	leaseWithin = time.Minute
	bothEnds    = 2
	kibibyte    = 1 << 10
)

// leaseServices are the numbers of services, with six hosts each.
var leaseServices = []int{2, 5, 17, 50}

func runLease(ctx context.Context, run Run) ([]Figure, error) {
	var figures []Figure
	for _, services := range leaseServices {
		found, err := idleCost(ctx, run, services)
		if err != nil {
			return nil, err
		}
		figures = append(figures, found...)
	}
	return figures, nil
}

// idleCost gives bytes and processor time by node and second.
func idleCost(ctx context.Context, run Run, services int) ([]Figure, error) {
	design := idleDesign(services)
	nodes := services * len(design.Places)
	run.Progress("lease: starting %d hosts", nodes)
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: design, System: system, Seed: run.Seed}
	if err := running.Start(ctx); err != nil {
		return nil, err
	}
	waiting, cancel := context.WithTimeout(ctx, leaseWithin)
	defer cancel()
	if err := system.WaitInForce(waiting, 1); err != nil {
		return nil, err
	}
	time.Sleep(leaseSettle)
	bytes, processor := countIdle(system.Links())
	if err := running.Stop(); err != nil {
		return nil, err
	}
	share := 1 / float64(nodes) / leaseLength.Seconds()
	return []Figure{
		{
			Name: FigureName(fmt.Sprintf("bytes-%d-nodes", nodes)), Unit: "KB/s a node", Target: "3 at most",
			Value: float64(bytes) * bothEnds / kibibyte * share,
		},
		{
			Name: FigureName(fmt.Sprintf("processor-%d-nodes", nodes)), Unit: "% of a core a node", Target: "1.1 at most",
			Value: percent(processor.Seconds() * share),
		},
	}, nil
}

func countIdle(links *link.Map) (bytes int64, processor time.Duration) {
	bytesBefore, processorBefore := links.Carried(), processorTime()
	time.Sleep(leaseLength)
	return links.Carried() - bytesBefore, processorTime() - processorBefore
}

// idleDesign is a chain of services that nobody calls.
func idleDesign(services int) mesh.Design {
	design := mesh.Design{Places: mesh.GotaJusta().Places}
	var texts []string
	for level := 1; level <= services; level++ {
		calls := ""
		if level < services {
			calls = fmt.Sprintf("%q", chainService(level+1))
		}
		design.Services = append(design.Services, mesh.Service{Name: chainService(level), Slots: 50, Connections: 400})
		texts = append(texts, fmt.Sprintf(`%q: {"slots": 50, "connections": 400, "calls": [%s], "kinds": {
			"read": {"method": "GET", "path": "/things/{id}", "importance": "visit", "repeat": "repeatable", "deadline": "1s"}}}`,
			chainService(level), calls))
	}
	design.Text = chainText(strings.Join(texts, ","))
	return design
}
