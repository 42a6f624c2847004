package choice

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

var (
	here   = request.Place{Region: "norte", Domain: "salto"}
	near   = request.Place{Region: "norte", Domain: "artigas"}
	remote = request.Place{Region: "sur", Domain: "canelones"}
)

// lookups are calls that each instance of eleven slots takes 22 ms for.
const (
	lookupTime  = 22 * time.Millisecond
	lookupSlots = 11
)

// deep is a pool with an instance in each of three places.
func deep(now time.Time) *Chooser {
	chooser := &Chooser{Self: "caller", Place: here}
	chooser.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "here", Address: "1", Place: here, Slots: lookupSlots},
		{Node: "near", Address: "2", Place: near, Slots: lookupSlots},
		{Node: "remote", Address: "3", Place: remote, Slots: lookupSlots},
	}})
	return chooser
}

// spread sends lookups that never end, and counts where they go.
func spread(chooser *Chooser, calls int, body int64) map[request.NodeID]int {
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	counts := map[request.NodeID]int{}
	for range calls {
		call := Call{Service: "consumo", Kind: "route/lookup", Anywhere: true, Bytes: body}
		picked, code := chooser.Pick(now, random, call)
		if code != request.OK {
			break
		}
		chooser.Sent(picked)
		counts[picked.Target.Node]++
	}
	return counts
}

// The pattern: a burst on a deep service. Calls stay near while slots are free
// there, and go far before any of them has to wait for long.
func TestLookupsGoFartherAsSlotsFill(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	few := spread(deep(now), lookupSlots/2, 0)
	expect(few["here"]).To(gomega.Equal(lookupSlots / 2))
	most := spread(deep(now), 3*lookupSlots, 0)
	expect(most).To(gomega.Equal(map[request.NodeID]int{"here": lookupSlots, "near": lookupSlots, "remote": lookupSlots}))
}

// A large body crosses no region while an instance of the region has a slot.
func TestUploadsStayInTheirRegion(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	counts := spread(deep(now), 2*lookupSlots, 60_000)
	expect(counts["remote"]).To(gomega.BeZero())
}

// The pattern: instances of one service that differ threefold in speed. The fast
// one gets more than the slow one.
func TestTheFasterTargetGetsMore(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	chooser := &Chooser{Self: "caller", Place: here}
	chooser.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "slow", Address: "1", Place: here, Slots: lookupSlots},
		{Node: "fast", Address: "2", Place: here, Slots: lookupSlots},
	}})
	random := rand.New(rand.NewPCG(5, 6))
	times := map[request.NodeID]time.Duration{"slow": 3 * lookupTime, "fast": lookupTime}
	counts := map[request.NodeID]int{}
	for range 400 {
		call := Call{Service: "consumo", Kind: "route/lookup", Anywhere: true}
		picked, _ := chooser.Pick(now, random, call)
		chooser.Sent(picked)
		counts[picked.Target.Node]++
		now = now.Add(lookupTime)
		chooser.Answered(now, picked, call, Answer{Result: Succeeded, Latency: times[picked.Target.Node]})
	}
	expect(counts["fast"]).To(gomega.BeNumerically(">", 3*counts["slow"]))
}

// The pattern: a cold restart of all. No target is warmer than another, so the
// calls go where they would go otherwise: near, as long as slots are free there.
func TestColdTargetsAreChosenByTheirTimeWhenAllAreCold(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	chooser := &Chooser{Self: "caller", Place: here}
	targets := []Target{{Node: "here", Address: "1", Place: here, Slots: lookupSlots, State: Cold}}
	for number := range DefaultPerTier {
		name := request.NodeID("remote-" + strconv.Itoa(number))
		targets = append(targets, Target{Node: name, Address: string(name), Place: remote, Slots: lookupSlots, State: Cold})
	}
	chooser.Update(now, View{Service: "consumo", Targets: targets})
	counts := spread(chooser, lookupSlots/2, 0)
	expect(counts).To(gomega.Equal(map[request.NodeID]int{"here": lookupSlots / 2}))
}

