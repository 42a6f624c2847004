package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// Whatever the sequence of calls and failures, the retries of the window that ends
// with a retry are at most the share of the calls plus the burst.
func TestWindowBoundsRetries(t *testing.T) {
	const (
		window       = 10 * time.Second
		slot         = window / 10
		share, burst = 0.1, 2.0
	)
	suite.Check(t, 300, func(t *rapid.T) {
		budget := &retry.Budget{Share: share, Burst: burst, Window: window}
		now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
		var calls, retries []time.Time
		countByAge := func(times []time.Time, youngest, oldest time.Duration) float64 {
			count := 0.0
			for _, at := range times {
				if age := now.Sub(at); age >= youngest && age < oldest {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause in ms")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "calls") {
				budget.RecordCall(now)
				calls = append(calls, now)
				attempt := retry.Attempt{MaxRetries: 1, Code: request.Overloaded, Important: true, Deadline: now.Add(time.Minute)}
				if (&retry.Policy{}).Decide(now, attempt, &retry.Account{Remaining: 1}, budget).Reason != retry.Allowed {
					continue
				}
				retries = append(retries, now)
				maxCalls := 0.0
				for _, offset := range []time.Duration{0, window / 2, window} {
					// The window counts calls with a resolution of one slot.
					maxCalls = max(maxCalls, countByAge(calls, offset-slot, offset+window))
				}
				gomega.NewWithT(t).Expect(countByAge(retries, 0, window)).To(gomega.BeNumerically("<=", share*maxCalls+burst))
			}
		}
	})
}

// A clock that goes back must not grant the budget a second time.
func TestWindowWhenClockGoesBack(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	budget := &retry.Budget{Share: 0.1, Burst: 2, Window: 10 * time.Second}
	noon := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	allowed := 0
	for _, now := range []time.Time{noon, noon.Add(-time.Hour), noon.Add(time.Second), noon.Add(-time.Minute)} {
		for range 5 {
			budget.RecordCall(now)
			attempt := retry.Attempt{MaxRetries: 1, Code: request.Overloaded, Important: true, Deadline: now.Add(time.Minute)}
			if (&retry.Policy{}).Decide(now, attempt, &retry.Account{Remaining: 1}, budget).Reason == retry.Allowed {
				allowed++
			}
		}
	}
	expect(allowed).To(gomega.Equal(4), "a tenth of twenty calls, plus the burst of two")
}
