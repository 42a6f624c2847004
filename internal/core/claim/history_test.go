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

func newCore() decider {
	return &claim.Core{
		Node:        "n1",
		AskEvery:    150 * time.Millisecond,
		AskWithin:   1500 * time.Millisecond,
		StoreWithin: 300 * time.Millisecond,
		RecordEvery: 200 * time.Millisecond,
		MaxPending:  100,
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
	for _, name := range []string{
		"ran", "answered", "target-unreachable not-run", "key-reused-with-another-body not-run",
		"claim-running unknown", "outcome-unknown unknown", "claim-in-doubt unknown", "answer-not-kept ran",
	} {
		expect(total[name]).To(gomega.BeNumerically(">", historyCount/20), name)
	}
	expect(total["ran"]).To(gomega.BeNumerically(">", historyCount))
}

func runHistories(t *testing.T, shard int, total map[string]int) {
	expect := gomega.NewWithT(t).Expect
	for offset := shard; offset < historyCount; offset += shardCount {
		history := newWorld(uint64(suite.Seed())+uint64(offset), newCore)
		history.run()
		expect(history.broken).To(gomega.BeEmpty(), "seed offset %d", offset)
		addTo(total, history.tallies)
	}
}

func addTo(total, part map[string]int) {
	for name, count := range part {
		total[name] += count
	}
}

// The same histories break the promises without claims.
func TestHistoriesBreakTheNaiveVersion(t *testing.T) {
	broken := 0
	for seed := range uint64(naiveHistoryCount) {
		history := newWorld(uint64(suite.Seed())+seed, func() decider { return new(naive.Claims) })
		history.run()
		if len(history.broken) > 0 {
			broken++
		}
	}
	t.Logf("%d of %d histories broke a promise", broken, naiveHistoryCount)
	gomega.NewWithT(t).Expect(broken).To(gomega.BeNumerically(">", naiveHistoryCount/2))
}
