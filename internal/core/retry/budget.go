package retry

import "time"

const (
	defaultRetryShare   = 0.1
	defaultBurstRetries = 10
	reservedShare       = 0.5
)

// Budget is the retry budget from one caller to one service. Without a Window it
// is a token bucket that successful calls refill, as in Finagle's retry budgets.
// With a Window it allows retries in proportion to the calls of a sliding
// window. Its owner calls [Budget.RecordCall] for each call made, retries not
// included, and [Budget.RecordSuccess] for each call that succeeded.
//
// The token bucket gives a service that answers nothing almost no retries. With
// the window, the calls of a healthy period still count when a fault begins, so
// its budget is available at once. That helps most where targets refuse calls
// without running them.
type Budget struct {
	// Share is the number of retries that each success adds or, with a Window, each
	// call. Zero means 0.1.
	Share float64
	// Burst is the capacity of the bucket, which starts full, in retries. With a
	// Window it is added to the share of its calls. Zero means 10.
	Burst float64
	// Window is the length of the sliding window. Zero selects the token bucket.
	Window time.Duration

	spentRetries float64
	recent       slidingWindow
}

// RecordCall counts a call, however it ends. Retries of a call are not counted.
func (budget *Budget) RecordCall(now time.Time) {
	if budget.Window > 0 {
		budget.recent.advanceTo(now, budget.Window).calls++
	}
}

// RecordSuccess adds the share of a successful call to the bucket.
func (budget *Budget) RecordSuccess() {
	budget.spentRetries = max(0, budget.spentRetries-budget.share())
}

func (budget *Budget) share() float64 {
	if budget.Share == 0 {
		return defaultRetryShare
	}
	return budget.Share
}

// Remaining returns the number of retries in the token bucket.
func (budget *Budget) Remaining() float64 {
	return budget.burst() - budget.spentRetries
}

// take spends one retry and reports whether the budget had it. The last half of
// the budget is reserved for important calls, so that retries of other calls
// cannot use it up.
func (budget *Budget) take(now time.Time, important bool) bool {
	if budget.Window > 0 {
		return budget.takeFromWindow(now, important)
	}
	reserved := 0.0
	if !important {
		reserved = reservedShare * budget.burst()
	}
	if budget.Remaining()-reserved < 1 {
		return false
	}
	budget.spentRetries++
	return true
}

func (budget *Budget) takeFromWindow(now time.Time, important bool) bool {
	slot := budget.recent.advanceTo(now, budget.Window)
	allowed := budget.share()*budget.recent.budgetCalls() + budget.burst()
	if !important {
		allowed *= reservedShare
	}
	if budget.recent.recentRetries()+1 > allowed {
		return false
	}
	slot.retries++
	return true
}

func (budget *Budget) burst() float64 {
	if budget.Burst == 0 {
		return defaultBurstRetries
	}
	return budget.Burst
}
