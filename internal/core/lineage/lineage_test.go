package lineage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/lineage"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestParentIsTheRequestThatEndsWithTheCall(t *testing.T) {
	open := &lineage.Open[string]{}
	open.Enter(noon.Add(400*time.Millisecond), "first")
	leaving := open.Enter(noon.Add(420*time.Millisecond), "second")
	cases := []struct {
		name     string
		deadline time.Duration
		parent   string
	}{
		{"rounded down twice", 399 * time.Millisecond, "first"},
		{"the nearer one", 416 * time.Millisecond, "second"},
		{"a little late", 424 * time.Millisecond, "second"},
		{"none ends then", 408 * time.Millisecond, ""},
		{"far later, as of a caller from outside", 6 * time.Second, ""},
		{"before all", 100 * time.Millisecond, ""},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			parent, ok := open.Parent(noon.Add(each.deadline))
			g.Expect(parent).To(gomega.Equal(each.parent))
			g.Expect(ok).To(gomega.Equal(each.parent != ""))
		})
	}
	open.Leave(leaving)
	open.Leave(leaving)
	_, ok := open.Parent(noon.Add(420 * time.Millisecond))
	gomega.NewWithT(t).Expect(ok).To(gomega.BeFalse())
}

// The load of a node on the users' platform in a burst: requests that end within
// 800 ms, each of which makes calls at some time of its life.
func TestMostCallsAreTiedRightly(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	open := &lineage.Open[int]{}
	const requests, lifetime = 40, 800 * time.Millisecond
	untils := make([]time.Time, requests)
	entries := make([]*lineage.Entry[int], requests)
	right, wrong, none := 0, 0, 0
	for step := range 20_000 {
		now := noon.Add(time.Duration(step) * 10 * time.Millisecond)
		index := step % requests
		if entries[index] != nil {
			open.Leave(entries[index])
		}
		untils[index] = now.Add(lifetime - time.Duration(random.Int64N(int64(lifetime)/2)))
		entries[index] = open.Enter(untils[index], index)
		caller := random.IntN(requests)
		if entries[caller] == nil {
			continue
		}
		left := untils[caller].Sub(now).Truncate(time.Millisecond) - time.Duration(random.Int64N(int64(time.Millisecond)))
		parent, ok := open.Parent(now.Add(left.Truncate(time.Millisecond)))
		switch {
		case !ok:
			none++
		case parent == caller:
			right++
		default:
			wrong++
		}
	}
	t.Logf("right %d, wrong %d, none %d", right, wrong, none)
	g.Expect(right).To(gomega.BeNumerically(">", 8*(wrong+none)))
}
