// Package quota bounds the requests per second of each customer over all nodes.
//
// Every replica of the control state grants an equal part of each customer's quota from
// token buckets of its own ([Granter]). The parts add up to the quota, so the replicas
// need no agreement about what they grant: a replica that is lost takes its part with it,
// and both sides of a partition go on with theirs. A bucket starts almost empty, so that
// a restart grants no second burst.
//
// A node asks for one token per request, from the nearest replica first and from the
// next ones while that has none. It remembers which replicas have no token for a customer
// and which do not answer ([Asker]). A node that no replica answers admits a small part
// of the quota by itself ([Asker.TakeOwnPart]).
//
// In any window of W seconds n replicas grant at most rate * W + max(burst + slack / 2, n)
// tokens, with the slack of the [Tolerance]. Nodes without a replica add a part of
// rate * W that follows from its overshoot. A token that a node does not use in time is lost, never
// granted twice.
//
// Equal parts of a quota at the nodes themselves would grant nothing to customers with
// less than one request per node; see docs/design/quotas.md for the comparison.
//
// # Usage
//
//	granter := &quota.Granter{Random: random} // at a replica
//	granter.SetLimits(now, limits, 1.0/6)
//	grant := granter.Take(now, "salto")
//
//	asker := &quota.Asker[peer.Address]{Random: random} // at a node
//	position, ok := asker.Next(now, "salto", replicas, 0)
//	// ask replicas[position], then
//	asker.Answered(now, "salto", replicas[position], grant, took)
//
// The values are not safe for concurrent use and read no clock.
package quota

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Limit is the quota of a customer, over all nodes. A zero Rate means no limit.
type Limit struct {
	Rate request.Rate
	// Burst is the number of requests that may come at once.
	Burst float64
}

// Result is the result of a request for a token.
type Result uint8

// The results.
const (
	// Granted means that one request may be made.
	Granted Result = iota
	// Empty means that the replica has no token now.
	Empty
	// Unavailable means that a replica does not know the customer or grants nothing, or that
	// none answers.
	Unavailable
)

// Grant is the answer to a request for a token.
type Grant struct {
	Result Result
	// Wait is the time until the replica has a token, if it is empty, or until replicas are
	// asked again.
	Wait time.Duration
}
