package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	benchServices  = 110
	benchInstances = 3000
)

func newBenchBalancer() (*balancer.Balancer, []request.ServiceName) {
	loadBalancer := &balancer.Balancer{Self: "caller", Place: callerPlace, Links: &balancer.Links{Capacity: 1e9, UnimportantShare: 0.5}}
	names := make([]request.ServiceName, benchServices)
	for index := range names {
		names[index] = request.ServiceName(fmt.Sprintf("service-%d", index))
		var targets []balancer.Target
		for instance := range benchInstances / benchServices {
			targets = append(targets, balancer.Target{
				Node:  request.NodeID(fmt.Sprintf("node-%d-%d", index, instance)),
				Place: place(instance%3, instance%2), Slots: 50,
			})
		}
		loadBalancer.Update(start, balancer.View{Service: names[index], Targets: targets})
	}
	return loadBalancer, names
}

func newCallCycle(loadBalancer *balancer.Balancer, names []request.ServiceName) func() {
	source := newRandom()
	index := 0
	now := start
	answer := balancer.Answer{Result: balancer.Succeeded, Latency: 5 * time.Millisecond, Load: 0.3}
	return func() {
		index++
		now = now.Add(time.Millisecond)
		call := balancer.Call{Service: names[index%len(names)], Priority: 200, Repeatable: true, Unimportant: true, Fingerprint: request.Fingerprint(index)}
		picked, _ := loadBalancer.Pick(now, source, call)
		loadBalancer.Sent(picked)
		loadBalancer.Answered(now, picked, call, answer)
	}
}

func TestCallDoesNotAllocate(t *testing.T) {
	loadBalancer, names := newBenchBalancer()
	call := newCallCycle(loadBalancer, names)
	gomega.NewWithT(t).Expect(testing.AllocsPerRun(1000, call)).To(gomega.BeZero())
}

func BenchmarkCall(b *testing.B) {
	loadBalancer, names := newBenchBalancer()
	call := newCallCycle(loadBalancer, names)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
}

func BenchmarkUpdate(b *testing.B) {
	loadBalancer, names := newBenchBalancer()
	view := balancer.View{Service: names[0]}
	for instance := range benchInstances / benchServices {
		view.Targets = append(view.Targets, balancer.Target{
			Node: request.NodeID(fmt.Sprintf("node-0-%d", instance)), Place: place(instance%3, instance%2), Slots: 50,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		loadBalancer.Update(start, view)
	}
}
