package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
)

// KindSummary is what callers of one kind got, in requests a second.
type KindSummary struct {
	Kind     request.KindName `json:"kind"`
	Before   float64          `json:"goodput-before"`
	Overload float64          `json:"goodput-overload"`
	Offered  float64          `json:"offered-overload"`
	After    float64          `json:"goodput-after"`
}

// RefusalSummary counts the attempts that ended one way.
type RefusalSummary struct {
	Code  request.Code `json:"code"`
	Name  string       `json:"name"`
	Count int          `json:"count"`
}

// Summary is the table of one version of the nodes. Times are in seconds.
type Summary struct {
	Goodput  []KindSummary    `json:"goodput"`
	Refusals []RefusalSummary `json:"refusals"`
	// RecoveryTime is null if the goodput did not come back within the run.
	RecoveryTime *float64 `json:"recovery-time"`
	// PatchTime is null if the patch did not come into force.
	PatchTime *float64 `json:"patch-in-force-time"`
	Median    float64  `json:"latency-median"`
	Tail      float64  `json:"latency-99"`
	Wasted    float64  `json:"wasted-work-share"`
	Wrong     int      `json:"wrong-answers"`
	Late      int      `json:"late-attempts"`
	Broken    int      `json:"broken-attempts"`
	Repeated  int      `json:"actions-run-twice"`
	Denied    int      `json:"actions-run-though-not-run"`
}

// Summarize works out the table of a run.
func Summarize(outcome Outcome) Summary {
	plan := outcome.Plan
	results := load.Results(outcome.Samples)
	repeated, denied := load.Overruns(outcome.Samples, plan.Kinds, outcome.Records)
	median, tail := load.Latencies(outcome.Samples, load.Span{From: plan.SpanOf(Steady).From, To: plan.Length()})
	return Summary{
		Goodput:      kindSummaries(outcome),
		Refusals:     refusalSummaries(outcome.Samples),
		RecoveryTime: outcome.recovery(),
		PatchTime:    outcome.patchTime(),
		Median:       median.Seconds(),
		Tail:         tail.Seconds(),
		Wasted:       load.Wasted(outcome.Samples, plan.Kinds, outcome.Work),
		Wrong:        results[load.Wrong],
		Late:         results[load.Late],
		Broken:       results[load.Broken],
		Repeated:     repeated,
		Denied:       denied,
	}
}

func kindSummaries(outcome Outcome) []KindSummary {
	plan, samples := outcome.Plan, outcome.Samples
	steady, overload, after := plan.SpanOf(Steady), plan.SpanOf(Overload), plan.SpanOf(Recovery)
	summaries := make([]KindSummary, 0, len(plan.Kinds))
	for index, kind := range plan.Kinds {
		weight := load.OfKind(index)
		summaries = append(summaries, KindSummary{
			Kind:     kind.Name,
			Before:   load.Goodput(samples, steady, weight),
			Overload: load.Goodput(samples, overload, weight),
			Offered:  load.Offered(samples, overload, weight),
			After:    load.Goodput(samples, after, weight),
		})
	}
	return summaries
}

func refusalSummaries(samples []load.Sample) []RefusalSummary {
	summaries := []RefusalSummary{}
	for code, count := range load.Refusals(samples) {
		summaries = append(summaries, RefusalSummary{Code: code, Name: code.String(), Count: count})
	}
	slices.SortFunc(summaries, func(a, b RefusalSummary) int { return cmp.Compare(a.Code, b.Code) })
	return summaries
}

func (outcome Outcome) recovery() *float64 {
	plan := outcome.Plan
	took, back := load.Recovery(outcome.Samples, len(plan.Kinds), plan.SpanOf(Steady), plan.SpanOf(Overload).To, plan.Length())
	if !back {
		return nil
	}
	return seconds(took)
}

func (outcome Outcome) patchTime() *float64 {
	if outcome.PatchErr != nil || outcome.Patched.InForce == 0 {
		return nil
	}
	return seconds(outcome.Patched.InForce)
}

func seconds(length time.Duration) *float64 {
	value := length.Seconds()
	return &value
}
