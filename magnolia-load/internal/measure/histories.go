package measure

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"

	"github.com/samber/oops"
)

const (
	historiesAbout  = "Seeded histories of the replicated log, with crashes, lost disks, cuts and messages that are lost, doubled, delayed and reordered, against a naive model of the accepted versions; histories of a group that forms and mends itself; and histories of claims. It runs the property tests with another seed for each run, from the root of a checkout."
	historiesPerRun = 20_000
	seedsPerRun     = 1_000_000
)

func runHistories(ctx context.Context, run Run) ([]Figure, error) {
	seed := strconv.FormatUint(run.Seed*seedsPerRun, 10)
	brokenLog, err := countFailure(ctx, run, seed, "^TestHistories$", "./internal/core/quorum")
	if err != nil {
		return nil, err
	}
	brokenClaims, err := countFailure(ctx, run, seed, "^TestHistoriesRunEachActionAtMostOnce$", "./internal/core/claim")
	if err != nil {
		return nil, err
	}
	brokenGroup, err := countFailure(ctx, run, seed, "^TestHistoriesOfAGroup$", "./internal/replica")
	if err != nil {
		return nil, err
	}
	return []Figure{
		{Name: "log", Unit: "histories a run", Target: "20000 at least", Value: historiesPerRun},
		{Name: "log-broken", Unit: "runs with a broken promise", Target: "0", Value: brokenLog},
		{Name: "group-broken", Unit: "runs with a broken promise", Target: "0", Value: brokenGroup},
		{Name: "claims-broken", Unit: "runs with a broken promise", Target: "0", Value: brokenClaims},
	}, nil
}

// countFailure runs a property test and returns 1 if it fails.
func countFailure(ctx context.Context, run Run, seed, test, folder string) (float64, error) {
	command := exec.CommandContext(ctx, "go", "test", "-count=1", "-run", test, folder)
	command.Env = append(os.Environ(), "MAGNOLIAWALL_SEED="+seed, fmt.Sprintf("MAGNOLIAWALL_HISTORIES=%d", historiesPerRun))
	output, err := command.CombinedOutput()
	if err == nil {
		return 0, nil
	}
	if command.ProcessState == nil || ctx.Err() != nil {
		return 0, oops.Wrapf(err, "running the property test of %s", folder)
	}
	run.Progress("histories: seed %s of %s:\n%s", seed, folder, output)
	return 1, nil
}
