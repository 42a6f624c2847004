package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const service request.ServiceName = "consumo"

var (
	callerPlace = request.Place{Region: "norte", Domain: "norte-1"}
	start       = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
)

type targetPicker interface {
	Update(time.Time, choice.View)
	Pick(time.Time, *rand.Rand, choice.Call) (choice.Choice, request.Code)
	Sent(choice.Choice)
	Answered(time.Time, choice.Choice, choice.Call, choice.Answer)
}

var (
	_ targetPicker = (*choice.Chooser)(nil)
	_ targetPicker = (*naive.Chooser)(nil)
)

func place(region, domain int) request.Place {
	regions := []request.RegionName{"norte", "litoral", "sur"}
	name := regions[region]
	return request.Place{Region: name, Domain: request.DomainName(fmt.Sprintf("%s-%d", name, domain+1))}
}

// newTargets returns count targets in each of six failure domains.
func newTargets(count int) []choice.Target {
	var targets []choice.Target
	for region := range 3 {
		for domain := range 2 {
			for index := range count {
				targets = append(targets, choice.Target{
					Node:  request.NodeID(fmt.Sprintf("node-%d-%d-%d", region, domain, index)),
					Place: place(region, domain), Slots: 10, State: choice.Ready,
				})
			}
		}
	}
	return targets
}

func newChooser(targets []choice.Target) *choice.Chooser {
	chooser := &choice.Chooser{Self: "caller", Place: callerPlace, Links: &choice.Links{Capacity: 1000, SparingShare: 0.5}}
	chooser.Update(start, choice.View{Service: service, Targets: targets})
	return chooser
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(suite.Seed()), 7))
}

// workload makes calls and answers them in place of the targets.
type workload struct {
	answer func(choice.Target) choice.Answer
	counts map[request.NodeID]int
	now    time.Time
}

// send makes calls one after the other and counts them by target.
func (load *workload) send(picker targetPicker, calls int, gap time.Duration) {
	load.counts = map[request.NodeID]int{}
	random := newRandom()
	for range calls {
		call := choice.Call{Service: service, Repeatable: true, Priority: 300}
		picked, code := picker.Pick(load.now, random, call)
		if code != request.OK {
			continue
		}
		load.counts[picked.Target.Node]++
		picker.Sent(picked)
		answer := load.answer(picked.Target)
		load.now = load.now.Add(gap)
		picker.Answered(load.now, picked, call, answer)
	}
}

func healthyAnswer(choice.Target) choice.Answer {
	return choice.Answer{Result: choice.Succeeded, Latency: 5 * time.Millisecond, Load: 0.2}
}

func TestAllCallsGetTargetsWithoutFaults(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, picker := range []targetPicker{newChooser(newTargets(3)), &naive.Chooser{}} {
		picker.Update(start, choice.View{Service: service, Targets: newTargets(3)})
		run := &workload{answer: healthyAnswer, now: start}
		run.send(picker, 500, time.Millisecond)
		total := 0
		for _, count := range run.counts {
			total += count
		}
		expect.Expect(total).To(gomega.Equal(500))
	}
}

func TestFaultyTargetGetsFewCalls(t *testing.T) {
	faulty := newTargets(3)[0].Node
	faults := map[string]choice.Answer{
		"fails at once":  {Result: choice.Failed, Latency: time.Microsecond},
		"dies":           {Result: choice.Died},
		"unreachable":    {Result: choice.Unreachable},
		"draining":       {Result: choice.ShuttingDown},
		"slow, low load": {Result: choice.Succeeded, Latency: 80 * time.Millisecond, Load: 0},
		"refuses":        {Result: choice.Refused, Load: 1},
		"hangs":          {Result: choice.DeadlineExceeded, Latency: 2 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			answer := func(target choice.Target) choice.Answer {
				if target.Node == faulty {
					return fault
				}
				return healthyAnswer(target)
			}
			chooserRun := &workload{answer: answer, now: start}
			chooserRun.send(newChooser(newTargets(3)), 1000, time.Millisecond)
			naiveChooser := &naive.Chooser{}
			naiveChooser.Update(start, choice.View{Service: service, Targets: newTargets(3)[:3]})
			naiveRun := &workload{answer: answer, now: start}
			naiveRun.send(naiveChooser, 1000, time.Millisecond)
			expect.Expect(chooserRun.counts[faulty]).To(gomega.BeNumerically("<", 150))
			expect.Expect(naiveRun.counts[faulty]).To(gomega.BeNumerically(">", 250))
		})
	}
}

func TestDrainingTargetGetsNoCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(2)
	chooser := newChooser(targets)
	targets[0].State = choice.Draining
	chooser.Update(start, choice.View{Service: service, Targets: targets})
	run := &workload{answer: healthyAnswer, now: start}
	run.send(chooser, 300, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeZero())
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(300))
}

func TestEjectionsAreIgnoredWhenMostTargetsFail(t *testing.T) {
	expect := gomega.NewWithT(t)
	chooser := newChooser(newTargets(2))
	failing := &workload{answer: func(choice.Target) choice.Answer { return choice.Answer{Result: choice.Failed} }, now: start}
	failing.send(chooser, 400, time.Millisecond)
	run := &workload{answer: healthyAnswer, now: failing.now}
	run.send(chooser, 200, time.Millisecond)
	sameDomain := 0
	for _, target := range newTargets(2)[:2] {
		expect.Expect(run.counts[target.Node]).To(gomega.BeNumerically(">", 20))
		sameDomain += run.counts[target.Node]
	}
	expect.Expect(sameDomain).To(gomega.BeNumerically(">=", 190))
}

func TestFalseLoadReportMovesFewCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	misreporting := newTargets(3)[0].Node
	run := &workload{now: start, answer: func(target choice.Target) choice.Answer {
		answer := healthyAnswer(target)
		if target.Node == misreporting {
			answer.Load = 1
		}
		return answer
	}}
	run.send(newChooser(newTargets(3)), 900, time.Millisecond)
	expect.Expect(run.counts[misreporting]).To(gomega.BeNumerically(">", 50))
	for _, target := range newTargets(3)[3:] {
		expect.Expect(run.counts[target.Node]).To(gomega.BeZero(), "a load report alone must not move calls to a farther tier")
	}
}

func TestRefusalMovesCallsOfSameOrLowerPriorityToNextTier(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(1)
	chooser := newChooser(targets)
	source := newRandom()
	low := choice.Call{Service: service, Priority: 100}
	picked, code := chooser.Pick(start, source, low)
	expect.Expect(code).To(gomega.Equal(request.OK))
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	chooser.Sent(picked)
	chooser.Answered(start, picked, low, choice.Answer{Result: choice.Refused})

	picked, _ = chooser.Pick(start, source, low)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[1].Node))
	picked, _ = chooser.Pick(start, source, choice.Call{Service: service, Priority: 200})
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	picked, _ = chooser.Pick(start.Add(choice.DefaultRefusalHold), source, low)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
}

func TestFullLinkRefusesUnimportantCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	far := newTargets(1)[2:3]
	chooser := newChooser(far)
	source := newRandom()
	call := choice.Call{Service: service, Sparing: true}
	picked, code := chooser.Pick(start, source, call)
	expect.Expect(code).To(gomega.Equal(request.OK))
	expect.Expect(picked.Across).To(gomega.BeTrue())
	chooser.Sent(picked)
	chooser.Answered(start, picked, call, choice.Answer{Result: choice.Succeeded, Bytes: 600})

	_, code = chooser.Pick(start, source, call)
	expect.Expect(code).To(gomega.Equal(request.LinkFull))
	_, code = chooser.Pick(start, source, choice.Call{Service: service})
	expect.Expect(code).To(gomega.Equal(request.OK))
	_, code = chooser.Pick(start.Add(2*choice.DefaultLinkWindow), source, call)
	expect.Expect(code).To(gomega.Equal(request.OK))
	total, _ := chooser.Links.Used(start, far[0].Place.Region)
	expect.Expect(total).To(gomega.Equal(int64(600)))
}

func TestColdTargetWarmsUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	targets[0].State = choice.Cold
	chooser := newChooser(targets)
	early := &workload{answer: healthyAnswer, now: start}
	early.send(chooser, 1000, time.Millisecond)
	late := &workload{answer: healthyAnswer, now: start.Add(choice.DefaultWarmTime)}
	late.send(chooser, 1000, time.Millisecond)
	expect.Expect(early.counts[targets[0].Node]).To(gomega.BeNumerically("~", 50, 45))
	expect.Expect(late.counts[targets[0].Node]).To(gomega.BeNumerically(">", 250))
}

func TestConnectionCostIsKeptOffTheCall(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	chooser := newChooser(targets)
	expect.Expect(chooser.Wanted(service)).To(gomega.HaveLen(3 + 2 + 2))
	expect.Expect(newChooser(newTargets(8)).Wanted(service)).To(gomega.HaveLen(6 + 2 + 2))
	expect.Expect(newChooser(newTargets(8)[8:]).Wanted(service)).To(gomega.HaveLen(6 + 2))
	chooser.Connected(start, service, targets[1].Node)
	run := &workload{answer: healthyAnswer, now: start}
	run.send(chooser, 100, time.Millisecond)
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(100))
}

func TestFailedTargetIsProbedByRepeatableCallAndReadmitted(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	chooser := newChooser(targets)
	source := newRandom()
	chooser.Lost(start, service, targets[0].Node)
	due := start.Add(choice.DefaultEjectionTime)
	picked, _ := chooser.Pick(due, source, choice.Call{Service: service})
	expect.Expect(picked.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	call := choice.Call{Service: service, Repeatable: true}
	picked, _ = chooser.Pick(due, source, call)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	second, _ := chooser.Pick(due, source, call)
	expect.Expect(second.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	chooser.Sent(picked)
	chooser.Answered(due, picked, call, healthyAnswer(picked.Target))
	run := &workload{answer: healthyAnswer, now: due.Add(choice.ReadmitWarmupTime)}
	run.send(chooser, 900, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 200))
}

func TestShortCallerDeadlinesAreNoTargetFailures(t *testing.T) {
	expect := gomega.NewWithT(t)
	chooser := newChooser(newTargets(3))
	before := &workload{answer: healthyAnswer, now: start}
	before.send(chooser, 100, time.Millisecond)
	affected := newTargets(3)[0].Node
	run := &workload{now: before.now, answer: func(target choice.Target) choice.Answer {
		if target.Node == affected {
			return choice.Answer{Result: choice.DeadlineExceeded, Latency: time.Millisecond}
		}
		return healthyAnswer(target)
	}}
	run.send(chooser, 900, time.Millisecond)
	expect.Expect(run.counts[affected]).To(gomega.BeNumerically(">", 200))
}

func TestMeasuredLatencyOutweighsReportedLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(2)[:2]
	run := &workload{now: start, answer: func(target choice.Target) choice.Answer {
		if target.Node == targets[0].Node {
			return choice.Answer{Result: choice.Succeeded, Latency: 5 * time.Millisecond, Load: 1}
		}
		return choice.Answer{Result: choice.Succeeded, Latency: 50 * time.Millisecond, Load: 0}
	}}
	run.send(newChooser(targets), 1000, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 600))
}
