package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Granter grants the tokens of one replica. The exported fields are set before the first
// use.
type Granter struct {
	Random    *rand.Rand
	Tolerance Tolerance

	buckets   map[request.CustomerName]*bucket
	unlimited map[request.CustomerName]bool
}

// SetLimits replaces the quotas of all customers. Share is the replica's part of each,
// from 0 to 1; with zero it grants nothing. A customer that is new, or was removed and
// added again, gets no burst at once.
func (granter *Granter) SetLimits(now time.Time, limits map[request.CustomerName]Limit, share float64) {
	before := granter.buckets
	granter.buckets = make(map[request.CustomerName]*bucket, len(limits))
	granter.unlimited = make(map[request.CustomerName]bool)
	if share <= 0 {
		return
	}
	// In the order of their names, so that a seed determines the draws.
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		limit := limits[name]
		if limit.Rate <= 0 {
			granter.unlimited[name] = true
			continue
		}
		found := before[name]
		if found == nil {
			found = newBucket(granter.Random, now)
		}
		found.setLimit(now, float64(limit.Rate)*share, limit.Burst*share+granter.Tolerance.extraTokens(share))
		granter.buckets[name] = found
	}
}

// Take takes one token of a customer.
func (granter *Granter) Take(now time.Time, customer request.CustomerName) Grant {
	if granter.unlimited[customer] {
		return Grant{Result: Granted}
	}
	found := granter.buckets[customer]
	if found == nil {
		return Grant{Result: Unavailable}
	}
	wait, ok := found.take(now)
	if !ok {
		return Grant{Result: Empty, Wait: wait}
	}
	return Grant{Result: Granted}
}
