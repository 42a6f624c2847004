package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// retriesLeft uses up the retries that a budget allows and counts them.
func retriesLeft(retries *serviceRetries) int {
	policy, account := retry.Policy{}, retry.Account{Remaining: 1000}
	now := time.Unix(1_000, 0)
	attempt := retry.Attempt{MaxRetries: 1, Important: true, Code: request.Overloaded, Deadline: now.Add(time.Minute)}
	count := 0
	for policy.Decide(now, attempt, &account, &retries.budget).Reason == retry.Allowed {
		count++
	}
	return count
}

// Successful calls earn retries at the share of the configuration in force, not at
// the default of the retry package.
func TestRetryBudgetUsesConfiguredShare(t *testing.T) {
	g := gomega.NewWithT(t)
	retries := &serviceRetries{}
	retriesLeft(retries)
	for range 8 {
		retries.noteSuccess(0.5)
	}
	g.Expect(retriesLeft(retries)).To(gomega.Equal(4))
}
