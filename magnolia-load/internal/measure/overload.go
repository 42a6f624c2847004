package measure

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	overloadWarmUp     = 1500 * time.Millisecond
	overloadBefore     = 1500 * time.Millisecond
	overloadDuration   = 2500 * time.Millisecond
	overloadAfter      = 2 * time.Second
	overloadRateFactor = 2
	overloadSlowdown   = 4
	overloadSettleTime = 500 * time.Millisecond
)

const overloadAbout = "The deepest service slows by four times while demand doubles and callers send a request up to three times without a pause."

// outcomes holds the outcomes of both versions under one load.
type outcomes struct {
	magnolia experiment.Outcome
	naive    experiment.Outcome
}

// runOverloadOnBoth runs the overload on both versions at the same time, so that
// noise of the machine affects both.
func runOverloadOnBoth(ctx context.Context, run Run) (outcomes, error) {
	results := outcomes{}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		results.magnolia, err = runOverloadTrial(ctx, run, &mesh.Magnolia{})
		return err
	})
	group.Go(func() (err error) {
		results.naive, err = runOverloadTrial(ctx, run, &mesh.Naive{})
		return err
	})
	return results, group.Wait()
}

func runOverloadTrial(ctx context.Context, run Run, system mesh.Patcher) (experiment.Outcome, error) {
	trial := experiment.Trial{
		Design: mesh.GotaJusta(),
		System: system,
		Load: experiment.LoadProfile{
			Seed:               run.Seed,
			WarmUp:             overloadWarmUp,
			Before:             overloadBefore,
			Overload:           overloadDuration,
			After:              overloadAfter,
			OverloadRateFactor: overloadRateFactor,
			OverloadSlowdown:   overloadSlowdown,
		},
	}
	return trial.Run(ctx)
}

// figure computes a figure of both versions.
func (outcomes outcomes) figure(name FigureName, unit Unit, target Target, value func(experiment.Outcome) float64) Figure {
	return Figure{Name: name, Unit: unit, Target: target, Value: value(outcomes.magnolia), Naive: value(outcomes.naive), HasNaive: true}
}

func runOverload(ctx context.Context, run Run) ([]Figure, error) {
	results, err := runOverloadOnBoth(ctx, run)
	if err != nil {
		return nil, err
	}
	image, err := plotGoodput(results)
	if err != nil {
		return nil, err
	}
	run.KeepFile("overload.svg", image)
	return []Figure{
		results.figure("goodput", "% of what the slowed service can do", "at least 95", deepestGoodputPercent),
		results.figure("important-lost", "requests", "0", nonRepeatableLost),
		results.figure("wasted-work", "%", "under 3", wastedWorkPercent),
		results.figure("whole", "answers/s", "", goodputRate),
		results.figure("wrong", "answers", "0", wrongAnswers),
		results.figure("run-twice", "actions", "0", runTwice),
		results.figure("run-though-not-run", "actions", "0", runThoughNotRun),
	}, nil
}

// overloadSpan is the span of the overload, without its beginning, when answers to
// earlier requests still arrive.
func overloadSpan(outcome experiment.Outcome) load.Span {
	span := outcome.Plan.PhaseSpan(experiment.PhaseOverload)
	span.From += overloadSettleTime
	return span
}

// deepestGoodputPercent returns the goodput of requests that need the deepest
// service, in percent of that service's capacity while it is slow.
func deepestGoodputPercent(outcome experiment.Outcome) float64 {
	capacity := mesh.GotaJusta().DeepestServiceCapacity(overloadSlowdown)
	return toPercent(load.Goodput(outcome.Samples, overloadSpan(outcome), outcome.DeepestServiceCalls) / capacity)
}

func nonRepeatableLost(outcome experiment.Outcome) float64 {
	_, lost := outcome.CountNonRepeatable(outcome.Plan.PhaseSpan(experiment.PhaseOverload))
	return float64(lost)
}

func wastedWorkPercent(outcome experiment.Outcome) float64 {
	return toPercent(load.WastedShare(outcome.Samples, outcome.Plan.Kinds, outcome.WorkTimes))
}

func goodputRate(outcome experiment.Outcome) float64 {
	return load.Goodput(outcome.Samples, overloadSpan(outcome), load.CountEach)
}

func wrongAnswers(outcome experiment.Outcome) float64 {
	return float64(load.CountResults(outcome.Samples)[load.ResultWrong])
}

func runTwice(outcome experiment.Outcome) float64 {
	repeated, _ := load.CountRunViolations(outcome.Samples, outcome.Plan.Kinds, outcome.Records)
	return float64(repeated)
}

func runThoughNotRun(outcome experiment.Outcome) float64 {
	_, denied := load.CountRunViolations(outcome.Samples, outcome.Plan.Kinds, outcome.Records)
	return float64(denied)
}

func toPercent(share float64) float64 {
	const hundred = 100
	return share * hundred
}
