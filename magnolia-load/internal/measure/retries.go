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
	retriesAbout     = "A chain of services whose deepest one drops every connection; calls that reach targets behind one root request, the most of all roots, at each depth. The configuration allows three retries a root and three a call."
	retriesDepth     = 5
	retriesRoots     = 2
	retriesAllowance = 3
	retriesPatience  = 10 * time.Second
	retriesPause     = 50 * time.Millisecond
)

func runRetries(ctx context.Context, run Run) ([]Figure, error) {
	var figures []Figure
	for depth := 1; depth <= retriesDepth; depth++ {
		ours, err := worstRoot(ctx, run.Seed, depth, &mesh.Magnolia{})
		if err != nil {
			return nil, err
		}
		naive, err := worstRoot(ctx, run.Seed, depth, &mesh.Naive{})
		if err != nil {
			return nil, err
		}
		figures = append(figures, Figure{
			Name:     FigureName(fmt.Sprintf("depth-%d", depth)),
			Unit:     "calls a root",
			Target:   Target(fmt.Sprintf("%d at most", depth+retriesAllowance)),
			Value:    float64(ours),
			Naive:    float64(naive),
			HasNaive: true,
		})
	}
	return figures, nil
}

// worstRoot gives the most calls that reached targets behind one root.
func worstRoot(ctx context.Context, seed uint64, depth int, system mesh.Patcher) (int, error) {
	running := &mesh.Mesh{Design: chainDesign(depth), System: system, Seed: seed}
	if err := running.Start(ctx); err != nil {
		return 0, err
	}
	if err := waitChain(ctx, running, depth); err != nil {
		return 0, errors.Join(err, running.Stop())
	}
	entry := running.Callers()[0]
	for number := range retriesRoots {
		entry.Send(ctx, chainKind(number), "", chainRoot(number))
	}
	most := 0
	calls := running.Records.Calls()
	for number := range retriesRoots {
		most = max(most, calls[chainRoot(number)])
	}
	return most, running.Stop()
}

// waitChain sends calls until one has come down to the deepest service, which
// answers nothing.
func waitChain(ctx context.Context, running *mesh.Mesh, depth int) error {
	ctx, cancel := context.WithTimeout(ctx, retriesPatience)
	defer cancel()
	for number := retriesRoots; ctx.Err() == nil; number++ {
		running.Callers()[0].Send(ctx, chainKind(number), "", chainRoot(number))
		if running.Records.Calls()[chainRoot(number)] >= depth {
			return nil
		}
		time.Sleep(retriesPause)
	}
	return oops.Errorf("no call came down to the service at depth %d", depth)
}

func chainKind(number int) load.Kind {
	return load.Kind{Service: chainService(1), Method: "GET", Path: fmt.Sprintf("/things/%d", number), Patience: retriesPatience}
}

func chainRoot(number int) target.AttemptName {
	return target.AttemptName(fmt.Sprintf("root-%d", number))
}

// chainDesign is a chain of services with two instances each, whose last one
// answers nothing. It has no kind that must be answered before the start.
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
			behaviour.Broken = true
		}
		design.Services = append(design.Services, mesh.Service{
			Name: chainService(level), Slots: 50, Connections: 400, Behaviours: []target.Behaviour{behaviour},
		})
		services = append(services, fmt.Sprintf(`%q: {"slots": 50, "connections": 400, "calls": [%s], "kinds": {
			"read": {"method": "GET", "path": "/things/{id}", "importance": "visit", "repeat": "repeatable", "deadline": "10s", "retries": %d}}}`,
			chainService(level), calls, retriesAllowance))
	}
	design.Text = chainText(strings.Join(services, ","))
	return design
}

func chainService(level int) request.ServiceName {
	return request.ServiceName(fmt.Sprintf("level-%d", level))
}

// chainText is a configuration with these services.
func chainText(services string) []byte {
	return []byte(`{"importances": ["visit"], "retry": {"allowance-per-root": 3, "edge-share": 0.1},
		"claims": {"retention": "24h", "record-retention": "168h", "kept-answer": "16KiB"},
		"quarantine": {"hold": "10m"},
		"links": {"bytes-per-second": 500000000, "share-for-unimportant": 0.6},
		"services": {` + services + `}}`)
}
