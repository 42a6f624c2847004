package retry

const (
	defaultShare = 0.1
	defaultBurst = 10
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
func (e *Edge) Success() {
	share := e.Share
	if share == 0 {
		share = defaultShare
	}
	e.spent = max(0, e.spent-share)
}

// Left is the number of retries that the edge still allows.
func (e *Edge) Left() float64 {
	burst := e.Burst
	if burst == 0 {
		burst = defaultBurst
	}
	return burst - e.spent
}

func (e *Edge) take() bool {
	if e.Left() < 1 {
		return false
	}
	e.spent++
	return true
}
