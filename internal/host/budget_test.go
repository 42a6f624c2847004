package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Every node sees failures at the same time. Whatever the number of nodes, their
// retries together must stay within the budget.
func TestRetriesOfAllNodesStayWithinBudget(t *testing.T) {
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
			edge := nodeBudget(settings.RetryBudget{Share: row.share, Slack: row.slack}, row.nodes)
			policy := &retry.Policy{}
			succeeded := 0.0
			for range 10_000 {
				// Half of the calls succeed, and each failure asks for a retry.
				if succeeded < row.sent/float64(row.nodes)/2 {
					edge.RecordSuccess()
					succeeded++
				}
				account := &retry.Account{Remaining: 1}
				attempt := retry.Attempt{MaxRetries: 1, Code: declinedCode, Important: true, Deadline: deadline}
				if policy.Decide(startTime, attempt, account, &edge).Reason == retry.Allowed {
					retries++
				}
			}
		}
		gomega.NewWithT(t).Expect(float64(retries)).To(gomega.BeNumerically("<=", row.share*row.sent+row.slack), row)
	}
}

// After a calm period every target of a service declines most calls, at all nodes
// at once. The retries of all nodes must stay within the budget in every window,
// wherever it begins, and must be available when the declines begin.
func TestRetriesOfAllNodesStayWithinEveryWindow(t *testing.T) {
	const (
		nodes, callers, calmSeconds, totalSeconds = 24, 4, 20, 60
		window                                    = 10 * time.Second
		step                                      = 50 * time.Millisecond
		share, slack, declinedShare               = 0.2, 49.0, 0.55
	)
	expect := gomega.NewWithT(t).Expect
	random := rand.New(rand.NewPCG(1, 2))
	edges := make([]retry.Budget, nodes)
	for index := range edges {
		edges[index] = nodeBudget(settings.RetryBudget{Share: share, Slack: slack, Window: configuration.Duration(window)}, nodes)
	}
	steps := int(totalSeconds * time.Second / step)
	calls, retries := make([]float64, steps), make([]float64, steps)
	for index := range steps {
		at := startTime.Add(time.Duration(index) * step)
		for node := range edges {
			for range callers {
				calls[index]++
				edges[node].RecordCall(at)
				if at.Before(startTime.Add(calmSeconds*time.Second)) || random.Float64() > declinedShare {
					continue
				}
				attempt := retry.Attempt{MaxRetries: 1, Code: declinedCode, Important: true, Deadline: at.Add(time.Minute)}
				if (&retry.Policy{}).Decide(at, attempt, &retry.Account{Remaining: 1}, &edges[node]).Reason == retry.Allowed {
					retries[index]++
				}
			}
		}
	}
	length := int(window / step)
	sum := func(values []float64, end int) float64 { return sumBefore(values, end, length) }
	for end := length; end <= steps; end++ {
		maxCalls := max(sum(calls, end), sum(calls, end-length/2), sum(calls, end-length))
		expect(sum(retries, end)).To(gomega.BeNumerically("<=", share*nodesRetryShare*directRetryShare*maxCalls+slack), "window that ends at step %d", end)
	}
	began := int(calmSeconds * time.Second / step)
	second := int(time.Second / step)
	expect(sum(retries[:began+second], began+second)).To(gomega.BeNumerically(">", 0.9*declinedShare*float64(nodes*callers*second)),
		"nearly every call that is declined in the first second gets a retry")
}

// sumBefore adds up the values of the window of the given length that ends before end.
func sumBefore(values []float64, end, length int) float64 {
	total := 0.0
	for _, value := range values[max(end-length, 0):max(end, 0)] {
		total += value
	}
	return total
}

const declinedCode = request.Overloaded

var (
	startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	deadline  = startTime.Add(time.Minute)
)
