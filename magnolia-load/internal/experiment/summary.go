package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
)

// KindSummary holds the rates of one kind, in requests a second.
type KindSummary struct {
	Kind            request.KindName `json:"kind"`
	GoodputBefore   float64          `json:"goodput-before"`
	GoodputOverload float64          `json:"goodput-overload"`
	OfferedOverload float64          `json:"offered-overload"`
	GoodputAfter    float64          `json:"goodput-after"`
}

// RefusalSummary is the number of attempts refused with a code.
type RefusalSummary struct {
	Code  request.Code `json:"code"`
	Name  string       `json:"name"`
	Count int          `json:"count"`
}

// Summary holds the figures of a run on one version of the nodes. Times are in
// seconds.
type Summary struct {
	Goodput  []KindSummary    `json:"goodput"`
	Refusals []RefusalSummary `json:"refusals"`
	// RecoveryTime is null if the goodput did not recover within the run.
	RecoveryTime *float64 `json:"recovery-time"`
	// PatchInForceTime is null if the patch did not come into force.
	PatchInForceTime       *float64 `json:"patch-in-force-time"`
	LatencyMedian          float64  `json:"latency-median"`
	Latency99              float64  `json:"latency-99"`
	WastedWorkShare        float64  `json:"wasted-work-share"`
	WrongAnswers           int      `json:"wrong-answers"`
	LateAttempts           int      `json:"late-attempts"`
	BrokenAttempts         int      `json:"broken-attempts"`
	ActionsRunTwice        int      `json:"actions-run-twice"`
	ActionsRunThoughNotRun int      `json:"actions-run-though-not-run"`
}

// Summarize computes the figures of a run.
func Summarize(outcome Outcome) Summary {
	plan := outcome.Plan
	results := load.CountResults(outcome.Samples)
	repeated, denied := load.CountRunViolations(outcome.Samples, plan.Kinds, outcome.Records)
	median, tail := load.LatencyPercentiles(outcome.Samples, load.Span{From: plan.PhaseSpan(PhaseSteady).From, To: plan.Duration()})
	return Summary{
		Goodput:                kindSummaries(outcome),
		Refusals:               refusalSummaries(outcome.Samples),
		RecoveryTime:           outcome.recoveryTime(),
		PatchInForceTime:       outcome.patchInForceTime(),
		LatencyMedian:          median.Seconds(),
		Latency99:              tail.Seconds(),
		WastedWorkShare:        load.WastedShare(outcome.Samples, plan.Kinds, outcome.WorkTimes),
		WrongAnswers:           results[load.ResultWrong],
		LateAttempts:           results[load.ResultLate],
		BrokenAttempts:         results[load.ResultBroken],
		ActionsRunTwice:        repeated,
		ActionsRunThoughNotRun: denied,
	}
}

func kindSummaries(outcome Outcome) []KindSummary {
	plan, samples := outcome.Plan, outcome.Samples
	steady, overload, after := plan.PhaseSpan(PhaseSteady), plan.PhaseSpan(PhaseOverload), plan.PhaseSpan(PhaseRecovery)
	summaries := make([]KindSummary, 0, len(plan.Kinds))
	for index, kind := range plan.Kinds {
		weight := load.CountKind(index)
		summaries = append(summaries, KindSummary{
			Kind:            kind.Name,
			GoodputBefore:   load.Goodput(samples, steady, weight),
			GoodputOverload: load.Goodput(samples, overload, weight),
			OfferedOverload: load.OfferedRate(samples, overload, weight),
			GoodputAfter:    load.Goodput(samples, after, weight),
		})
	}
	return summaries
}

func refusalSummaries(samples []load.Sample) []RefusalSummary {
	summaries := []RefusalSummary{}
	for code, count := range load.CountRefusals(samples) {
		summaries = append(summaries, RefusalSummary{Code: code, Name: code.String(), Count: count})
	}
	slices.SortFunc(summaries, func(a, b RefusalSummary) int { return cmp.Compare(a.Code, b.Code) })
	return summaries
}

func (outcome Outcome) recoveryTime() *float64 {
	plan := outcome.Plan
	duration, recovered := load.RecoveryTime(outcome.Samples, len(plan.Kinds), plan.PhaseSpan(PhaseSteady), plan.PhaseSpan(PhaseOverload).To, plan.Duration())
	if !recovered {
		return nil
	}
	return seconds(duration)
}

func (outcome Outcome) patchInForceTime() *float64 {
	if outcome.PatchErr != nil || outcome.PatchTimes.InForce == 0 {
		return nil
	}
	return seconds(outcome.PatchTimes.InForce)
}

func seconds(duration time.Duration) *float64 {
	value := duration.Seconds()
	return &value
}
