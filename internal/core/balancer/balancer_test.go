package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
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
	Update(time.Time, balancer.View)
	Pick(time.Time, *rand.Rand, balancer.Call) (balancer.Choice, request.Code)
	Sent(balancer.Choice)
	Answered(time.Time, balancer.Choice, balancer.Call, balancer.Answer)
}

var (
	_ targetPicker = (*balancer.Balancer)(nil)
	_ targetPicker = (*naive.Balancer)(nil)
)

func place(region, domain int) request.Place {
	regions := []request.RegionName{"norte", "litoral", "sur"}
	name := regions[region]
	return request.Place{Region: name, Domain: request.DomainName(fmt.Sprintf("%s-%d", name, domain+1))}
}

// newTargets returns count targets in each of six failure domains.
func newTargets(count int) []balancer.Target {
	var targets []balancer.Target
	for region := range 3 {
		for domain := range 2 {
			for index := range count {
				targets = append(targets, balancer.Target{
					Node:  request.NodeID(fmt.Sprintf("node-%d-%d-%d", region, domain, index)),
					Place: place(region, domain), Slots: 10, State: balancer.Ready,
				})
			}
		}
	}
	return targets
}

func newBalancer(targets []balancer.Target) *balancer.Balancer {
	loadBalancer := &balancer.Balancer{Self: "caller", Place: callerPlace, Links: &balancer.Links{Capacity: 1000, UnimportantShare: 0.5}}
	loadBalancer.Update(start, balancer.View{Service: service, Targets: targets})
	return loadBalancer
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(suite.Seed()), 7))
}

// workload makes calls and answers them in place of the targets.
type workload struct {
	answer func(balancer.Target) balancer.Answer
	counts map[request.NodeID]int
	now    time.Time
}

// send makes calls one after the other and counts them by target.
func (load *workload) send(picker targetPicker, calls int, gap time.Duration) {
	load.counts = map[request.NodeID]int{}
	random := newRandom()
	for range calls {
		call := balancer.Call{Service: service, Repeatable: true, Priority: 300}
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

func healthyAnswer(balancer.Target) balancer.Answer {
	return balancer.Answer{Result: balancer.Succeeded, Latency: 5 * time.Millisecond, Load: 0.2}
}

func TestAllCallsGetTargetsWithoutFaults(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, picker := range []targetPicker{newBalancer(newTargets(3)), &naive.Balancer{}} {
		picker.Update(start, balancer.View{Service: service, Targets: newTargets(3)})
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
	faults := map[string]balancer.Answer{
		"fails at once":  {Result: balancer.Failed, Latency: time.Microsecond},
		"dies":           {Result: balancer.Died},
		"unreachable":    {Result: balancer.Unreachable},
		"draining":       {Result: balancer.ShuttingDown},
		"slow, low load": {Result: balancer.Succeeded, Latency: 80 * time.Millisecond, Load: 0},
		"refuses":        {Result: balancer.Refused, Load: 1},
		"hangs":          {Result: balancer.DeadlineExceeded, Latency: 2 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			answer := func(target balancer.Target) balancer.Answer {
				if target.Node == faulty {
					return fault
				}
				return healthyAnswer(target)
			}
			balancerRun := &workload{answer: answer, now: start}
			balancerRun.send(newBalancer(newTargets(3)), 1000, time.Millisecond)
			naiveBalancer := &naive.Balancer{}
			naiveBalancer.Update(start, balancer.View{Service: service, Targets: newTargets(3)[:3]})
			naiveRun := &workload{answer: answer, now: start}
			naiveRun.send(naiveBalancer, 1000, time.Millisecond)
			expect.Expect(balancerRun.counts[faulty]).To(gomega.BeNumerically("<", 150))
			expect.Expect(naiveRun.counts[faulty]).To(gomega.BeNumerically(">", 250))
		})
	}
}

func TestDrainingTargetGetsNoCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(2)
	loadBalancer := newBalancer(targets)
	targets[0].State = balancer.Draining
	loadBalancer.Update(start, balancer.View{Service: service, Targets: targets})
	run := &workload{answer: healthyAnswer, now: start}
	run.send(loadBalancer, 300, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeZero())
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(300))
}

func TestEjectionsAreIgnoredWhenMostTargetsFail(t *testing.T) {
	expect := gomega.NewWithT(t)
	loadBalancer := newBalancer(newTargets(2))
	failing := &workload{answer: func(balancer.Target) balancer.Answer { return balancer.Answer{Result: balancer.Failed} }, now: start}
	failing.send(loadBalancer, 400, time.Millisecond)
	run := &workload{answer: healthyAnswer, now: failing.now}
	run.send(loadBalancer, 200, time.Millisecond)
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
	run := &workload{now: start, answer: func(target balancer.Target) balancer.Answer {
		answer := healthyAnswer(target)
		if target.Node == misreporting {
			answer.Load = 1
		}
		return answer
	}}
	run.send(newBalancer(newTargets(3)), 900, time.Millisecond)
	expect.Expect(run.counts[misreporting]).To(gomega.BeNumerically(">", 50))
	for _, target := range newTargets(3)[3:] {
		expect.Expect(run.counts[target.Node]).To(gomega.BeZero(), "a load report alone must not move calls to a farther tier")
	}
}

