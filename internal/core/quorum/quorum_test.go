package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	historiesVariable = "MAGNOLIAWALL_HISTORIES"
	defaultHistories  = 20_000
	eventsPerHistory  = 220
	historyParts      = 4
)

func histories() int {
	if count, err := strconv.Atoi(os.Getenv(historiesVariable)); err == nil && count > 0 {
		return count
	}
	return defaultHistories
}

// TestHistories runs seeded histories with every fault; a failure names the
// seed of its history.
func TestHistories(t *testing.T) {
	for part := range historyParts {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			runHistories(t, part)
		})
	}
}

// runHistories runs every history whose number falls into the part.
func runHistories(t *testing.T, part int) {
	var all seen
	count := 0
	for number := part; number < histories(); number += historyParts {
		count++
		seed := uint64(suite.Seed()) + uint64(number)
		draw := rand.New(rand.NewPCG(seed, 1))
		run := newHistory(draw, 3+draw.IntN(4), seed)
		for range eventsPerHistory {
			run.event()
		}
		run.settle()
		if run.fault != nil {
			t.Fatalf("history with seed %d: %v", seed, run.fault)
		}
		all.add(run.seen)
	}
	few := count / 20
	if all.entries < few || all.reads < few || all.installed < few || all.replaced < few {
		t.Errorf("the histories show too little: %+v", all)
	}
	t.Logf("%d histories: %+v", count, all)
}

type drawn struct{ *rapid.T }

func (draw drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(draw.T, "choice") }

// TestShrinkingHistories runs fewer histories that rapid can make smaller.
func TestShrinkingHistories(t *testing.T) {
	suite.Check(t, 60, func(r *rapid.T) {
		run := newHistory(drawn{r}, rapid.IntRange(3, 6).Draw(r, "replicas"), 1)
		for range 100 {
			run.event()
		}
		run.settle()
		if run.fault != nil {
			r.Fatal(run.fault)
		}
	})
}
