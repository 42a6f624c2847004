// Package experiment runs one load on one version of a mesh and gives the
// figures: after a warm-up the load is steady, then an overload, then
// steady again.
//
// # Usage
//
//	trial := experiment.Trial{
//		Design: mesh.GotaJusta(),
//		System: &mesh.Naive{},
//		Load:   experiment.Load{Seed: 1, Before: time.Second, During: time.Second, After: time.Second, Factor: 2},
//	}
//	report, err := trial.Run(ctx)
package experiment

import (
	"context"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// The names of the phases.
const (
	Warm     = "warm-up"
	Steady   = "steady"
	Overload = "overload"
	Recovery = "after"
)

const (
	progressInterval = time.Second
	patchedKind      = "agenda/day"
	patchedDeadline  = 1900 * time.Millisecond
	callerAttempts   = 3
	lastAnswers      = 2 * time.Second
)

// Load is the course of the load.
type Load struct {
	Seed uint64
	// WarmUp is under the usual load and left out of all figures.
	WarmUp time.Duration
	Before time.Duration
	During time.Duration
	After  time.Duration
	// Factor is on all rates during the overload.
	Factor float64
	// Slowness is on the service times of the deepest service during the
	// overload; zero leaves them.
	Slowness float64
}

// Progress is told each second of a run.
type Progress struct {
	At      time.Duration
	Phase   string
	Offered float64
	Goodput float64
}

// Trial is one run. Its fields are set before Run.
type Trial struct {
	Design    mesh.Design
	System    mesh.Patcher
	Load      Load
	Latencies link.Latencies
	// Patch tells whether the configuration is patched in the middle.
	Patch bool
	// Progress is told of the course; it may be nil.
	Progress func(Progress)
}

// Outcome is all that a run gave.
type Outcome struct {
	Plan    load.Plan
	Samples []load.Sample
	Work    map[target.AttemptName]time.Duration
	Calls   map[target.AttemptName]int
	Records *target.Records
	// Patched tells how long the patch took.
	Patched  mesh.PatchTimes
	PatchErr error
}

// Run brings the mesh up, sends the load and takes the mesh down.
func (trial *Trial) Run(ctx context.Context) (Outcome, error) {
	running := &mesh.Mesh{Design: trial.Design, System: trial.System, Seed: trial.Load.Seed, Latencies: trial.Latencies}
	if err := running.Start(ctx); err != nil {
		return Outcome{}, err
	}
	outcome := trial.drive(ctx, running)
	return outcome, running.Stop()
}

func (trial *Trial) drive(ctx context.Context, running *mesh.Mesh) Outcome {
	plan := trial.plan(len(running.Callers()))
	patched := make(chan struct{})
	outcome := Outcome{Plan: plan, Records: running.Records}
	runner := &load.Runner{
		Plan:    plan,
		Callers: running.Callers(),
		Label:   "run",
		Reached: func(phase load.Phase) {
			trial.slow(running, phase)
			if phase.Name == Overload && trial.Patch {
				go func() {
					defer close(patched)
					outcome.Patched, outcome.PatchErr = trial.System.Patch(ctx, patchedKind, patchedDeadline)
				}()
			}
		},
	}
	watching, stop := context.WithCancel(ctx)
	go trial.watch(watching, runner)
	sending, end := context.WithTimeout(ctx, plan.Length()+lastAnswers)
	outcome.Samples = runner.Run(sending)
	end()
	stop()
	if trial.Patch && ctx.Err() == nil {
		<-patched
	}
	outcome.Work, outcome.Calls = running.Records.Work(), running.Records.Calls()
	return outcome
}

func (trial *Trial) slow(running *mesh.Mesh, phase load.Phase) {
	factor := 1.0
	if phase.Name == Overload && trial.Load.Slowness > 0 {
		factor = trial.Load.Slowness
	}
	running.Slow(trial.Design.Deepest, factor)
}

func (trial *Trial) plan(entries int) load.Plan {
	return load.Plan{
		Seed:     trial.Load.Seed,
		Kinds:    trial.Design.Kinds,
		Entries:  entries,
		Attempts: callerAttempts,
		Phases: []load.Phase{
			{Name: Warm, Length: trial.Load.WarmUp, Factor: 1},
			{Name: Steady, Length: trial.Load.Before, Factor: 1},
			{Name: Overload, Length: trial.Load.During, Factor: trial.Load.Factor},
			{Name: Recovery, Length: trial.Load.After, Factor: 1},
		},
	}
}

// watch tells the progress of the run.
func (trial *Trial) watch(ctx context.Context, runner *load.Runner) {
	if trial.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for at := progressInterval; ; at += progressInterval {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		span := load.Span{From: at - progressInterval, To: at}
		samples := runner.Samples()
		trial.Progress(Progress{
			At:      at,
			Phase:   phaseAt(runner.Plan, at),
			Offered: runner.Plan.OfferedIn(span),
			Goodput: load.Goodput(samples, span, load.Each),
		})
	}
}

func phaseAt(plan load.Plan, at time.Duration) string {
	for _, phase := range plan.Phases {
		if span := plan.SpanOf(phase.Name); at > span.From && at <= span.To {
			return phase.Name
		}
	}
	return "last answers"
}

// Deep weighs a request by the calls of the deepest service that it makes.
func (outcome Outcome) Deep(sample load.Sample) float64 {
	return outcome.Plan.Kinds[sample.Kind].Deep
}

// Important counts the requests of kinds that may not be repeated which
// arrived within a span, and those of them that were lost.
func (outcome Outcome) Important(span load.Span) (arrived, lost int) {
	for _, sample := range outcome.Samples {
		if outcome.Plan.Kinds[sample.Kind].Repeat != request.Once || !span.Holds(sample.Arrived) {
			continue
		}
		arrived++
		if !sample.Whole() {
			lost++
		}
	}
	return arrived, lost
}
