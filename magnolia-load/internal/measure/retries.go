package measure

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	retriesAbout      = "A chain of services whose deepest one drops every connection; calls that reach targets behind one root request, the most of all roots, at each depth. The configuration allows three retries a root and three a call."
	maxChainDepth     = 5
	measuredRoots     = 2
	retriesPerRoot    = 3
	retriesTimeout    = 10 * time.Second
	waitChainInterval = 50 * time.Millisecond
)

func runRetries(ctx context.Context, run Run) ([]Figure, error) {
	var figures []Figure
	for depth := 1; depth <= maxChainDepth; depth++ {
		magnolia, err := mostCallsPerRoot(ctx, run.Seed, depth, &mesh.Magnolia{})
		if err != nil {
			return nil, err
		}
		naive, err := mostCallsPerRoot(ctx, run.Seed, depth, &mesh.Naive{})
		if err != nil {
			return nil, err
		}
		figures = append(figures, Figure{
			Name:     FigureName(fmt.Sprintf("depth-%d", depth)),
			Unit:     "calls a root",
			Target:   Target(fmt.Sprintf("%d at most", depth+retriesPerRoot)),
			Value:    float64(magnolia),
			Naive:    float64(naive),
			HasNaive: true,
		})
	}
	return figures, nil
}

// mostCallsPerRoot returns the largest number of calls that reached targets for
// one root request.
func mostCallsPerRoot(ctx context.Context, seed uint64, depth int, system mesh.Patcher) (int, error) {
	running := &mesh.Mesh{Design: chainDesign(depth), System: system, Seed: seed}
	if err := running.Start(ctx); err != nil {
		return 0, err
	}
	if err := waitUntilChainServes(ctx, running, depth); err != nil {
		return 0, errors.Join(err, running.Stop())
	}
	entry := running.Callers()[0]
	for number := range measuredRoots {
		entry.Send(ctx, chainKind(number), "", chainRoot(number))
	}
	most := 0
	calls := running.Records.CallCounts()
	for number := range measuredRoots {
		most = max(most, calls[chainRoot(number)])
	}
	return most, running.Stop()
}

// waitUntilChainServes sends calls until one has reached the deepest service,
// which answers none.
func waitUntilChainServes(ctx context.Context, running *mesh.Mesh, depth int) error {
	ctx, cancel := context.WithTimeout(ctx, retriesTimeout)
	defer cancel()
	for number := measuredRoots; ctx.Err() == nil; number++ {
		running.Callers()[0].Send(ctx, chainKind(number), "", chainRoot(number))
		if running.Records.CallCounts()[chainRoot(number)] >= depth {
			return nil
		}
		time.Sleep(waitChainInterval)
	}
	return oops.Errorf("no call reached the service at depth %d in time", depth)
}

func chainKind(number int) load.Kind {
	return load.Kind{Service: chainService(1), Method: "GET", Path: fmt.Sprintf("/things/%d", number), AttemptTimeout: retriesTimeout}
}

func chainRoot(number int) target.AttemptName {
	return target.AttemptName(fmt.Sprintf("root-%d", number))
}

// chainDesign is a chain of services with two instances each. The last one drops
// all connections, so there are no kinds that the mesh could wait for at its
// start.
func chainDesign(depth int) mesh.Design {
	design := mesh.Design{Places: mesh.GotaJusta().Places[:2]}
	var services []string
	for level := 1; level <= depth; level++ {
		behaviour := target.Behaviour{Kind: request.KindName(chainService(level) + "/read"), Pattern: "GET /things/{id}"}
		calls := ""
		if level < depth {
			behaviour.Calls = []target.Call{{Service: chainService(level + 1), Method: "GET", Path: "/things/1"}}
			calls = fmt.Sprintf("%q", chainService(level+1))
		} else {
			behaviour.DropConnections = true
		}
		design.Services = append(design.Services, mesh.Service{
			Name: chainService(level), Slots: 50, MaxConnections: 400, Behaviours: []target.Behaviour{behaviour},
		})
		services = append(services, fmt.Sprintf(`%q: {"slots": 50, "connections": 400, "calls": [%s], "kinds": {
			"read": {"method": "GET", "path": "/things/{id}", "importance": "visit", "repeat": "repeatable", "deadline": "10s", "retries": %d}}}`,
			chainService(level), calls, retriesPerRoot))
	}
	design.Configuration = chainText(strings.Join(services, ","))
	return design
}

func chainService(level int) request.ServiceName {
	return request.ServiceName(fmt.Sprintf("level-%d", level))
}

// chainText returns a configuration with these services.
func chainText(services string) []byte {
	return []byte(`{"importances": ["visit"], "retry": {"allowance-per-root": 3, "edge-share": 0.1},
		"claims": {"retention": "24h", "record-retention": "168h", "kept-answer": "16KiB"},
		"quarantine": {"hold": "10m"},
		"links": {"bytes-per-second": 500000000, "share-for-unimportant": 0.6},
		"services": {` + services + `}}`)
}
