package choice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	benchServices  = 110
	benchInstances = 3000
)

func newBenchChooser() (*choice.Chooser, []request.ServiceName) {
	chooser := &choice.Chooser{Self: "caller", Place: callerPlace, Links: &choice.Links{Capacity: 1e9, SparingShare: 0.5}}
	names := make([]request.ServiceName, benchServices)
	for index := range names {
		names[index] = request.ServiceName(fmt.Sprintf("service-%d", index))
		var targets []choice.Target
		for instance := range benchInstances / benchServices {
			targets = append(targets, choice.Target{
				Node:  request.NodeID(fmt.Sprintf("node-%d-%d", index, instance)),
				Place: place(instance%3, instance%2), Slots: 50,
			})
		}
		chooser.Update(start, choice.View{Service: names[index], Targets: targets})
	}
	return chooser, names
}

func newCallCycle(chooser *choice.Chooser, names []request.ServiceName) func() {
	source := newRandom()
	index := 0
	now := start
	answer := choice.Answer{Result: choice.Succeeded, Latency: 5 * time.Millisecond, Load: 0.3}
	return func() {
		index++
		now = now.Add(time.Millisecond)
		call := choice.Call{Service: names[index%len(names)], Priority: 200, Repeatable: true, Sparing: true, Fingerprint: request.Fingerprint(index)}
		picked, _ := chooser.Pick(now, source, call)
		chooser.Sent(picked)
		chooser.Answered(now, picked, call, answer)
	}
}

func TestCallDoesNotAllocate(t *testing.T) {
	chooser, names := newBenchChooser()
	call := newCallCycle(chooser, names)
	gomega.NewWithT(t).Expect(testing.AllocsPerRun(1000, call)).To(gomega.BeZero())
}

func BenchmarkCall(b *testing.B) {
	chooser, names := newBenchChooser()
	call := newCallCycle(chooser, names)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
}

func BenchmarkUpdate(b *testing.B) {
	chooser, names := newBenchChooser()
	view := choice.View{Service: names[0]}
	for instance := range benchInstances / benchServices {
		view.Targets = append(view.Targets, choice.Target{
			Node: request.NodeID(fmt.Sprintf("node-0-%d", instance)), Place: place(instance%3, instance%2), Slots: 50,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		chooser.Update(start, view)
	}
}
