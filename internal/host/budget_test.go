package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The pattern: every node sees trouble at once. Whatever their number, all nodes
// together retry no more than the fleet's budget allows.
func TestRetriesOfAllNodesStayWithinTheBudget(t *testing.T) {
	rows := []struct {
		nodes              int
		share, slack, sent float64
	}{
		{nodes: 24, share: 0.2, slack: 49, sent: 9000},
		{nodes: 81, share: 0.2, slack: 112, sent: 60_000},
		{nodes: 300, share: 0.2, slack: 112, sent: 60_000},
		{nodes: 24, share: 0.2, slack: 49, sent: 0},
	}
	for _, row := range rows {
		retries := 0
		for range row.nodes {
			edge := retry.Edge{Share: row.share * budgetShare, Burst: nodeBurst(row.slack, row.nodes)}
			policy := &retry.Policy{}
			succeeded := 0.0
			for range 10_000 {
				// Half of what was sent succeeds, and every failure asks for a retry.
				if succeeded < row.sent/float64(row.nodes)/2 {
					edge.Success()
					succeeded++
				}
				account := &retry.Account{Left: 1}
				attempt := retry.Attempt{Retries: 1, Code: retryable, Important: true, Deadline: later}
				if policy.Decide(now, attempt, account, &edge).Reason == retry.Allowed {
					retries++
				}
			}
		}
		gomega.NewWithT(t).Expect(float64(retries)).To(gomega.BeNumerically("<=", row.share*row.sent+row.slack), row)
	}
}

const retryable = request.Overloaded

var (
	now   = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	later = now.Add(time.Minute)
)
