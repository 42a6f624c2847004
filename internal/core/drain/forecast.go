package drain

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/latency"
)

const (
	// The shares of recent calls that may have taken longer than the time that is left when
	// another call of their kind begins. A call that may not be repeated is lost to its
	// caller if it is ended by the stop, a repeatable one is only late.
	lateShareOnce       = 0.001
	lateShareRepeatable = 0.01
	// With fewer recent calls than fewCalls, or none, calls that may not be repeated are
	// expected to take longer than what is known by this share of it.
	fewCalls        = 20
	fewCallsReserve = 0.25
)

// LateShare returns the share of recent calls that an estimate for a [Forecast] leaves out.
func LateShare(repeatable bool) float64 {
	if repeatable {
		return lateShareRepeatable
	}
	return lateShareOnce
}

// Forecast is what is known of a call that would begin during a drain.
type Forecast struct {
	Repeatable bool
	// Late says that the call came so late that it must end before the stop, and not only in
	// all but few cases.
	Late bool
	// Bound is the time after which the call is over in any case: its deadline.
	Bound time.Duration
	// Objective is the time within which the operators want such calls to end, or zero.
	Objective time.Duration
	// Recent tells how long recent calls of the same kind took.
	Recent latency.Estimate
}

// Duration is how long the call will take: at most where it is late, and in all but very
// few cases otherwise.
func (forecast Forecast) Duration() time.Duration {
	if forecast.Late {
		return forecast.Bound
	}
	expected := forecast.Recent.Within
	if forecast.Recent.Calls == 0 {
		expected = forecast.Objective
	}
	if expected == 0 {
		return forecast.Bound
	}
	if !forecast.Repeatable && forecast.Recent.Calls < fewCalls {
		expected += time.Duration(fewCallsReserve * float64(expected))
	}
	return min(expected, forecast.Bound)
}