// Among warm targets a cold one gets a small share at first.
func TestAColdTargetAmongWarmOnesGetsLittle(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	chooser := &Chooser{Self: "caller", Place: here}
	chooser.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "cold", Address: "1", Place: here, Slots: lookupSlots, State: Cold},
		{Node: "warm", Address: "2", Place: near, Slots: lookupSlots},
	}})
	counts := spread(chooser, lookupSlots, 0)
	expect(counts["cold"]).To(gomega.BeNumerically("<", lookupSlots/2))
}

// waitingCalls plays calls, one after the other, whose targets mostly wait for
// others, from 100 to 700 ms, and counts how many go to the other region.
func waitingCalls(calls int, own time.Duration) (far int) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	chooser, random := deep(now), rand.New(rand.NewPCG(5, 6))
	for range calls {
		now = now.Add(10 * time.Millisecond)
		call := Call{Service: "consumo", Kind: "route/check", Anywhere: true}
		picked, _ := chooser.Pick(now, random, call)
		chooser.Sent(picked)
		if picked.Across {
			far++
		}
		latency := 100*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
		chooser.Answered(now, picked, call, Answer{Result: Succeeded, Latency: latency, Own: own, Bytes: 1000})
	}
	return far
}

// The pattern: a burst with repeats. The calls that targets wait for take long and
// vary; that makes none of the targets slower than the others, and the bytes of
// their own calls stay in the region.
func TestWhatTargetsWaitForSendsNoCallsFar(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const calls = 4000
	byLatency, byOwn := waitingCalls(calls, 0), waitingCalls(calls, 15*time.Millisecond)
	t.Logf("to the other region: %d of %d by latency, %d by the targets' own time", byLatency, calls, byOwn)
	expect(byOwn).To(gomega.BeNumerically("<", calls/100))
	expect(byLatency).To(gomega.BeNumerically(">", 4*byOwn))
}

// A target that fails at once is not taken for a fast one.
func TestAFailedAnswerSaysNothingOfSpeed(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	chooser, random := deep(now), rand.New(rand.NewPCG(7, 8))
	call := Call{Service: "consumo", Kind: "route/check", Anywhere: true}
	answer := func(answers int, of Answer) (slowness, usual float64) {
		picked := Choice{}
		for range answers {
			picked, _ = chooser.Pick(now, random, call)
			chooser.Sent(picked)
			chooser.Answered(now, picked, call, of)
		}
		return picked.entry.slowness, picked.pool.kinds[call.Kind].latency
	}
	slowness, usual := answer(10, Answer{Result: Succeeded, Latency: 40 * time.Millisecond, Own: 30 * time.Millisecond})
	expect(usual).To(gomega.BeEquivalentTo(30 * time.Millisecond))
	failedSlowness, failedUsual := answer(10, Answer{Result: Succeeded, Latency: time.Millisecond})
	expect(failedSlowness).To(gomega.Equal(slowness))
	expect(failedUsual).To(gomega.Equal(usual))
}

// The pattern: a node whose processor is taken beside a target with many free slots.
// What waits there shows in no count of calls; the node tells it, and calls go
// elsewhere until it has passed.
func TestCallsAvoidANodeWithoutProcessorTime(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(3, 4))
	chooser := deep(now)
	call := Call{Service: "consumo", Kind: "route/lookup", Anywhere: true}
	answered := func(lag time.Duration) {
		for range 200 {
			picked, _ := chooser.Pick(now, random, call)
			chooser.Sent(picked)
			told := Answer{Result: Succeeded, Latency: lookupTime, Own: lookupTime}
			if picked.Target.Node == "here" {
				told.Lag = lag
			}
			chooser.Answered(now, picked, call, told)
		}
	}
	goes := func() map[request.NodeID]int {
		counts := map[request.NodeID]int{}
		for range 100 {
			picked, _ := chooser.Pick(now, random, call)
			counts[picked.Target.Node]++
		}
		return counts
	}
	answered(0)
	expect(goes()["here"]).To(gomega.BeNumerically(">", 50))
	answered(300 * time.Millisecond)
	expect(goes()["here"]).To(gomega.BeZero())
	now = now.Add(30 * time.Second)
	expect(goes()["here"]).To(gomega.BeNumerically(">", 0), "what was told long ago does not count for ever")
}
