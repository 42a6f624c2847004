package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	recoveredShare  = 0.95
	recoveryWindow  = 500 * time.Millisecond
	recoveryStep    = 50 * time.Millisecond
	highestLatency  = time.Minute
	latencyDigits   = 3
	middlePercent   = 50.0
	tailPercent     = 99.0
	unitOfHistogram = time.Microsecond
)

// Goodput gives whole answers a second within a span, each request weighted.
func Goodput(samples []Sample, span Span, weight func(Sample) float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		if sample.Whole() && span.Holds(sample.Ended) {
			sum += weight(sample)
		}
	}
	return sum / span.Seconds()
}

// Offered gives requests a second that arrived within a span, each weighted.
func Offered(samples []Sample, span Span, weight func(Sample) float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		if span.Holds(sample.Arrived) {
			sum += weight(sample)
		}
	}
	return sum / span.Seconds()
}

// Each weighs every request as one.
func Each(Sample) float64 { return 1 }

// OfKind weighs the requests of one kind as one and all others as nothing.
func OfKind(kind int) func(Sample) float64 {
	return func(sample Sample) float64 {
		if sample.Kind == kind {
			return 1
		}
		return 0
	}
}

// Point is the goodput in a step of time.
type Point struct {
	At      time.Duration
	Goodput float64
}

// Series gives the goodput in steps over a span.
func Series(samples []Sample, span Span, step time.Duration) []Point {
	var points []Point
	for from := span.From; from+step <= span.To; from += step {
		goodput := Goodput(samples, Span{From: from, To: from + step}, Each)
		points = append(points, Point{At: from, Goodput: goodput})
	}
	return points
}

// Recovery gives the time from the end of an overload until the goodput over
// half a second is at 95% of what it was before. The answers of each kind
// count up to what that kind brought before, so that a backlog of one kind
// does not stand for another. It is false if the goodput did not come back
// before the end of the run.
func Recovery(samples []Sample, kinds int, before Span, end, last time.Duration) (time.Duration, bool) {
	usual := make([]float64, kinds)
	total := 0.0
	for kind := range usual {
		usual[kind] = Goodput(samples, before, OfKind(kind))
		total += usual[kind]
	}
	if total == 0 {
		return 0, false
	}
	for from := end; from+recoveryWindow <= last; from += recoveryStep {
		if capped(samples, usual, Span{From: from, To: from + recoveryWindow}) >= recoveredShare*total {
			return from - end, true
		}
	}
	return 0, false
}

func capped(samples []Sample, usual []float64, span Span) float64 {
	sum := 0.0
	for kind, limit := range usual {
		sum += min(Goodput(samples, span, OfKind(kind)), limit)
	}
	return sum
}

// Refusals counts the attempts that ended with a code, by code.
func Refusals(samples []Sample) map[request.Code]int {
	counts := make(map[request.Code]int)
	for _, sample := range samples {
		for _, attempt := range sample.Attempts {
			if attempt.Result == Refused {
				counts[attempt.Code]++
			}
		}
	}
	return counts
}

// Results counts the attempts by how they ended.
func Results(samples []Sample) map[Result]int {
	counts := make(map[Result]int)
	for _, sample := range samples {
		for _, attempt := range sample.Attempts {
			counts[attempt.Result]++
		}
	}
	return counts
}

// Wasted gives the share of the targets' work that was done for attempts
// whose caller got no whole answer. The attempts of an action that may not be
// repeated count as one, since the work of the first may answer a later one.
// Work for others than the samples, as before the load, is left out.
func Wasted(samples []Sample, kinds []Kind, work map[target.AttemptName]time.Duration) float64 {
	useful := make(map[target.AttemptName]bool)
	for _, sample := range samples {
		once := kinds[sample.Kind].Repeat == request.Once
		for _, attempt := range sample.Attempts {
			useful[attempt.Name] = attempt.Result == Whole || once && sample.Whole()
		}
	}
	total, lost := time.Duration(0), time.Duration(0)
	for attempt, spent := range work {
		found, known := useful[attempt]
		if !known {
			continue
		}
		total += spent
		if !found {
			lost += spent
		}
	}
	if total == 0 {
		return 0
	}
	return float64(lost) / float64(total)
}

// Latencies gives the median and the 99th percentile of the time from arrival
// to whole answer, for the requests that arrived within a span.
func Latencies(samples []Sample, span Span) (median, tail time.Duration) {
	histogram := hdrhistogram.New(1, int64(highestLatency/unitOfHistogram), latencyDigits)
	for _, sample := range samples {
		if sample.Whole() && span.Holds(sample.Arrived) {
			_ = histogram.RecordValue(int64((sample.Ended - sample.Arrived) / unitOfHistogram))
		}
	}
	median = time.Duration(histogram.ValueAtQuantile(middlePercent)) * unitOfHistogram
	tail = time.Duration(histogram.ValueAtQuantile(tailPercent)) * unitOfHistogram
	return median, tail
}

// Overruns counts actions that ran more than once, and actions that ran
// although every attempt of their caller was told "not run".
func Overruns(samples []Sample, kinds []Kind, records *target.Records) (repeated, denied int) {
	for _, sample := range samples {
		if kinds[sample.Kind].Repeat != request.Once {
			continue
		}
		runs := records.Runs(target.Action{Kind: kinds[sample.Kind].Name, Key: sample.Key})
		if runs > 1 {
			repeated++
		}
		if runs > 0 && toldNotRun(sample) {
			denied++
		}
	}
	return repeated, denied
}

func toldNotRun(sample Sample) bool {
	for _, attempt := range sample.Attempts {
		if attempt.Outcome != request.NotRun.String() {
			return false
		}
	}
	return len(sample.Attempts) > 0
}
