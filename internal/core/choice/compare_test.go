package choice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	simTargets = 6
	simSlots   = 10
	simCallers = 4
	simService = 0.010
	simRate    = 3600.0
	simSlow    = 8.0
)

// policy picks a target for a call and learns from its latency in seconds.
type policy interface {
	pick(now float64, random *rand.Rand) (int, func(now, latency float64))
}

type randomPolicy struct{}

func (randomPolicy) pick(_ float64, random *rand.Rand) (int, func(float64, float64)) {
	return random.IntN(simTargets), func(float64, float64) {}
}

type banditPolicy struct{ *bandit }

func (policy banditPolicy) pick(_ float64, random *rand.Rand) (int, func(float64, float64)) {
	index := policy.bandit.pick(random)
	return index, func(_, latency float64) { policy.answered(index, latency) }
}

type chooserPolicy struct {
	*choice.Chooser
	hashed bool
	index  map[request.NodeID]int
}

func (policy chooserPolicy) pick(now float64, random *rand.Rand) (int, func(float64, float64)) {
	call := choice.Call{Service: service, Repeatable: true}
	if policy.hashed {
		call.Fingerprint = request.Fingerprint(random.Uint64() | 1)
	}
	picked, _ := policy.Pick(at(now), random, call)
	policy.Sent(picked)
	return policy.index[picked.Target.Node], func(now, latency float64) {
		policy.Answered(at(now), picked, call, choice.Answer{Result: choice.Succeeded, Latency: time.Duration(latency * 1e9)})
	}
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * 1e9))
}

func newChooserPolicy(caller int, hashed bool) chooserPolicy {
	made := chooserPolicy{
		Chooser: &choice.Chooser{Self: request.NodeID(fmt.Sprintf("caller-%d", caller)), Place: here},
		hashed:  hashed, index: map[request.NodeID]int{},
	}
	targets := mesh(simTargets)[:simTargets]
	for index, target := range targets {
		made.index[target.Node] = index
	}
	made.Update(start, choice.View{Service: service, Targets: targets})
	return made
}

func newBanditPolicy(window int, explore, threshold float64) policy {
	return banditPolicy{&bandit{window: window, explore: explore, tolerance: 0.005, threshold: threshold, arms: make([]arm, simTargets)}}
}

// job is one call at a target, an arrival while its target is not yet picked.
type job struct {
	at      float64
	arrived float64
	target  int
	learn   func(now, latency float64)
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].at < j[b].at }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(added any)    { *j = append(*j, added.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// simulate sends a Poisson stream of calls to targets with slots and an endless
// waiting line; the first target is slow from 4 s to 8 s. It gives the
// latencies of the calls that arrived in each 4 s.
func simulate(policies []policy) [3][]float64 {
	source := rand.New(rand.NewPCG(uint64(suite.Seed()), 11))
	var latencies [3][]float64
	var busy [simTargets]int
	var waiting [simTargets][]job
	events := &jobs{{target: -1}}
	run := func(now float64, started job) {
		service := simService
		if started.target == 0 && now >= 4 && now < 8 {
			service *= simSlow
		}
		started.at = now + source.ExpFloat64()*service
		heap.Push(events, started)
	}
	for events.Len() > 0 {
		event := heap.Pop(events).(job)
		if event.target < 0 {
			if event.at < 12 {
				heap.Push(events, job{at: event.at + source.ExpFloat64()/simRate, target: -1})
			}
			event.arrived = event.at
			event.target, event.learn = policies[source.IntN(len(policies))].pick(event.at, source)
			if busy[event.target] == simSlots {
				waiting[event.target] = append(waiting[event.target], event)
				continue
			}
			busy[event.target]++
			run(event.at, event)
			continue
		}
		latency := event.at - event.arrived
		event.learn(event.at, latency)
		phase := min(int(event.arrived/4), 2)
		latencies[phase] = append(latencies[phase], latency)
		if len(waiting[event.target]) == 0 {
			busy[event.target]--
			continue
		}
		next := waiting[event.target][0]
		waiting[event.target] = waiting[event.target][1:]
		run(event.at, next)
	}
	for _, phase := range latencies {
		slices.Sort(phase)
	}
	return latencies
}

func repeat(count int, build func(caller int) policy) []policy {
	var made []policy
	for caller := range count {
		made = append(made, build(caller))
	}
	return made
}

func percentile(sorted []float64, share float64) float64 {
	return 1000 * sorted[int(share*float64(len(sorted)-1))]
}

// TestTwoChoicesBeatBandit compares 99th percentiles in milliseconds before,
// while and after one target is slow.
func TestTwoChoicesBeatBandit(t *testing.T) {
	expect := gomega.NewWithT(t)
	tails := func(name string, policies []policy) [3]float64 {
		latencies := simulate(policies)
		var tail [3]float64
		for phase := range tail {
			tail[phase] = percentile(latencies[phase], 0.99)
		}
		t.Logf("%-28s p50 %6.1f %6.1f %6.1f  p99 %7.1f %7.1f %7.1f ms", name,
			percentile(latencies[0], 0.5), percentile(latencies[1], 0.5), percentile(latencies[2], 0.5), tail[0], tail[1], tail[2])
		return tail
	}
	naive := tails("random", repeat(simCallers, func(int) policy { return randomPolicy{} }))
	ours := tails("two choices", repeat(simCallers, func(caller int) policy { return newChooserPolicy(caller, false) }))
	hashed := tails("two choices by fingerprint", repeat(simCallers, func(caller int) policy { return newChooserPolicy(caller, true) }))
	expect.Expect(ours[1]).To(gomega.BeNumerically("<", naive[1]/4))
	expect.Expect(hashed[1]).To(gomega.BeNumerically("<", naive[1]/4))
	for _, window := range []int{50, 200, 1000} {
		for _, explore := range []float64{0.00001, 0.0001, 0.001} {
			for _, threshold := range []float64{0.05, 0.5} {
				name := fmt.Sprintf("bandit %d %g %g", window, explore, threshold)
				other := tails(name, repeat(simCallers, func(int) policy { return newBanditPolicy(window, explore, threshold) }))
				for phase := range other {
					expect.Expect(ours[phase]).To(gomega.BeNumerically("<", other[phase]), name)
				}
			}
		}
	}
}
