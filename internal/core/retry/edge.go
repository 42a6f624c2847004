package retry

import "time"

const (
	defaultShare = 0.1
	defaultBurst = 10
	reserveShare = 0.5
)

// Edge is the retry budget from one caller to one service: a token bucket that
// successes fill, as in Finagle's retry budgets, or, with a Window, a share of
// the calls of a sliding window. Its owner calls [Edge.Success] for each call
// that succeeded and [Edge.Called] for each call that is made.
//
// The bucket starves a service that answers nothing of retries. The window lets
// trouble that begins after a calm time draw at once on all that the calm time
// left, which helps most where targets decline calls without running them.
type Edge struct {
	// Share is the number of retries that each success, or each call of a window,
	// adds. Zero is 0.1.
	Share float64
	// Burst is the number of retries at the start and at most, or in a window on
	// top of the share. Zero is 10.
	Burst float64
	// Window is the time over which retries are bounded; zero stands for the
	// bucket.
	Window time.Duration

	spent  float64
	counts window
}

// Called counts a call, however it ends; its retries are no calls.
func (edge *Edge) Called(now time.Time) {
	if edge.Window > 0 {
		edge.counts.at(now, edge.Window).calls++
	}
}

// Success adds a share of a retry.
func (edge *Edge) Success() {
	edge.spent = max(0, edge.spent-edge.share())
}

func (edge *Edge) share() float64 {
	if edge.Share == 0 {
		return defaultShare
	}
	return edge.Share
}

// Left is the number of retries that the edge still allows.
func (edge *Edge) Left() float64 {
	return edge.burst() - edge.spent
}

// take spends one retry. The last half of the budget is kept for important
// calls, so that the retries of others do not spend what those need.
func (edge *Edge) take(now time.Time, important bool) bool {
	if edge.Window > 0 {
		return edge.takeOfWindow(now, important)
	}
	kept := 0.0
	if !important {
		kept = reserveShare * edge.burst()
	}
	if edge.Left()-kept < 1 {
		return false
	}
	edge.spent++
	return true
}

func (edge *Edge) takeOfWindow(now time.Time, important bool) bool {
	current := edge.counts.at(now, edge.Window)
	allowed := edge.share()*edge.counts.calls() + edge.burst()
	if !important {
		allowed *= reserveShare
	}
	if edge.counts.retries()+1 > allowed {
		return false
	}
	current.retries++
	return true
}

func (edge *Edge) burst() float64 {
	if edge.Burst == 0 {
		return defaultBurst
	}
	return edge.Burst
}
