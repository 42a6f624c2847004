package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/intake"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	tick  = 10 * time.Millisecond
	visit = request.KindName("route/visit")
	grant = request.KindName("route/grant")
)

// tree is a load of trees that each need several calls of one deep service,
// which answers no more than its capacity. A tree of which one call finds no
// room fails after all its work.
type tree struct {
	random   *rand.Rand
	meter    intake.Meter
	valve    intake.Valve
	capacity float64
	calls    int
}

// play offers trees at a rate for some seconds, and gives how many ended well in
// each second.
func (tr *tree) play(began time.Time, rate float64, length time.Duration, follow bool) []int {
	served := make([]int, int(length/time.Second))
	for now := began; now.Before(began.Add(length)); now = now.Add(tick) {
		offered := rate * tick.Seconds()
		entered := 0
		for range int(offered + tr.random.Float64()) {
			if !follow || tr.valve.Admits(now, visit, 0, tr.random.Float64()) {
				entered++
			}
		}
		room := min(1, tr.capacity*tick.Seconds()/max(float64(entered*tr.calls), 1))
		for range entered {
			end := intake.Fine
			for range tr.calls {
				if tr.random.Float64() > room {
					end = intake.Starved
				}
			}
			tr.meter.Ended(now, visit, end)
			tr.valve.Hear(now, visit, 0, tr.meter.Share(now, visit))
			if end == intake.Fine {
				served[int(now.Sub(began)/time.Second)]++
			}
		}
	}
	return served
}

// The pattern: a burst of 1.7 times what the deepest service can take. Without
// shedding at the entry nearly no tree ends well; with it, most of what the
// service can take does, and after the burst all of them do again.
func TestABurstOnTheDeepestServiceStarvesNoTree(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const perSecond, fits = 340.0, 200.0
	load := func() *tree {
		return &tree{random: rand.New(rand.NewPCG(1, 2)), capacity: 5 * fits, calls: 5}
	}
	naive, ours := load(), load()
	before := naive.play(noon, perSecond, 4*time.Second, false)
	after := ours.play(noon, perSecond, 4*time.Second, true)
	expect(before[3]).To(gomega.BeNumerically("<", fits/4))
	expect(after[3]).To(gomega.BeNumerically(">", fits/2))
	calm := ours.play(noon.Add(4*time.Second), fits/2, 4*time.Second, true)
	expect(calm[3]).To(gomega.BeNumerically(">", 0.95*fits/2))
}

// While an important kind suffers, a kind below it that suffers lets in less,
// and one that does not suffer goes on.
func TestTheLessImportantKindYieldsFirst(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	valve := &intake.Valve{}
	for range 200 {
		valve.Hear(noon, grant, 2, 0.5)
		valve.Hear(noon, visit, 1, 0.5)
		valve.Hear(noon, "route/photo", 1, 1)
	}
	expect(valve.Share(noon, grant, 2)).To(gomega.BeNumerically("~", 0.5, 0.01))
	expect(valve.Share(noon, visit, 1)).To(gomega.BeNumerically("<", 0.2))
	expect(valve.Share(noon, "route/photo", 1)).To(gomega.BeEquivalentTo(1))
	expect(valve.Share(noon.Add(20*time.Second), visit, 1)).To(gomega.BeNumerically(">", 0.95))
}

// A kind that comes in beside every service enters from outside; one that comes
// in beside some is made by their targets.
func TestWhichKindsEnter(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	roles := &intake.Roles{}
	roles.Note(visit, "agenda")
	expect(roles.Enters(visit)).To(gomega.BeFalse())
	for _, caller := range []request.ServiceName{"agenda", "subsidios", "evidencia", "consumo"} {
		roles.Note(visit, caller)
	}
	roles.Note("route/check", "agenda")
	roles.Note("route/check", "subsidios")
	expect(roles.Enters(visit)).To(gomega.BeTrue())
	expect(roles.Enters("route/check")).To(gomega.BeFalse())
}

// The pattern: recovery after the load ends. At a target that few calls reach,
// all calls may enter again two seconds after the last one starved.
func TestSharesAreWholeSoonAfterAnOverload(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const between = 40 * time.Millisecond
	meter, at := &intake.Meter{}, noon
	for range 200 {
		at = at.Add(between)
		meter.Ended(at, visit, intake.Starved)
	}
	expect(meter.Share(at, visit)).To(gomega.BeNumerically("<", 0.2))
	for range int(2 * time.Second / between) {
		at = at.Add(between)
		meter.Ended(at, visit, intake.Fine)
	}
	expect(meter.Share(at, visit)).To(gomega.BeNumerically(">", 0.95))
}
