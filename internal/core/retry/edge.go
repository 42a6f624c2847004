package retry

import "time"

const (
	defaultRetryShare   = 0.1
	defaultBurstRetries = 10
	reservedShare       = 0.5
)

// Edge is the retry budget from one caller to one service. Without a Window it
// is a token bucket that successful calls refill, as in Finagle's retry budgets.
// With a Window it allows retries in proportion to the calls of a sliding
// window. Its owner calls [Edge.Called] for each call made, retries not
// included, and [Edge.Success] for each call that succeeded.
//
// The token bucket gives a service that answers nothing almost no retries. With
// the window, the calls of a healthy period still count when a fault begins, so
// its budget is available at once. That helps most where targets refuse calls
// without running them.
type Edge struct {
	// Share is the number of retries that each success adds, or each call with a
	// Window. Zero means 0.1.
	Share float64
	// Burst is the capacity of the bucket, which starts full, in retries. With a
	// Window it is added to the share of its calls. Zero means 10.
	Burst float64
	// Window is the length of the sliding window. Zero selects the token bucket.
	Window time.Duration

	spentRetries float64
	recent       slidingWindow
}

// Called counts a call, however it ends. Retries of a call are not counted.
func (edge *Edge) Called(now time.Time) {
	if edge.Window > 0 {
		edge.recent.advanceTo(now, edge.Window).calls++
	}
}

// Success adds the share of a successful call to the bucket.
func (edge *Edge) Success() {
	edge.spentRetries = max(0, edge.spentRetries-edge.share())
}

func (edge *Edge) share() float64 {
	if edge.Share == 0 {
		return defaultRetryShare
	}
	return edge.Share
}

// Remaining returns the number of retries in the token bucket.
func (edge *Edge) Remaining() float64 {
	return edge.burst() - edge.spentRetries
}

// take spends one retry and reports whether the budget had it. The last half of
// the budget is reserved for important calls, so that retries of other calls
// cannot use it up.
func (edge *Edge) take(now time.Time, important bool) bool {
	if edge.Window > 0 {
		return edge.takeFromWindow(now, important)
	}
	reserved := 0.0
	if !important {
		reserved = reservedShare * edge.burst()
	}
	if edge.Remaining()-reserved < 1 {
		return false
	}
	edge.spentRetries++
	return true
}

func (edge *Edge) takeFromWindow(now time.Time, important bool) bool {
	slot := edge.recent.advanceTo(now, edge.Window)
	allowed := edge.share()*edge.recent.budgetCalls() + edge.burst()
	if !important {
		allowed *= reservedShare
	}
	if edge.recent.recentRetries()+1 > allowed {
		return false
	}
	slot.retries++
	return true
}

func (edge *Edge) burst() float64 {
	if edge.Burst == 0 {
		return defaultBurstRetries
	}
	return edge.Burst
}