func TestRefusalMovesCallsOfSameOrLowerPriorityToNextTier(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(1)
	loadBalancer := newBalancer(targets)
	source := newRandom()
	low := balancer.Call{Service: service, Priority: 100}
	picked, code := loadBalancer.Pick(start, source, low)
	expect.Expect(code).To(gomega.Equal(request.OK))
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	loadBalancer.Sent(picked)
	loadBalancer.Answered(start, picked, low, balancer.Answer{Result: balancer.Refused})

	picked, _ = loadBalancer.Pick(start, source, low)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[1].Node))
	picked, _ = loadBalancer.Pick(start, source, balancer.Call{Service: service, Priority: 200})
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	picked, _ = loadBalancer.Pick(start.Add(balancer.DefaultRefusalHold), source, low)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
}

func TestFullLinkRefusesUnimportantCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	far := newTargets(1)[2:3]
	loadBalancer := newBalancer(far)
	source := newRandom()
	call := balancer.Call{Service: service, Unimportant: true}
	picked, code := loadBalancer.Pick(start, source, call)
	expect.Expect(code).To(gomega.Equal(request.OK))
	expect.Expect(picked.CrossRegion).To(gomega.BeTrue())
	loadBalancer.Sent(picked)
	loadBalancer.Answered(start, picked, call, balancer.Answer{Result: balancer.Succeeded, Bytes: 600})

	_, code = loadBalancer.Pick(start, source, call)
	expect.Expect(code).To(gomega.Equal(request.LinkFull))
	_, code = loadBalancer.Pick(start, source, balancer.Call{Service: service})
	expect.Expect(code).To(gomega.Equal(request.OK))
	_, code = loadBalancer.Pick(start.Add(2*balancer.DefaultLinkWindow), source, call)
	expect.Expect(code).To(gomega.Equal(request.OK))
	total, _ := loadBalancer.Links.Traffic(start, far[0].Place.Region)
	expect.Expect(total).To(gomega.Equal(int64(600)))
}

func TestColdTargetWarmsUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	targets[0].State = balancer.Cold
	loadBalancer := newBalancer(targets)
	early := &workload{answer: healthyAnswer, now: start}
	early.send(loadBalancer, 1000, time.Millisecond)
	late := &workload{answer: healthyAnswer, now: start.Add(balancer.DefaultWarmupTime)}
	late.send(loadBalancer, 1000, time.Millisecond)
	expect.Expect(early.counts[targets[0].Node]).To(gomega.BeNumerically("~", 50, 45))
	expect.Expect(late.counts[targets[0].Node]).To(gomega.BeNumerically(">", 250))
}

func TestCallsUseEstablishedConnections(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	loadBalancer := newBalancer(targets)
	expect.Expect(loadBalancer.ConnectionTargets(service)).To(gomega.HaveLen(3 + 2 + 2))
	expect.Expect(newBalancer(newTargets(8)).ConnectionTargets(service)).To(gomega.HaveLen(6 + 2 + 2))
	expect.Expect(newBalancer(newTargets(8)[8:]).ConnectionTargets(service)).To(gomega.HaveLen(6 + 2))
	loadBalancer.Connected(start, service, targets[1].Node)
	run := &workload{answer: healthyAnswer, now: start}
	run.send(loadBalancer, 100, time.Millisecond)
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(100))
}

func TestFailedTargetIsProbedByRepeatableCallAndReadmitted(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(3)
	loadBalancer := newBalancer(targets)
	source := newRandom()
	loadBalancer.Disconnected(start, service, targets[0].Node)
	due := start.Add(balancer.DefaultEjectionTime)
	picked, _ := loadBalancer.Pick(due, source, balancer.Call{Service: service})
	expect.Expect(picked.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	call := balancer.Call{Service: service, Repeatable: true}
	picked, _ = loadBalancer.Pick(due, source, call)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	second, _ := loadBalancer.Pick(due, source, call)
	expect.Expect(second.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	loadBalancer.Sent(picked)
	loadBalancer.Answered(due, picked, call, healthyAnswer(picked.Target))
	run := &workload{answer: healthyAnswer, now: due.Add(balancer.ReadmitWarmupTime)}
	run.send(loadBalancer, 900, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 200))
}

func TestShortCallerDeadlinesAreNoTargetFailures(t *testing.T) {
	expect := gomega.NewWithT(t)
	loadBalancer := newBalancer(newTargets(3))
	before := &workload{answer: healthyAnswer, now: start}
	before.send(loadBalancer, 100, time.Millisecond)
	affected := newTargets(3)[0].Node
	run := &workload{now: before.now, answer: func(target balancer.Target) balancer.Answer {
		if target.Node == affected {
			return balancer.Answer{Result: balancer.DeadlineExceeded, Latency: time.Millisecond}
		}
		return healthyAnswer(target)
	}}
	run.send(loadBalancer, 900, time.Millisecond)
	expect.Expect(run.counts[affected]).To(gomega.BeNumerically(">", 200))
}

func TestMeasuredLatencyOutweighsReportedLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(2)[:2]
	run := &workload{now: start, answer: func(target balancer.Target) balancer.Answer {
		if target.Node == targets[0].Node {
			return balancer.Answer{Result: balancer.Succeeded, Latency: 5 * time.Millisecond, Load: 1}
		}
		return balancer.Answer{Result: balancer.Succeeded, Latency: 50 * time.Millisecond, Load: 0}
	}}
	run.send(newBalancer(targets), 1000, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 600))
}
