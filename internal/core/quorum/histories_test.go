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
	// parallelParts is the number of subtests among which the histories are
	// divided.
	parallelParts = 4
)

func historyCount() int {
	if count, err := strconv.Atoi(os.Getenv(historiesVariable)); err == nil && count > 0 {
		return count
	}
	return defaultHistories
}

// TestHistories runs random histories with crashes, lost disks, membership
// changes, partitions, and lost, repeated and reordered messages. A failure gives
// the seed of its history.
func TestHistories(t *testing.T) {
	for part := range parallelParts {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			runHistories(t, part)
		})
	}
}

// runHistories runs the histories with the numbers part, part+parallelParts and
// so on. It also checks that the histories reach the rare cases often enough.
func runHistories(t *testing.T, part int) {
	var total coverage
	count := 0
	for number := part; number < historyCount(); number += parallelParts {
		count++
		seed := uint64(suite.Seed()) + uint64(number)
		random := rand.New(rand.NewPCG(seed, 1))
		simulation := newSimulation(random, 3+random.IntN(4), seed)
		for range eventsPerHistory {
			simulation.randomEvent()
		}
		simulation.recoverAll()
		if simulation.fault != nil {
			t.Fatalf("history with seed %d: %v", seed, simulation.fault)
		}
		total.add(simulation.coverage)
	}
	minimum := count / 20
	if total.entries < minimum || total.reads < minimum || total.installed < minimum || total.replaced < minimum {
		t.Errorf("the histories cover too few cases: %+v", total)
	}
	t.Logf("%d histories: %+v", count, total)
}

// rapidSource draws random numbers from rapid, which can then shrink a history.
type rapidSource struct{ *rapid.T }

func (source rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(source.T, "choice") }

// TestShrinkingHistories runs fewer histories than TestHistories, which rapid
// shrinks after a failure.
func TestShrinkingHistories(t *testing.T) {
	suite.Check(t, 60, func(r *rapid.T) {
		simulation := newSimulation(rapidSource{r}, rapid.IntRange(3, 6).Draw(r, "replicas"), 1)
		for range 100 {
			simulation.randomEvent()
		}
		simulation.recoverAll()
		if simulation.fault != nil {
			r.Fatal(simulation.fault)
		}
	})
}
