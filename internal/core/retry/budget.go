package retry

import (
	"cmp"
	"time"
)

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
	// DirectShare is the part of a Window's budget that retries may spend; what the
	// calls of repeated requests spend counts as well, but is not bounded. Zero means
	// all of it.
	DirectShare float64

	spentRetries float64
	recent       slidingWindow
}

// RecordCall counts a call, however it ends. Retries of a call are not counted.
func (budget *Budget) RecordCall(now time.Time) {
	if budget.Window > 0 {
		budget.recent.advanceTo(now, budget.Window).calls++
	}
}

// RecordInherited counts a call that is made for a repeated request, which repeats the
// calls of that request at this service.
func (budget *Budget) RecordInherited(now time.Time) {
	if budget.Window > 0 {
		budget.recent.advanceTo(now, budget.Window).retries++
	}
}

// Spent returns the part of a Window's budget that is spent, up to 1.
func (budget *Budget) Spent(now time.Time) float64 {
	if budget.Window == 0 {
		return 0
	}
	budget.recent.advanceTo(now, budget.Window)
	return min(1, budget.recent.recentRetries()/max(budget.allowed(), 1))
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

// take spends one retry of an attempt and reports whether the budget had it. The last
// half of the budget is reserved for important calls, so that retries of other calls
// cannot use it up.
func (budget *Budget) take(now time.Time, attempt Attempt) bool {
	if budget.Window > 0 {
		return budget.takeFromWindow(now, attempt)
	}
	reserved := 0.0
	if !attempt.Important {
		reserved = reservedShare * budget.burst()
	}
	if budget.Remaining()-reserved < 1 {
		return false
	}
	budget.spentRetries++
	return true
}

func (budget *Budget) takeFromWindow(now time.Time, attempt Attempt) bool {
	slot := budget.recent.advanceTo(now, budget.Window)
	allowed := budget.allowed() * min(cmp.Or(budget.DirectShare, 1), 1-attempt.SpentBelow)
	if !attempt.Important {
		allowed *= reservedShare
	}
	if budget.recent.recentRetries()+1 > allowed {
		return false
	}
	slot.retries++
	return true
}

// allowed returns the number of repeats that the window allows.
func (budget *Budget) allowed() float64 {
	return budget.share()*budget.recent.budgetCalls() + budget.burst()
}

func (budget *Budget) burst() float64 {
	if budget.Burst == 0 {
		return defaultBurstRetries
	}
	return budget.Burst
}
