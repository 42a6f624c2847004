// Package load sends an open-loop load of seeded arrivals to entry nodes and
// computes figures from the results: goodput, refusals by code, recovery time
// after an overload, and wasted work.
//
// In an open loop, arrivals do not wait for earlier answers. A caller whose
// attempt brought no complete answer sends the request again without a pause, up
// to a limit.
//
// A plan is plain data. A [Runner] sends one plan; its Samples may be called while
// Run is active. A [Caller] may be shared by goroutines.
//
// # Usage
//
//	runner := &load.Runner{Plan: plan, Callers: callers, KeyPrefix: "run"}
//	samples := runner.Run(ctx)
//	goodput := load.Goodput(samples, plan.PhaseSpan("steady"), load.CountEach)
package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Kind describes the requests of one kind that callers send.
type Kind struct {
	Name    request.KindName
	Service request.ServiceName
	Method  string
	Path    string
	Repeat  request.RepeatRule
	// RatePerSecond is the arrival rate at a rate factor of 1.
	RatePerSecond float64
	// AttemptTimeout is how long a caller waits for the answer to one attempt.
	AttemptTimeout time.Duration
	// BodyBytes is the length of the request body.
	BodyBytes int
	// DeepestServiceCalls is the number of calls of the deepest service that one
	// request causes.
	DeepestServiceCalls float64
}

// Phase is a part of the load with a factor on the rates of all kinds.
type Phase struct {
	Name       string
	Duration   time.Duration
	RateFactor float64
}

// Plan describes a load. Equal plans give equal arrivals.
type Plan struct {
	Seed   uint64
	Kinds  []Kind
	Phases []Phase
	// EntryNodes is the number of entry nodes over which arrivals are spread.
	EntryNodes int
	// MaxAttempts is how many times a caller sends a request at most.
	MaxAttempts int
}

// Arrival is the start of one request.
type Arrival struct {
	At         time.Duration
	KindIndex  int
	EntryIndex int
}

// Arrivals returns the requests of the plan in order of time. Each interval of
// 1/rate holds one arrival of a kind at a random moment (stratified sampling), so
// that the number of arrivals in a phase is the same for every seed.
func (plan Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for index, kind := range plan.Kinds {
		random := rand.New(rand.NewPCG(plan.Seed, uint64(index)))
		begin := time.Duration(0)
		for _, phase := range plan.Phases {
			arrivals = append(arrivals, plan.phaseArrivals(index, kind.RatePerSecond*phase.RateFactor, begin, phase.Duration, random)...)
			begin += phase.Duration
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

func (plan Plan) phaseArrivals(kind int, rate float64, begin, length time.Duration, random *rand.Rand) []Arrival {
	count := int(rate * length.Seconds())
	arrivals := make([]Arrival, 0, count)
	for index := range count {
		position := (float64(index) + random.Float64()) / float64(count)
		arrivals = append(arrivals, Arrival{
			At:         begin + time.Duration(position*float64(length)),
			KindIndex:  kind,
			EntryIndex: random.IntN(max(plan.EntryNodes, 1)),
		})
	}
	return arrivals
}

// Duration returns the time that all phases take.
func (plan Plan) Duration() time.Duration {
	length := time.Duration(0)
	for _, phase := range plan.Phases {
		length += phase.Duration
	}
	return length
}

// Span is a part of a run, including From and excluding To.
type Span struct {
	From time.Duration
	To   time.Duration
}

// Contains reports whether the span includes a moment.
func (span Span) Contains(moment time.Duration) bool {
	return moment >= span.From && moment < span.To
}

// Seconds returns the length of the span.
func (span Span) Seconds() float64 { return (span.To - span.From).Seconds() }

// PhaseSpan returns the span of the first phase with this name, or an empty span.
func (plan Plan) PhaseSpan(name string) Span {
	begin := time.Duration(0)
	for _, phase := range plan.Phases {
		if phase.Name == name {
			return Span{From: begin, To: begin + phase.Duration}
		}
		begin += phase.Duration
	}
	return Span{}
}

// OfferedRate returns the requests a second that the plan starts within a span.
func (plan Plan) OfferedRate(span Span) float64 {
	count := 0
	for _, arrival := range plan.Arrivals() {
		if span.Contains(arrival.At) {
			count++
		}
	}
	return float64(count) / span.Seconds()
}
