package node

import (
	"cmp"
	"time"
)

// entryPatienceShare is the share of its objective for which a call from outside may
// wait for a slot, so that time is left to run it. A call of a target may wait for
// all of its objective: its caller's work has begun and is wasted if the call fails.
const entryPatienceShare = 0.6

// patience is how long the call may wait for a slot, or zero where its kind has no
// objective. While this node stops, time is left to run the call after its wait, unless its
// deadline comes before the end of the stop anyway.
func (node *Node) patience(now time.Time, outbound *outboundCall) time.Duration {
	patience := outbound.kind.Objective
	if node.entry.fromOutside(outbound.kind.Name) {
		patience = time.Duration(entryPatienceShare * float64(outbound.kind.Objective))
	}
	stop := node.plannedStop.Load()
	if stop == nil || !outbound.work.Deadline.After(stop.end) {
		return patience
	}
	slack := max(node.stopSlack(now, stop, outbound), minPatience)
	return min(cmp.Or(patience, slack), slack)
}

// minPatience is the shortest patience that is stated; zero would mean none is.
const minPatience = time.Millisecond
