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
	// idleSettleTime is longer than the warm-up of started targets, so that their
	// change of state is not counted.
	idleSettleTime      = 22 * time.Second
	idleMeasureDuration = 3 * time.Second
	idleStartTimeout    = time.Minute
	endsPerConnection   = 2
	kibibyte            = 1 << 10
)

// leaseServiceCounts are the numbers of services measured, with six hosts each.
var leaseServiceCounts = []int{2, 5, 17, 50}

func runLease(ctx context.Context, run Run) ([]Figure, error) {
	var figures []Figure
	for _, services := range leaseServiceCounts {
		costs, err := idleCost(ctx, run, services)
		if err != nil {
			return nil, err
		}
		figures = append(figures, costs...)
	}
	return figures, nil
}

// idleCost returns bytes and processor time per node and second.
func idleCost(ctx context.Context, run Run, services int) ([]Figure, error) {
	design := idleDesign(services)
	nodes := services * len(design.Places)
	run.Progress("lease: starting %d hosts", nodes)
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: design, System: system, Seed: run.Seed}
	if err := running.Start(ctx); err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, idleStartTimeout)
	defer cancel()
	if err := system.WaitInForce(waitCtx, 1); err != nil {
		return nil, err
	}
	time.Sleep(idleSettleTime)
	bytes, processor := measureIdle(system.Topology())
	if err := running.Stop(); err != nil {
		return nil, err
	}
	perNodeSecond := 1 / float64(nodes) / idleMeasureDuration.Seconds()
	return []Figure{
		{
			Name: FigureName(fmt.Sprintf("bytes-%d-nodes", nodes)), Unit: "KB/s a node", Target: "3 at most",
			Value: float64(bytes) * endsPerConnection / kibibyte * perNodeSecond,
		},
		{
			Name: FigureName(fmt.Sprintf("processor-%d-nodes", nodes)), Unit: "% of a core a node", Target: "1.1 at most",
			Value: toPercent(processor.Seconds() * perNodeSecond),
		},
	}, nil
}

func measureIdle(links *link.Topology) (bytes int64, processor time.Duration) {
	bytesBefore, processorBefore := links.BytesCarried(), processorTime()
	time.Sleep(idleMeasureDuration)
	return links.BytesCarried() - bytesBefore, processorTime() - processorBefore
}

// idleDesign is a chain of services that no caller uses.
func idleDesign(services int) mesh.Design {
	design := mesh.Design{Places: mesh.GotaJusta().Places}
	var texts []string
	for level := 1; level <= services; level++ {
		calls := ""
		if level < services {
			calls = fmt.Sprintf("%q", chainService(level+1))
		}
		design.Services = append(design.Services, mesh.Service{Name: chainService(level), Slots: 50, MaxConnections: 400})
		texts = append(texts, fmt.Sprintf(`%q: {"slots": 50, "connections": 400, "calls": [%s], "kinds": {
			"read": {"method": "GET", "path": "/things/{id}", "importance": "visit", "repeat": "repeatable", "deadline": "1s"}}}`,
			chainService(level), calls))
	}
	design.Configuration = chainText(strings.Join(texts, ","))
	return design
}
