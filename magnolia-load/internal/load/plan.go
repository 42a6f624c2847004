// Package load sends an open-loop load of seeded arrivals at entry nodes and
// works out what came of it: goodput of whole requests, refusals by code,
// recovery time after an overload, and work that was done in vain.
//
// Open loop means that arrivals do not wait for answers, as the callers of the
// brief do not. A caller whose attempt brought no whole answer sends it again
// at once, up to a limit.
//
// # Usage
//
//	runner := &load.Runner{Plan: plan, Entries: entries, Records: records}
//	samples := runner.Run(ctx)
//	figures := load.Evaluate(plan, samples, records)
package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Kind is a kind of request as callers send it.
type Kind struct {
	Name    request.KindName
	Service request.ServiceName
	Method  string
	Path    string
	Repeat  request.RepeatRule
	// Rate is the arrivals a second at factor 1.
	Rate float64
	// Patience is how long a caller waits for one attempt.
	Patience time.Duration
	// BodySize is the length of the request's body in bytes.
	BodySize int
	// Deep is how many calls of the deepest service one request makes.
	Deep float64
}

// Phase is a part of the load with a factor on all rates.
type Phase struct {
	Name   string
	Length time.Duration
	Factor float64
}

// Plan is a whole load, given by its seed.
type Plan struct {
	Seed   uint64
	Kinds  []Kind
	Phases []Phase
	// Entries is the number of entry nodes that callers spread over.
	Entries int
	// Attempts is how often a caller sends a request at most.
	Attempts int
}

// Arrival is one request of a caller.
type Arrival struct {
	At    time.Duration
	Kind  int
	Entry int
}

// Arrivals gives the requests of the plan in order of time. Each kind has one
// arrival at a random moment in each step of 1/rate, so that the number of
// arrivals in a span is the same for every seed.
func (plan Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for index, kind := range plan.Kinds {
		random := rand.New(rand.NewPCG(plan.Seed, uint64(index)))
		begin := time.Duration(0)
		for _, phase := range plan.Phases {
			arrivals = append(arrivals, plan.arrivalsOf(index, kind.Rate*phase.Factor, begin, phase.Length, random)...)
			begin += phase.Length
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

func (plan Plan) arrivalsOf(kind int, rate float64, begin, length time.Duration, random *rand.Rand) []Arrival {
	count := int(rate * length.Seconds())
	arrivals := make([]Arrival, 0, count)
	for index := range count {
		position := (float64(index) + random.Float64()) / float64(count)
		arrivals = append(arrivals, Arrival{
			At:    begin + time.Duration(position*float64(length)),
			Kind:  kind,
			Entry: random.IntN(max(plan.Entries, 1)),
		})
	}
	return arrivals
}

// Length is the time that all phases take.
func (plan Plan) Length() time.Duration {
	length := time.Duration(0)
	for _, phase := range plan.Phases {
		length += phase.Length
	}
	return length
}

// Span is a part of a run, from its start up to its end.
type Span struct {
	From time.Duration
	To   time.Duration
}

// Holds tells whether a moment is within the span.
func (span Span) Holds(moment time.Duration) bool {
	return moment >= span.From && moment < span.To
}

// Seconds is the length of the span in seconds.
func (span Span) Seconds() float64 { return (span.To - span.From).Seconds() }

// SpanOf gives the span of the phase with this name.
func (plan Plan) SpanOf(name string) Span {
	begin := time.Duration(0)
	for _, phase := range plan.Phases {
		if phase.Name == name {
			return Span{From: begin, To: begin + phase.Length}
		}
		begin += phase.Length
	}
	return Span{}
}

// OfferedIn gives the requests a second that the plan has within a span.
func (plan Plan) OfferedIn(span Span) float64 {
	count := 0
	for _, arrival := range plan.Arrivals() {
		if span.Holds(arrival.At) {
			count++
		}
	}
	return float64(count) / span.Seconds()
}
