package balancer

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

var (
	sameDomainPlace  = request.Place{Region: "norte", Domain: "salto"}
	sameRegionPlace  = request.Place{Region: "norte", Domain: "artigas"}
	otherRegionPlace = request.Place{Region: "sur", Domain: "canelones"}
)

// A lookup takes 22 ms at an instance, which has eleven slots.
const (
	lookupTime  = 22 * time.Millisecond
	lookupSlots = 11
)

// newThreeTierBalancer returns a balancer that knows one target in each tier.
func newThreeTierBalancer(now time.Time) *Balancer {
	balancer := &Balancer{Self: "caller", Place: sameDomainPlace}
	balancer.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "here", Address: "1", Place: sameDomainPlace, Slots: lookupSlots},
		{Node: "near", Address: "2", Place: sameRegionPlace, Slots: lookupSlots},
		{Node: "remote", Address: "3", Place: otherRegionPlace, Slots: lookupSlots},
	}})
	return balancer
}

// sendLookups sends lookups that stay in flight, and counts them by target.
func sendLookups(balancer *Balancer, calls int, body int64) map[request.NodeID]int {
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	counts := map[request.NodeID]int{}
	for range calls {
		call := Call{Service: "consumo", Kind: "route/lookup", AllTiers: true, BodyBytes: body}
		picked, code := balancer.Pick(now, random, call)
		if code != request.OK {
			break
		}
		balancer.Sent(picked)
		counts[picked.Target.Node]++
	}
	return counts
}

// In a burst, calls stay in the own failure domain while it has free slots, and go
// to farther tiers before they would have to wait for long.
func TestCallsSpillOverAsSlotsFill(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	few := sendLookups(newThreeTierBalancer(now), lookupSlots/2, 0)
	expect(few["here"]).To(gomega.Equal(lookupSlots / 2))
	many := sendLookups(newThreeTierBalancer(now), 3*lookupSlots, 0)
	expect(many).To(gomega.Equal(map[request.NodeID]int{"here": lookupSlots, "near": lookupSlots, "remote": lookupSlots}))
}

// A call with a large body stays in the region while a target there has a free
// slot.
func TestLargeBodiesStayInRegion(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	counts := sendLookups(newThreeTierBalancer(now), 2*lookupSlots, 60_000)
	expect(counts["remote"]).To(gomega.BeZero())
}

// Of two targets that differ threefold in speed, the faster one gets more than
// three times as many calls.
func TestFasterTargetGetsMoreCalls(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	balancer := &Balancer{Self: "caller", Place: sameDomainPlace}
	balancer.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "slow", Address: "1", Place: sameDomainPlace, Slots: lookupSlots},
		{Node: "fast", Address: "2", Place: sameDomainPlace, Slots: lookupSlots},
	}})
	random := rand.New(rand.NewPCG(5, 6))
	times := map[request.NodeID]time.Duration{"slow": 3 * lookupTime, "fast": lookupTime}
	counts := map[request.NodeID]int{}
	for range 400 {
		call := Call{Service: "consumo", Kind: "route/lookup", AllTiers: true}
		picked, _ := balancer.Pick(now, random, call)
		balancer.Sent(picked)
		counts[picked.Target.Node]++
		now = now.Add(lookupTime)
		balancer.Answered(now, picked, call, Answer{Result: Succeeded, Latency: times[picked.Target.Node]})
	}
	expect(counts["fast"]).To(gomega.BeNumerically(">", 3*counts["slow"]))
}

// After a restart of all targets no target is warmer than another. Warm-up must
// then not push calls to another region while a near target has free slots.
func TestColdTargetsKeepShareWhenAllAreCold(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	balancer := &Balancer{Self: "caller", Place: sameDomainPlace}
	targets := []Target{{Node: "here", Address: "1", Place: sameDomainPlace, Slots: lookupSlots, State: Cold}}
	for number := range DefaultTargetsPerTier {
		name := request.NodeID("remote-" + strconv.Itoa(number))
		targets = append(targets, Target{Node: name, Address: string(name), Place: otherRegionPlace, Slots: lookupSlots, State: Cold})
	}
	balancer.Update(now, View{Service: "consumo", Targets: targets})
	counts := sendLookups(balancer, lookupSlots/2, 0)
	expect(counts).To(gomega.Equal(map[request.NodeID]int{"here": lookupSlots / 2}))
}

