package measure

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	restartAbout   = "500 patches are accepted on 24 hosts with five replicas, then all hosts end and start again on their files; the time from their start until the latest version is in force on all nodes. The naive version keeps nothing over a restart and is left out."
	restartPatches = 500
	restartTimeout = time.Minute
)

func runRestart(ctx context.Context, run Run) ([]Figure, error) {
	system := &mesh.Magnolia{}
	running := &mesh.Mesh{Design: mesh.GotaJusta(), System: system, Seed: run.Seed}
	if err := running.Start(ctx); err != nil {
		return nil, err
	}
	took, accepted, err := patchAndRestart(ctx, system)
	err = errors.Join(err, running.Stop())
	return []Figure{
		{Name: "time", Unit: "s", Target: "2", Value: took.Seconds()},
		{Name: "accepted", Unit: "patches/s", Value: accepted},
	}, err
}

// patchAndRestart returns the duration of the restart, and the patches accepted a
// second before it.
func patchAndRestart(ctx context.Context, system *mesh.Magnolia) (took time.Duration, accepted float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	begin := time.Now()
	version := configuration.Version(1)
	for number := range restartPatches {
		deadline := firstPatchDeadline + time.Duration(number)*time.Millisecond
		if version, err = system.SendPatch(ctx, version, patchKind, deadline); err != nil {
			return 0, 0, err
		}
	}
	accepted = restartPatches / time.Since(begin).Seconds()
	took, err = system.Restart(ctx, version)
	return took, accepted, err
}
