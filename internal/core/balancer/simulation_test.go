package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	simTargets        = 6
	simSlots          = 10
	simCallers        = 4
	simServiceSeconds = 0.010
	simCallsPerSecond = 3600.0
	simSlowFactor     = 8.0
)

// policy picks a target for a call at a time in seconds. The returned function
// takes the end of the call and its latency, in seconds.
type policy interface {
	pick(now float64, random *rand.Rand) (int, func(now, latency float64))
}

type randomPolicy struct{}

func (randomPolicy) pick(_ float64, random *rand.Rand) (int, func(float64, float64)) {
	return random.IntN(simTargets), func(float64, float64) {}
}

type banditPolicy struct{ *banditAlgorithm }

func (policy banditPolicy) pick(_ float64, random *rand.Rand) (int, func(float64, float64)) {
	index := policy.banditAlgorithm.pick(random)
	return index, func(_, latency float64) { policy.record(index, latency) }
}

type balancerPolicy struct {
	*balancer.Balancer
	byFingerprint bool
	index         map[request.NodeID]int
}

func (policy balancerPolicy) pick(now float64, random *rand.Rand) (int, func(float64, float64)) {
	call := balancer.Call{Service: service, Repeatable: true}
	if policy.byFingerprint {
		call.Fingerprint = request.Fingerprint(random.Uint64() | 1)
	}
	picked, _ := policy.Pick(timeAt(now), random, call)
	policy.Sent(picked)
	return policy.index[picked.Target.Node], func(now, latency float64) {
		policy.Answered(timeAt(now), picked, call, balancer.Answer{Result: balancer.Succeeded, Latency: time.Duration(latency * 1e9)})
	}
}

func timeAt(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * 1e9))
}

func newBalancerPolicy(caller int, byFingerprint bool) balancerPolicy {
	policy := balancerPolicy{
		Balancer:      &balancer.Balancer{Self: request.NodeID(fmt.Sprintf("caller-%d", caller)), Place: callerPlace},
		byFingerprint: byFingerprint, index: map[request.NodeID]int{},
	}
	targets := newTargets(simTargets)[:simTargets]
	for index, target := range targets {
		policy.index[target.Node] = index
	}
	policy.Update(start, balancer.View{Service: service, Targets: targets})
	return policy
}

func newBanditPolicy(window int, exploration, threshold float64) policy {
	return banditPolicy{&banditAlgorithm{window: window, exploration: exploration, tolerance: 0.005, threshold: threshold, arms: make([]banditArm, simTargets)}}
}

// job is one call at a target, or the next arrival if target is negative.
type job struct {
	atSeconds      float64
	arrivedSeconds float64
	target         int
	done           func(now, latency float64)
}

type jobQueue []job

func (queue jobQueue) Len() int           { return len(queue) }
func (queue jobQueue) Less(a, b int) bool { return queue[a].atSeconds < queue[b].atSeconds }
func (queue jobQueue) Swap(a, b int)      { queue[a], queue[b] = queue[b], queue[a] }
func (queue *jobQueue) Push(added any)    { *queue = append(*queue, added.(job)) }
func (queue *jobQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulate sends a Poisson stream of calls to targets with slots and an unbounded
// queue. The first target is slow from 4 s to 8 s. It returns the sorted latencies
// in seconds of the calls that arrived in each phase of 4 s.
func simulate(policies []policy) [3][]float64 {
	source := rand.New(rand.NewPCG(uint64(suite.Seed()), 11))
	var latencies [3][]float64
	var busySlots [simTargets]int
	var queues [simTargets][]job
	events := &jobQueue{{target: -1}}
	startService := func(now float64, started job) {
		serviceSeconds := simServiceSeconds
		if started.target == 0 && now >= 4 && now < 8 {
			serviceSeconds *= simSlowFactor
		}
		started.atSeconds = now + source.ExpFloat64()*serviceSeconds
		heap.Push(events, started)
	}
	for events.Len() > 0 {
		event := heap.Pop(events).(job)
		if event.target < 0 {
			if event.atSeconds < 12 {
				heap.Push(events, job{atSeconds: event.atSeconds + source.ExpFloat64()/simCallsPerSecond, target: -1})
			}
			event.arrivedSeconds = event.atSeconds
			event.target, event.done = policies[source.IntN(len(policies))].pick(event.atSeconds, source)
			if busySlots[event.target] == simSlots {
				queues[event.target] = append(queues[event.target], event)
				continue
			}
			busySlots[event.target]++
			startService(event.atSeconds, event)
			continue
		}
		latency := event.atSeconds - event.arrivedSeconds
		event.done(event.atSeconds, latency)
		phase := min(int(event.arrivedSeconds/4), 2)
		latencies[phase] = append(latencies[phase], latency)
		if len(queues[event.target]) == 0 {
			busySlots[event.target]--
			continue
		}
		next := queues[event.target][0]
		queues[event.target] = queues[event.target][1:]
		startService(event.atSeconds, next)
	}
	for _, phase := range latencies {
		slices.Sort(phase)
	}
	return latencies
}

func newPolicies(count int, build func(caller int) policy) []policy {
	var policies []policy
	for caller := range count {
		policies = append(policies, build(caller))
	}
	return policies
}

func percentileMillis(sorted []float64, share float64) float64 {
	return 1000 * sorted[int(share*float64(len(sorted)-1))]
}

// TestTwoChoicesBeatBandit compares the 99th percentiles of the latency before,
// during and after a period in which one target is slow.
func TestTwoChoicesBeatBandit(t *testing.T) {
	expect := gomega.NewWithT(t)
	measureTails := func(name string, policies []policy) [3]float64 {
		latencies := simulate(policies)
		var p99 [3]float64
		for phase := range p99 {
			p99[phase] = percentileMillis(latencies[phase], 0.99)
		}
		t.Logf("%-28s p50 %6.1f %6.1f %6.1f  p99 %7.1f %7.1f %7.1f ms", name,
			percentileMillis(latencies[0], 0.5), percentileMillis(latencies[1], 0.5), percentileMillis(latencies[2], 0.5), p99[0], p99[1], p99[2])
		return p99
	}
	randomChoice := measureTails("random", newPolicies(simCallers, func(int) policy { return randomPolicy{} }))
	twoChoices := measureTails("two choices", newPolicies(simCallers, func(caller int) policy { return newBalancerPolicy(caller, false) }))
	byFingerprint := measureTails("two choices by fingerprint", newPolicies(simCallers, func(caller int) policy { return newBalancerPolicy(caller, true) }))
	expect.Expect(twoChoices[1]).To(gomega.BeNumerically("<", randomChoice[1]/4))
	expect.Expect(byFingerprint[1]).To(gomega.BeNumerically("<", randomChoice[1]/4))
	for _, window := range []int{50, 200, 1000} {
		for _, exploration := range []float64{0.00001, 0.0001, 0.001} {
			for _, threshold := range []float64{0.05, 0.5} {
				name := fmt.Sprintf("bandit %d %g %g", window, exploration, threshold)
				banditTail := measureTails(name, newPolicies(simCallers, func(int) policy { return newBanditPolicy(window, exploration, threshold) }))
				for phase := range banditTail {
					expect.Expect(twoChoices[phase]).To(gomega.BeNumerically("<", banditTail[phase]), name)
				}
			}
		}
	}
}
