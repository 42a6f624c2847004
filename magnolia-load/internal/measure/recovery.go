package measure

import (
	"context"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
)

const recoveryAbout = "The time from the end of the overload of the measurement `overload` until the goodput over half a second is at 95% of before."

func runRecovery(ctx context.Context, run Run) ([]Figure, error) {
	results, err := runOverloadOnBoth(ctx, run)
	if err != nil {
		return nil, err
	}
	return []Figure{results.figure("time", "s", "1", recoverySeconds)}, nil
}

func recoverySeconds(outcome experiment.Outcome) float64 {
	summary := experiment.Summarize(outcome)
	if summary.RecoveryTime == nil {
		return Never
	}
	return *summary.RecoveryTime
}
