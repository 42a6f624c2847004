package ingress_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/ingress"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	tick  = 10 * time.Millisecond
	visit = request.KindName("route/visit")
	grant = request.KindName("route/grant")
)

// treeLoad is a load of call trees. Each tree makes several calls to one
// downstream service, which answers no more calls per second than its capacity.
// A tree of which one call is refused fails after all its work.
type treeLoad struct {
	random       *rand.Rand
	controller   ingress.ShareController
	throttle     ingress.Throttle
	capacity     float64
	callsPerTree int
}

// run offers trees at a rate per second for some time, and returns how many of
// them succeeded in each second.
func (trees *treeLoad) run(start time.Time, rate float64, length time.Duration, useThrottle bool) []int {
	succeeded := make([]int, int(length/time.Second))
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		offered := rate * tick.Seconds()
		entered := 0
		for range int(offered + trees.random.Float64()) {
			if !useThrottle || trees.throttle.Admits(now, visit, 0, trees.random.Float64()) {
				entered++
			}
		}
		answeredShare := min(1, trees.capacity*tick.Seconds()/max(float64(entered*trees.callsPerTree), 1))
		for range entered {
			end := ingress.Unaffected
			for range trees.callsPerTree {
				if trees.random.Float64() > answeredShare {
					end = ingress.Overloaded
				}
			}
			trees.controller.RecordEnd(now, visit, end)
			trees.throttle.RecordShare(now, visit, 0, trees.controller.Share(now, visit))
			if end == ingress.Unaffected {
				succeeded[int(now.Sub(start)/time.Second)]++
			}
		}
	}
	return succeeded
}

// A burst is 1.7 times the capacity of a downstream service. Without shedding
// where calls enter, nearly no tree succeeds; with it, most of the trees that the
// service can serve do. After the burst all trees succeed again.
func TestBurstOnDownstreamService(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const perSecond, treeCapacity = 340.0, 200.0
	newLoad := func() *treeLoad {
		return &treeLoad{random: rand.New(rand.NewPCG(1, 2)), capacity: 5 * treeCapacity, callsPerTree: 5}
	}
	unprotected, protected := newLoad(), newLoad()
	without := unprotected.run(noon, perSecond, 4*time.Second, false)
	with := protected.run(noon, perSecond, 4*time.Second, true)
	expect(without[3]).To(gomega.BeNumerically("<", treeCapacity/4))
	expect(with[3]).To(gomega.BeNumerically(">", treeCapacity/2))
	afterBurst := protected.run(noon.Add(4*time.Second), treeCapacity/2, 4*time.Second, true)
	expect(afterBurst[3]).To(gomega.BeNumerically(">", 0.95*treeCapacity/2))
}

// While the share of an important kind is reduced, a less important kind with a
// reduced share admits still less, and one with a full share is unaffected.
func TestLessImportantKindIsShedFirst(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	throttle := &ingress.Throttle{}
	for range 200 {
		throttle.RecordShare(noon, grant, 2, 0.5)
		throttle.RecordShare(noon, visit, 1, 0.5)
		throttle.RecordShare(noon, "route/photo", 1, 1)
	}
	expect(throttle.Share(noon, grant, 2)).To(gomega.BeNumerically("~", 0.5, 0.01))
	expect(throttle.Share(noon, visit, 1)).To(gomega.BeNumerically("<", 0.2))
	expect(throttle.Share(noon, "route/photo", 1)).To(gomega.BeEquivalentTo(1))
	expect(throttle.Share(noon.Add(20*time.Second), visit, 1)).To(gomega.BeNumerically(">", 0.95))
}

// A kind whose calls arrive at the nodes of every service enters from outside. A
// kind whose calls arrive at some of them is called by their targets.
func TestEntryKinds(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	entryKinds := &ingress.EntryKinds{}
	entryKinds.RecordArrival(visit, "agenda")
	expect(entryKinds.IsEntry(visit)).To(gomega.BeFalse())
	for _, service := range []request.ServiceName{"agenda", "subsidios", "evidencia", "consumo"} {
		entryKinds.RecordArrival(visit, service)
	}
	entryKinds.RecordArrival("route/check", "agenda")
	entryKinds.RecordArrival("route/check", "subsidios")
	expect(entryKinds.IsEntry(visit)).To(gomega.BeTrue())
	expect(entryKinds.IsEntry("route/check")).To(gomega.BeFalse())
}

// At a target that gets few calls, all calls must be admitted again two seconds
// after the last one that failed for an overload.
func TestShareRecoversSoonAfterOverload(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const interval = 40 * time.Millisecond
	controller, at := &ingress.ShareController{}, noon
	for range 200 {
		at = at.Add(interval)
		controller.RecordEnd(at, visit, ingress.Overloaded)
	}
	expect(controller.Share(at, visit)).To(gomega.BeNumerically("<", 0.2))
	for range int(2 * time.Second / interval) {
		at = at.Add(interval)
		controller.RecordEnd(at, visit, ingress.Unaffected)
	}
	expect(controller.Share(at, visit)).To(gomega.BeNumerically(">", 0.95))
}
