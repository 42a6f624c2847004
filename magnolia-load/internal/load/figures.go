package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	recoveredShare           = 0.95
	recoveryWindow           = 500 * time.Millisecond
	recoveryStep             = 50 * time.Millisecond
	maxRecordedLatency       = time.Minute
	latencySignificantDigits = 3
	medianPercentile         = 50.0
	tailPercentile           = 99.0
	histogramUnit            = time.Microsecond
)

// Goodput returns the weighted number of requests a second whose complete answer
// arrived within a span.
func Goodput(samples []Sample, span Span, weight func(Sample) float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		if sample.Succeeded() && span.Contains(sample.EndedAt) {
			sum += weight(sample)
		}
	}
	return sum / span.Seconds()
}

// OfferedRate returns the weighted number of requests a second that were started
// within a span.
func OfferedRate(samples []Sample, span Span, weight func(Sample) float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		if span.Contains(sample.ArrivedAt) {
			sum += weight(sample)
		}
	}
	return sum / span.Seconds()
}

// CountEach is a weight of one for every request.
func CountEach(Sample) float64 { return 1 }

// CountKind returns a weight of one for requests of a kind, given by its index in
// the plan, and zero for others.
func CountKind(kind int) func(Sample) float64 {
	return func(sample Sample) float64 {
		if sample.KindIndex == kind {
			return 1
		}
		return 0
	}
}

// GoodputPoint is the goodput in the step that starts at At.
type GoodputPoint struct {
	At      time.Duration
	Goodput float64
}

// GoodputSeries returns the goodput for each step of a span. A shorter rest at the
// end of the span is left out.
func GoodputSeries(samples []Sample, span Span, step time.Duration) []GoodputPoint {
	var points []GoodputPoint
	for from := span.From; from+step <= span.To; from += step {
		goodput := Goodput(samples, Span{From: from, To: from + step}, CountEach)
		points = append(points, GoodputPoint{At: from, Goodput: goodput})
	}
	return points
}

// RecoveryTime returns the time from the end of an overload until the goodput over
// half a second reaches 95% of the goodput before. The goodput of each kind counts
// up to its own value before, so that the backlog of one kind does not hide the
// loss of another. The result is false if that did not happen by the end of the
// run.
func RecoveryTime(samples []Sample, kinds int, before Span, end, last time.Duration) (time.Duration, bool) {
	goodputBefore := make([]float64, kinds)
	total := 0.0
	for kind := range goodputBefore {
		goodputBefore[kind] = Goodput(samples, before, CountKind(kind))
		total += goodputBefore[kind]
	}
	if total == 0 {
		return 0, false
	}
	for from := end; from+recoveryWindow <= last; from += recoveryStep {
		if cappedGoodput(samples, goodputBefore, Span{From: from, To: from + recoveryWindow}) >= recoveredShare*total {
			return from - end, true
		}
	}
	return 0, false
}

func cappedGoodput(samples []Sample, goodputBefore []float64, span Span) float64 {
	sum := 0.0
	for kind, maxGoodput := range goodputBefore {
		sum += min(Goodput(samples, span, CountKind(kind)), maxGoodput)
	}
	return sum
}

// CountRefusals returns the number of attempts refused with each code.
func CountRefusals(samples []Sample) map[request.Code]int {
	counts := make(map[request.Code]int)
	for _, sample := range samples {
		for _, attempt := range sample.Attempts {
			if attempt.Result == ResultRefused {
				counts[attempt.Code]++
			}
		}
	}
	return counts
}

// CountResults returns the number of attempts by result.
func CountResults(samples []Sample) map[AttemptResult]int {
	counts := make(map[AttemptResult]int)
	for _, sample := range samples {
		for _, attempt := range sample.Attempts {
			counts[attempt.Result]++
		}
	}
	return counts
}

// WastedShare returns the share of the targets' work that was done for attempts
// without a complete answer. All attempts of an action that may not be repeated
// count as useful if one succeeded, since a later attempt may return the answer
// that the first one's work produced. Work for attempts outside the samples, such
// as probes before the load, is left out.
func WastedShare(samples []Sample, kinds []Kind, work map[target.AttemptName]time.Duration) float64 {
	useful := make(map[target.AttemptName]bool)
	for _, sample := range samples {
		once := kinds[sample.KindIndex].Repeat == request.Once
		for _, attempt := range sample.Attempts {
			useful[attempt.Name] = attempt.Result == ResultWhole || once && sample.Succeeded()
		}
	}
	total, wasted := time.Duration(0), time.Duration(0)
	for attempt, spent := range work {
		isUseful, known := useful[attempt]
		if !known {
			continue
		}
		total += spent
		if !isUseful {
			wasted += spent
		}
	}
	if total == 0 {
		return 0
	}
	return float64(wasted) / float64(total)
}

// LatencyPercentiles returns the median and the 99th percentile of the time from
// arrival to complete answer, for requests that arrived within a span. Times are
// recorded up to a minute with three significant digits.
func LatencyPercentiles(samples []Sample, span Span) (median, tail time.Duration) {
	histogram := hdrhistogram.New(1, int64(maxRecordedLatency/histogramUnit), latencySignificantDigits)
	for _, sample := range samples {
		if sample.Succeeded() && span.Contains(sample.ArrivedAt) {
			_ = histogram.RecordValue(int64((sample.EndedAt - sample.ArrivedAt) / histogramUnit))
		}
	}
	median = time.Duration(histogram.ValueAtQuantile(medianPercentile)) * histogramUnit
	tail = time.Duration(histogram.ValueAtQuantile(tailPercentile)) * histogramUnit
	return median, tail
}

// CountRunViolations returns the number of actions that ran more than once
// (repeated), and of actions that ran although every attempt of their caller was
// told "not run" (denied).
func CountRunViolations(samples []Sample, kinds []Kind, records *target.Records) (repeated, denied int) {
	for _, sample := range samples {
		if kinds[sample.KindIndex].Repeat != request.Once {
			continue
		}
		runs := records.RunCount(target.Action{Kind: kinds[sample.KindIndex].Name, Key: sample.Key})
		if runs > 1 {
			repeated++
		}
		if runs > 0 && allAttemptsNotRun(sample) {
			denied++
		}
	}
	return repeated, denied
}

func allAttemptsNotRun(sample Sample) bool {
	for _, attempt := range sample.Attempts {
		if attempt.Outcome != request.NotRun.String() {
			return false
		}
	}
	return len(sample.Attempts) > 0
}
