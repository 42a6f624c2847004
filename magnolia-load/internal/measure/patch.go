package measure

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	patchAbout         = "Ten patches one after the other on 24 hosts with five replicas, with one-way latencies of 1 ms between failure domains and 20 ms between regions on the connections; the longest time from the sending of a patch by a host without a replica until its version is in force on all nodes, and until its acceptance is answered. Replicas and nodes share one machine and one disk. The naive version writes to memory and is left out."
	patchCount         = 10
	patchKind          = "agenda/day"
	firstPatchDeadline = 1500 * time.Millisecond
	patchDeadlineStep  = 10 * time.Millisecond
	patchTimeout       = 20 * time.Second
)

// briefLatencies are the one-way latencies that the project's brief specifies.
var briefLatencies = link.Latencies{
	BetweenDomains: time.Millisecond,
	BetweenRegions: 20 * time.Millisecond,
	CallerToEntry:  8 * time.Millisecond,
}

func runPatch(ctx context.Context, run Run) ([]Figure, error) {
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: mesh.GotaJusta(), System: system, Seed: run.Seed, Latencies: briefLatencies}
	if err := running.Start(ctx); err != nil {
		return nil, err
	}
	longest, err := longestPatch(ctx, system)
	err = errors.Join(err, running.Stop())
	return []Figure{
		{Name: "in-force", Unit: "s", Target: "1", Value: longest.InForce.Seconds()},
		{Name: "commit", Unit: "s", Value: longest.Commit.Seconds()},
	}, err
}

func longestPatch(ctx context.Context, system mesh.Patcher) (mesh.PatchTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	longest := mesh.PatchTimes{}
	for number := range patchCount {
		times, err := system.Patch(ctx, patchKind, firstPatchDeadline+time.Duration(number)*patchDeadlineStep)
		if err != nil {
			return longest, err
		}
		longest.Commit = max(longest.Commit, times.Commit)
		longest.InForce = max(longest.InForce, times.InForce)
	}
	return longest, nil
}
