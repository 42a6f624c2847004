package quota

// Tolerance is what a customer may exceed its quota by in any window, over all nodes: a
// share of the quota and a number of requests.
type Tolerance struct {
	Overshoot float64
	Slack     float64
}

const (
	// extraTokenShare is the part of the slack that buckets hold on top of the burst. The
	// rest covers changes of the members and requests that are under way.
	extraTokenShare = 0.5
	// maxCutShare is the share of the nodes that may lose all replicas, while the others use
	// the whole quota, without exceeding the overshoot.
	maxCutShare = 0.4
)

// extraTokens is the number of tokens that each of 1/share replicas holds on top of its part
// of the burst, one at most.
func (tolerance Tolerance) extraTokens(share float64) float64 {
	return min(1, extraTokenShare*tolerance.Slack*share)
}

// ownPart is the part of a quota that all nodes together admit without a replica.
func (tolerance Tolerance) ownPart() float64 {
	return min(1, tolerance.Overshoot/maxCutShare)
}
