package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const (
	levelsStep    = 50 * time.Millisecond
	levelsWindow  = 10 * time.Second
	levelsShare   = 0.2
	levelsSlack   = 120.0
	lookupsPerRun = 4
)

// twoLevels is a fleet whose front nodes call a middle service, each of whose runs makes
// four calls to the deepest one. A run that is a retry repeats its calls there.
type twoLevels struct {
	random        *rand.Rand
	front, middle []retry.Budget
	// reports says that the middle nodes report what is spent of their budget.
	reports bool
	// calls and repeats count, by step, what arrives at the deepest service.
	calls, repeats []float64
}

func newTwoLevels(fronts, middles, steps int) *twoLevels {
	fleet := &twoLevels{
		random: rand.New(rand.NewPCG(11, 12)), reports: true,
		front: make([]retry.Budget, fronts), middle: make([]retry.Budget, middles),
		calls: make([]float64, steps), repeats: make([]float64, steps),
	}
	total := settings.RetryBudget{Share: levelsShare, Slack: levelsSlack, Window: configuration.Duration(levelsWindow)}
	for index := range fleet.front {
		fleet.front[index] = nodeBudget(total, fronts+middles)
	}
	for index := range fleet.middle {
		fleet.middle[index] = nodeBudget(total, fronts+middles)
	}
	return fleet
}

// request sends one request to the middle service, with at most one retry.
func (fleet *twoLevels) request(step int, at time.Time, budget *retry.Budget, middleDeclines, deepDeclines float64) {
	budget.RecordCall(at)
	repeat := false
	if fleet.random.Float64() < middleDeclines {
		spent := 0.0
		if fleet.reports {
			spent = fleet.middle[fleet.random.IntN(len(fleet.middle))].Spent(at)
		}
		if !mayRetryAt(at, budget, spent) {
			return
		}
		repeat = true
	}
	node := &fleet.middle[fleet.random.IntN(len(fleet.middle))]
	for range lookupsPerRun {
		if !fleet.lookup(step, at, node, repeat, deepDeclines) {
			return
		}
	}
}

// lookup makes one call to the deepest service, with at most one retry, and reports
// whether it ended well.
func (fleet *twoLevels) lookup(step int, at time.Time, budget *retry.Budget, repeat bool, declines float64) bool {
	if repeat {
		budget.RecordInherited(at)
		fleet.repeats[step]++
	} else {
		budget.RecordCall(at)
		fleet.calls[step]++
	}
	if fleet.random.Float64() >= declines {
		return true
	}
	if !mayRetryAt(at, budget, 0) {
		return false
	}
	fleet.repeats[step]++
	return fleet.random.Float64() >= declines
}

func mayRetryAt(at time.Time, budget *retry.Budget, spentBelow float64) bool {
	attempt := retry.Attempt{MaxRetries: 1, Code: declinedCode, Important: true, SpentBelow: spentBelow, Deadline: at.Add(time.Minute)}
	return (&retry.Policy{}).Decide(at, attempt, &retry.Account{Remaining: 1}, budget).Reason == retry.Allowed
}

// run plays a calm time, then declines at the deepest service from second 20 to 28, and
// at the middle one from second 22 to 30.
func (fleet *twoLevels) run(requestsPerStep int, middleDeclines float64) {
	for step := range fleet.calls {
		since := time.Duration(step) * levelsStep
		at := startTime.Add(since)
		middle, deep := 0.0, 0.0
		if since >= 20*time.Second && since < 28*time.Second {
			deep = 0.55
		}
		if since >= 22*time.Second && since < 30*time.Second {
			middle = middleDeclines
		}
		for range requestsPerStep {
			fleet.request(step, at, &fleet.front[fleet.random.IntN(len(fleet.front))], middle, deep)
		}
	}
}

// worstWindow returns the most that the repeats of a window are of what it allows.
func (fleet *twoLevels) worstWindow() float64 {
	length := int(levelsWindow / levelsStep)
	sum := func(values []float64, end int) float64 { return sumBefore(values, end, length) }
	worst := 0.0
	for end := length; end <= len(fleet.calls); end++ {
		calls := max(sum(fleet.calls, end), sum(fleet.calls, end-length/2), sum(fleet.calls, end-length))
		worst = max(worst, sum(fleet.repeats, end)/(levelsShare*calls+levelsSlack))
	}
	return worst
}

// Pattern: declines at two levels, one after the other. Retries spend the budget of the
// deepest service; then the middle service declines as well, and each of its retries
// repeats four calls. The repeats at the deepest service must stay within the budget of
// all nodes in every window.
func TestRetriesAtTwoLevelsStayWithinEveryWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	const steps, requestsPerStep = 1200, 28
	fleet := newTwoLevels(84, 9, steps)
	fleet.run(requestsPerStep, 0.9)
	unreported := newTwoLevels(84, 9, steps)
	unreported.reports = false
	unreported.run(requestsPerStep, 0.9)
	t.Logf("worst window: %.2f of what it allows, %.2f without reports of spent budget", fleet.worstWindow(), unreported.worstWindow())
	g.Expect(fleet.worstWindow()).To(gomega.BeNumerically("<=", 1))
	g.Expect(unreported.worstWindow()).To(gomega.BeNumerically(">", 1), "the reports are what keeps the bound")
}

// Pattern: declines at the deepest service alone, whatever its load. Of the retries that
// the operator allows, most must be made: a tree of four calls ends well only if its
// declined calls are offered elsewhere.
func TestMostAllowedRetriesAreMade(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := newTwoLevels(84, 9, 1200)
	fleet.run(28, 0)
	t.Logf("worst window: %.2f of what it allows", fleet.worstWindow())
	g.Expect(fleet.worstWindow()).To(gomega.BeNumerically("<=", 1))
	g.Expect(fleet.worstWindow()).To(gomega.BeNumerically(">", 2.0/3))
}