// A cold target gets a small share of the calls while others are warm.
func TestColdTargetAmongWarmOnesGetsFewCalls(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	balancer := &Balancer{Self: "caller", Place: sameDomainPlace}
	balancer.Update(now, View{Service: "consumo", Targets: []Target{
		{Node: "cold", Address: "1", Place: sameDomainPlace, Slots: lookupSlots, State: Cold},
		{Node: "warm", Address: "2", Place: sameRegionPlace, Slots: lookupSlots},
	}})
	counts := sendLookups(balancer, lookupSlots, 0)
	expect(counts["cold"]).To(gomega.BeNumerically("<", lookupSlots/2))
}

// countCrossRegion sends calls one after the other and counts those that go to the
// other region. Their targets mostly wait for other services, for 100 to 700 ms.
func countCrossRegion(calls int, ownTime time.Duration) (crossRegion int) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	balancer, random := newThreeTierBalancer(now), rand.New(rand.NewPCG(5, 6))
	for range calls {
		now = now.Add(10 * time.Millisecond)
		call := Call{Service: "consumo", Kind: "route/check", AllTiers: true}
		picked, _ := balancer.Pick(now, random, call)
		balancer.Sent(picked)
		if picked.CrossRegion {
			crossRegion++
		}
		latency := 100*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
		balancer.Answered(now, picked, call, Answer{Result: Succeeded, Latency: latency, OwnTime: ownTime, Bytes: 1000})
	}
	return crossRegion
}

// In a burst with repeated requests, the calls that targets wait for take long and
// vary. That makes no target slower than the others, so targets must be picked by
// their own time, and the calls to them stay in the region.
func TestWaitsForOtherServicesMoveNoCalls(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const calls = 4000
	byLatency, byOwnTime := countCrossRegion(calls, 0), countCrossRegion(calls, 15*time.Millisecond)
	t.Logf("to the other region: %d of %d by latency, %d by the targets' own time", byLatency, calls, byOwnTime)
	expect(byOwnTime).To(gomega.BeNumerically("<", calls/100))
	expect(byLatency).To(gomega.BeNumerically(">", 4*byOwnTime))
}

// A target whose answers report failures at once must not count as a fast one.
func TestFailedAnswersDoNotChangeSlowness(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	balancer, random := newThreeTierBalancer(now), rand.New(rand.NewPCG(7, 8))
	call := Call{Service: "consumo", Kind: "route/check", AllTiers: true}
	sendCalls := func(answers int, received Answer) (slowness, average float64) {
		picked := Choice{}
		for range answers {
			picked, _ = balancer.Pick(now, random, call)
			balancer.Sent(picked)
			balancer.Answered(now, picked, call, received)
		}
		return picked.endpoint.slowness, picked.pool.kindStats[call.Kind].latency
	}
	slowness, average := sendCalls(10, Answer{Result: Succeeded, Latency: 40 * time.Millisecond, OwnTime: 30 * time.Millisecond})
	expect(average).To(gomega.BeEquivalentTo(30 * time.Millisecond))
	slownessAfterFailures, averageAfterFailures := sendCalls(10, Answer{Result: Succeeded, Latency: time.Millisecond})
	expect(slownessAfterFailures).To(gomega.Equal(slowness))
	expect(averageAfterFailures).To(gomega.Equal(average))
}

// A node may lack processor time while its target has many free slots. The count of
// calls doesn't show that; the node reports it as processor lag, and calls go to
// other targets until the report is old.
func TestCallsAvoidNodeWithProcessorLag(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(3, 4))
	balancer := newThreeTierBalancer(now)
	call := Call{Service: "consumo", Kind: "route/lookup", AllTiers: true}
	sendCalls := func(lag time.Duration) {
		for range 200 {
			picked, _ := balancer.Pick(now, random, call)
			balancer.Sent(picked)
			answer := Answer{Result: Succeeded, Latency: lookupTime, OwnTime: lookupTime}
			if picked.Target.Node == "here" {
				answer.ProcessorLag = lag
			}
			balancer.Answered(now, picked, call, answer)
		}
	}
	countPicks := func() map[request.NodeID]int {
		counts := map[request.NodeID]int{}
		for range 100 {
			picked, _ := balancer.Pick(now, random, call)
			counts[picked.Target.Node]++
		}
		return counts
	}
	sendCalls(0)
	expect(countPicks()["here"]).To(gomega.BeNumerically(">", 50))
	sendCalls(300 * time.Millisecond)
	expect(countPicks()["here"]).To(gomega.BeZero())
	now = now.Add(30 * time.Second)
	expect(countPicks()["here"]).To(gomega.BeNumerically(">", 0), "an old lag report must lose its weight")
}
