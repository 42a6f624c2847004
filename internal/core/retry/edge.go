package retry

const (
	defaultShare = 0.1
	defaultBurst = 10
	reserveShare = 0.5
)

// Edge is the retry budget from one caller to one service: a token bucket that
// successes fill, as in Finagle's retry budgets. Its owner calls
// [Edge.Success] for each call that succeeded.
type Edge struct {
	// Share is the number of retries that each success adds. Zero is 0.1.
	Share float64
	// Burst is the number of retries at the start and at most. Zero is 10.
	Burst float64

	spent float64
}

// Success adds a share of a retry.
func (edge *Edge) Success() {
	share := edge.Share
	if share == 0 {
		share = defaultShare
	}
	edge.spent = max(0, edge.spent-share)
}

// Left is the number of retries that the edge still allows.
func (edge *Edge) Left() float64 {
	return edge.burst() - edge.spent
}

// take spends one retry. The last half of the bucket is kept for important
// calls, so that the retries of others do not spend what those need.
func (edge *Edge) take(important bool) bool {
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

func (edge *Edge) burst() float64 {
	if edge.Burst == 0 {
		return defaultBurst
	}
	return edge.Burst
}
