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
	overloadWarmUp   = 1500 * time.Millisecond
	overloadBefore   = 1500 * time.Millisecond
	overloadDuring   = 2500 * time.Millisecond
	overloadAfter    = 2 * time.Second
	overloadFactor   = 2
	overloadSlowness = 4
	settleTime       = 500 * time.Millisecond
)

const overloadAbout = "The deepest service slows by four times while demand doubles and callers send a request up to three times without a pause."

// pair is one load on both versions.
type pair struct {
	ours  experiment.Outcome
	naive experiment.Outcome
}

// overloadPair runs the overload on both versions at one time, so that the
// machine's noise is the same for both.
func overloadPair(ctx context.Context, run Run) (pair, error) {
	found := pair{}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		found.ours, err = overloadTrial(ctx, run, &mesh.Magnolia{})
		return err
	})
	group.Go(func() (err error) {
		found.naive, err = overloadTrial(ctx, run, &mesh.Naive{})
		return err
	})
	return found, group.Wait()
}

func overloadTrial(ctx context.Context, run Run, system mesh.Patcher) (experiment.Outcome, error) {
	trial := experiment.Trial{
		Design: mesh.GotaJusta(),
		System: system,
		Load: experiment.Load{
			Seed:     run.Seed,
			WarmUp:   overloadWarmUp,
			Before:   overloadBefore,
			During:   overloadDuring,
			After:    overloadAfter,
			Factor:   overloadFactor,
			Slowness: overloadSlowness,
		},
	}
	return trial.Run(ctx)
}

// both makes a figure from what each version gave.
func (p pair) both(name FigureName, unit Unit, target Target, of func(experiment.Outcome) float64) Figure {
	return Figure{Name: name, Unit: unit, Target: target, Value: of(p.ours), Naive: of(p.naive), HasNaive: true}
}

func runOverload(ctx context.Context, run Run) ([]Figure, error) {
	found, err := overloadPair(ctx, run)
	if err != nil {
		return nil, err
	}
	image, err := plotGoodput(found)
	if err != nil {
		return nil, err
	}
	run.Keep("overload.svg", image)
	return []Figure{
		found.both("goodput", "% of what the slowed service can do", "at least 95", deepShare),
		found.both("important-lost", "requests", "0", importantLost),
		found.both("wasted-work", "%", "under 3", wastedShare),
		found.both("whole", "answers/s", "", wholeRate),
		found.both("wrong", "answers", "0", wrongAnswers),
		found.both("run-twice", "actions", "0", runTwice),
		found.both("run-though-not-run", "actions", "0", runThoughNotRun),
	}, nil
}

// overloadSpan is the overload without the time in which answers of before
// still come.
func overloadSpan(outcome experiment.Outcome) load.Span {
	span := outcome.Plan.SpanOf(experiment.Overload)
	span.From += settleTime
	return span
}

// deepShare gives the goodput of requests that need the deepest service, as a
// share of what it can do while it is slow.
func deepShare(outcome experiment.Outcome) float64 {
	capacity := mesh.GotaJusta().DeepCapacity(overloadSlowness)
	return percent(load.Goodput(outcome.Samples, overloadSpan(outcome), outcome.Deep) / capacity)
}

func importantLost(outcome experiment.Outcome) float64 {
	_, lost := outcome.Important(outcome.Plan.SpanOf(experiment.Overload))
	return float64(lost)
}

func wastedShare(outcome experiment.Outcome) float64 {
	return percent(load.Wasted(outcome.Samples, outcome.Plan.Kinds, outcome.Work))
}

func wholeRate(outcome experiment.Outcome) float64 {
	return load.Goodput(outcome.Samples, overloadSpan(outcome), load.Each)
}

func wrongAnswers(outcome experiment.Outcome) float64 {
	return float64(load.Results(outcome.Samples)[load.Wrong])
}

func runTwice(outcome experiment.Outcome) float64 {
	repeated, _ := load.Overruns(outcome.Samples, outcome.Plan.Kinds, outcome.Records)
	return float64(repeated)
}

func runThoughNotRun(outcome experiment.Outcome) float64 {
	_, denied := load.Overruns(outcome.Samples, outcome.Plan.Kinds, outcome.Records)
	return float64(denied)
}

func percent(share float64) float64 {
	const hundred = 100
	return share * hundred
}
