package correlation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/correlation"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestParentHasMatchingDeadline(t *testing.T) {
	requests := &correlation.OpenRequests[string]{}
	requests.Enter(noon.Add(400*time.Millisecond), "first")
	second := requests.Enter(noon.Add(420*time.Millisecond), "second")
	cases := []struct {
		name     string
		deadline time.Duration
		parent   string
	}{
		{"rounded down twice", 399 * time.Millisecond, "first"},
		{"closer to the second", 416 * time.Millisecond, "second"},
		{"slightly late", 424 * time.Millisecond, "second"},
		{"between both", 408 * time.Millisecond, ""},
		{"much later, as from an external caller", 6 * time.Second, ""},
		{"before both", 100 * time.Millisecond, ""},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			parent, ok := requests.Parent(noon.Add(each.deadline))
			g.Expect(parent).To(gomega.Equal(each.parent))
			g.Expect(ok).To(gomega.Equal(each.parent != ""))
		})
	}
	requests.Leave(second)
	requests.Leave(second)
	_, ok := requests.Parent(noon.Add(420 * time.Millisecond))
	gomega.NewWithT(t).Expect(ok).To(gomega.BeFalse())
}

// The load is that of a node on the users' platform in a burst: requests end
// within 800 ms, and each makes calls at random times.
func TestMostCallsMatchTheirParent(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	inProgress := &correlation.OpenRequests[int]{}
	const requests, maxLifetime = 40, 800 * time.Millisecond
	deadlines := make([]time.Time, requests)
	entries := make([]*correlation.Entry[int], requests)
	right, wrong, none := 0, 0, 0
	for step := range 20_000 {
		now := noon.Add(time.Duration(step) * 10 * time.Millisecond)
		index := step % requests
		if entries[index] != nil {
			inProgress.Leave(entries[index])
		}
		deadlines[index] = now.Add(maxLifetime - time.Duration(random.Int64N(int64(maxLifetime)/2)))
		entries[index] = inProgress.Enter(deadlines[index], index)
		caller := random.IntN(requests)
		if entries[caller] == nil {
			continue
		}
		left := deadlines[caller].Sub(now).Truncate(time.Millisecond) - time.Duration(random.Int64N(int64(time.Millisecond)))
		parent, ok := inProgress.Parent(now.Add(left.Truncate(time.Millisecond)))
		switch {
		case !ok:
			none++
		case parent == caller:
			right++
		default:
			wrong++
		}
	}
	t.Logf("calls matched to the right parent: %d, to a wrong one: %d, to none: %d", right, wrong, none)
	g.Expect(right).To(gomega.BeNumerically(">", 8*(wrong+none)))
}
