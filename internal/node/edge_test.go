package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// retriesLeft spends what an edge allows and counts it.
func retriesLeft(ed *edge) int {
	policy, account := retry.Policy{}, retry.Account{Left: 1000}
	now := time.Unix(1_000, 0)
	attempt := retry.Attempt{Retries: 1, Important: true, Code: request.Overloaded, Deadline: now.Add(time.Minute)}
	count := 0
	for policy.Decide(now, attempt, &account, &ed.budget).Reason == retry.Allowed {
		count++
	}
	return count
}

// Successes earn the share of the configuration in force, not the core's own.
func TestEdgeFollowsTheConfiguredShare(t *testing.T) {
	g := gomega.NewWithT(t)
	ed := &edge{}
	retriesLeft(ed)
	for range 8 {
		ed.success(0.5)
	}
	g.Expect(retriesLeft(ed)).To(gomega.Equal(4))
}
