package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	historyCount      = 10_000
	naiveHistoryCount = 100
	shardCount        = 4
)

func newCoordinator() coordinator {
	return &claim.Coordinator{
		Node:                "n1",
		ClaimRetryInterval:  150 * time.Millisecond,
		ClaimTimeout:        1500 * time.Millisecond,
		StoreTimeout:        300 * time.Millisecond,
		RecordRetryInterval: 200 * time.Millisecond,
		MaxPendingAttempts:  100,
	}
}

func TestHistoriesRunEachActionAtMostOnce(t *testing.T) {
	totals := make([]map[string]int, shardCount)
	t.Run("shards", func(t *testing.T) {
		for shard := range totals {
			totals[shard] = make(map[string]int)
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				runHistories(t, shard, totals[shard])
			})
		}
	})
	total := make(map[string]int)
	for _, part := range totals {
		addTo(total, part)
	}
	t.Log(total)
	expect := gomega.NewWithT(t).Expect
	for _, event := range []string{
		"ran", "answered", "target-unreachable not-run", "key-reused-with-another-body not-run",
		"claim-running unknown", "outcome-unknown unknown", "claim-in-doubt unknown", "answer-not-kept ran",
	} {
		expect(total[event]).To(gomega.BeNumerically(">", historyCount/20), event)
	}
	expect(total["ran"]).To(gomega.BeNumerically(">", historyCount))
}

func runHistories(t *testing.T, shard int, total map[string]int) {
	expect := gomega.NewWithT(t).Expect
	for offset := shard; offset < historyCount; offset += shardCount {
		simulated := newSimulation(uint64(suite.Seed())+uint64(offset), newCoordinator)
		simulated.run()
		expect(simulated.violations).To(gomega.BeEmpty(), "seed offset %d", offset)
		addTo(total, simulated.counts)
	}
}

func addTo(total, part map[string]int) {
	for event, count := range part {
		total[event] += count
	}
}

// Without claims, the same histories violate the guarantees. This shows that the
// checks detect violations.
func TestHistoriesDetectViolationsOfNaiveClaims(t *testing.T) {
	broken := 0
	for seed := range uint64(naiveHistoryCount) {
		simulated := newSimulation(uint64(suite.Seed())+seed, func() coordinator { return new(naive.Claims) })
		simulated.run()
		if len(simulated.violations) > 0 {
			broken++
		}
	}
	t.Logf("%d of %d histories violated a guarantee", broken, naiveHistoryCount)
	gomega.NewWithT(t).Expect(broken).To(gomega.BeNumerically(">", naiveHistoryCount/2))
}
