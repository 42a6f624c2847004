// Package experiment runs a load on one version of the mesh and summarizes the
// results: a warm-up, a steady load, an overload, and the steady load again.
//
// A [Trial] is run by one goroutine. It calls Progress and the system's Patch from
// other goroutines.
//
// # Usage
//
//	trial := experiment.Trial{
//		Design: mesh.GotaJusta(),
//		System: &mesh.Naive{},
//		Load: experiment.LoadProfile{
//			Seed: 1, Before: time.Second, Overload: time.Second, After: time.Second, OverloadRateFactor: 2,
//		},
//	}
//	outcome, err := trial.Run(ctx)
//	summary := experiment.Summarize(outcome)
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

// Names of the phases.
const (
	PhaseWarmUp   = "warm-up"
	PhaseSteady   = "steady"
	PhaseOverload = "overload"
	PhaseRecovery = "after"
)

const (
	progressInterval   = time.Second
	patchedKind        = "agenda/day"
	patchedDeadline    = 1900 * time.Millisecond
	maxCallerAttempts  = 3
	lastAnswersTimeout = 2 * time.Second
)

// LoadProfile describes the load over time. Before, Overload and After are the
// lengths of the phases after the warm-up.
type LoadProfile struct {
	Seed uint64
	// WarmUp is spent under the steady load; most figures leave it out.
	WarmUp   time.Duration
	Before   time.Duration
	Overload time.Duration
	After    time.Duration
	// OverloadRateFactor multiplies all arrival rates during the overload.
	OverloadRateFactor float64
	// OverloadSlowdown multiplies the service times of the deepest service during the
	// overload; zero leaves them unchanged.
	OverloadSlowdown float64
}

// Progress describes the last second of a run. Rates are in requests a second.
type Progress struct {
	Elapsed     time.Duration
	Phase       string
	OfferedRate float64
	Goodput     float64
}

// Trial is one run. Its fields are set before Run.
type Trial struct {
	Design    mesh.Design
	System    mesh.Patcher
	Load      LoadProfile
	Latencies link.Latencies
	// PatchDuringOverload patches the configuration when the overload begins.
	PatchDuringOverload bool
	// Progress is called once a second from another goroutine; it may be nil.
	Progress func(Progress)
}

// Outcome holds the raw results of a run.
type Outcome struct {
	Plan       load.Plan
	Samples    []load.Sample
	WorkTimes  map[target.AttemptName]time.Duration
	CallCounts map[target.AttemptName]int
	Records    *target.Records
	// PatchTimes is zero without a patch or if it failed early, as PatchErr says.
	PatchTimes mesh.PatchTimes
	PatchErr   error
}

// Run starts the mesh, sends the load and stops the mesh. It returns an error if
// the mesh cannot be started or stopped; PatchErr of the outcome holds that of the
// patch.
func (trial *Trial) Run(ctx context.Context) (Outcome, error) {
	running := &mesh.Mesh{Design: trial.Design, System: trial.System, Seed: trial.Load.Seed, Latencies: trial.Latencies}
	if err := running.Start(ctx); err != nil {
		return Outcome{}, err
	}
	outcome := trial.runLoad(ctx, running)
	return outcome, running.Stop()
}

func (trial *Trial) runLoad(ctx context.Context, running *mesh.Mesh) Outcome {
	plan := trial.plan(len(running.Callers()))
	patched := make(chan struct{})
	outcome := Outcome{Plan: plan, Records: running.Records}
	runner := &load.Runner{
		Plan:      plan,
		Callers:   running.Callers(),
		KeyPrefix: "run",
		OnPhaseStart: func(phase load.Phase) {
			trial.applySlowdown(running, phase)
			if phase.Name == PhaseOverload && trial.PatchDuringOverload {
				go func() {
					defer close(patched)
					outcome.PatchTimes, outcome.PatchErr = trial.System.Patch(ctx, patchedKind, patchedDeadline)
				}()
			}
		},
	}
	reporting, stopReporting := context.WithCancel(ctx)
	go trial.reportProgress(reporting, runner)
	sending, stopSending := context.WithTimeout(ctx, plan.Duration()+lastAnswersTimeout)
	outcome.Samples = runner.Run(sending)
	stopSending()
	stopReporting()
	if trial.PatchDuringOverload && ctx.Err() == nil {
		<-patched
	}
	outcome.WorkTimes, outcome.CallCounts = running.Records.WorkTimes(), running.Records.CallCounts()
	return outcome
}

func (trial *Trial) applySlowdown(running *mesh.Mesh, phase load.Phase) {
	factor := 1.0
	if phase.Name == PhaseOverload && trial.Load.OverloadSlowdown > 0 {
		factor = trial.Load.OverloadSlowdown
	}
	running.SetSlowdown(trial.Design.DeepestService, factor)
}

func (trial *Trial) plan(entryNodes int) load.Plan {
	return load.Plan{
		Seed:        trial.Load.Seed,
		Kinds:       trial.Design.Kinds,
		EntryNodes:  entryNodes,
		MaxAttempts: maxCallerAttempts,
		Phases: []load.Phase{
			{Name: PhaseWarmUp, Duration: trial.Load.WarmUp, RateFactor: 1},
			{Name: PhaseSteady, Duration: trial.Load.Before, RateFactor: 1},
			{Name: PhaseOverload, Duration: trial.Load.Overload, RateFactor: trial.Load.OverloadRateFactor},
			{Name: PhaseRecovery, Duration: trial.Load.After, RateFactor: 1},
		},
	}
}

// reportProgress calls Progress each second until the context ends.
func (trial *Trial) reportProgress(ctx context.Context, runner *load.Runner) {
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
			Elapsed:     at,
			Phase:       phaseAt(runner.Plan, at),
			OfferedRate: runner.Plan.OfferedRate(span),
			Goodput:     load.Goodput(samples, span, load.CountEach),
		})
	}
}

func phaseAt(plan load.Plan, at time.Duration) string {
	for _, phase := range plan.Phases {
		if span := plan.PhaseSpan(phase.Name); at > span.From && at <= span.To {
			return phase.Name
		}
	}
	return "last answers"
}

// DeepestServiceCalls is a weight for load.Goodput: the number of calls of the
// deepest service that a request causes.
func (outcome Outcome) DeepestServiceCalls(sample load.Sample) float64 {
	return outcome.Plan.Kinds[sample.KindIndex].DeepestServiceCalls
}

// CountNonRepeatable returns how many requests of kinds that may not be repeated
// arrived within a span, and how many of them got no complete answer.
func (outcome Outcome) CountNonRepeatable(span load.Span) (arrived, lost int) {
	for _, sample := range outcome.Samples {
		if outcome.Plan.Kinds[sample.KindIndex].Repeat != request.Once || !span.Contains(sample.ArrivedAt) {
			continue
		}
		arrived++
		if !sample.Succeeded() {
			lost++
		}
	}
	return arrived, lost
}
