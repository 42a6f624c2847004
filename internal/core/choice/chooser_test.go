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
	here  = request.Place{Region: "norte", Domain: "norte-1"}
	start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
)

type picker interface {
	Update(time.Time, choice.View)
	Pick(time.Time, *rand.Rand, choice.Call) (choice.Choice, request.Code)
	Sent(choice.Choice)
	Answered(time.Time, choice.Choice, choice.Call, choice.Answer)
}

var (
	_ picker = (*choice.Chooser)(nil)
	_ picker = (*naive.Chooser)(nil)
)

func place(region, domain int) request.Place {
	regions := []request.RegionName{"norte", "litoral", "sur"}
	name := regions[region]
	return request.Place{Region: name, Domain: request.DomainName(fmt.Sprintf("%s-%d", name, domain+1))}
}

// mesh makes count targets in each of six failure domains.
func mesh(count int) []choice.Target {
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
	chooser := &choice.Chooser{Self: "caller", Place: here, Links: &choice.Links{Capacity: 1000, SparingShare: 0.5}}
	chooser.Update(start, choice.View{Service: service, Targets: targets})
	return chooser
}

func random() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(suite.Seed()), 7))
}

// world answers calls as its targets would.
type world struct {
	answer func(choice.Target) choice.Answer
	counts map[request.NodeID]int
	now    time.Time
}

// drive makes calls one after the other and counts where they went.
func (w *world) drive(under picker, calls int, gap time.Duration) {
	w.counts = map[request.NodeID]int{}
	source := random()
	for range calls {
		call := choice.Call{Service: service, Repeatable: true, Priority: 300}
		picked, code := under.Pick(w.now, source, call)
		if code != request.OK {
			continue
		}
		w.counts[picked.Target.Node]++
		under.Sent(picked)
		answer := w.answer(picked.Target)
		w.now = w.now.Add(gap)
		under.Answered(w.now, picked, call, answer)
	}
}

func healthy(choice.Target) choice.Answer {
	return choice.Answer{Result: choice.Succeeded, Latency: 5 * time.Millisecond, Load: 0.2}
}

func TestNoFaultReachesLiveTargetsAsNaiveDoes(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, under := range []picker{newChooser(mesh(3)), &naive.Chooser{}} {
		under.Update(start, choice.View{Service: service, Targets: mesh(3)})
		run := &world{answer: healthy, now: start}
		run.drive(under, 500, time.Millisecond)
		total := 0
		for _, count := range run.counts {
			total += count
		}
		expect.Expect(total).To(gomega.Equal(500))
	}
}

func TestFaultyTargetGetsLittle(t *testing.T) {
	faulty := mesh(3)[0].Node
	faults := map[string]choice.Answer{
		"fails at once":     {Result: choice.Failed, Latency: time.Microsecond},
		"dies":              {Result: choice.Died},
		"out of reach":      {Result: choice.Unreachable},
		"leaves":            {Result: choice.Left},
		"slow, reports low": {Result: choice.Succeeded, Latency: 80 * time.Millisecond, Load: 0},
		"refuses":           {Result: choice.Refused, Load: 1},
		"hangs":             {Result: choice.Late, Latency: 2 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			answer := func(target choice.Target) choice.Answer {
				if target.Node == faulty {
					return fault
				}
				return healthy(target)
			}
			ours := &world{answer: answer, now: start}
			ours.drive(newChooser(mesh(3)), 1000, time.Millisecond)
			plain := &naive.Chooser{}
			plain.Update(start, choice.View{Service: service, Targets: mesh(3)[:3]})
			theirs := &world{answer: answer, now: start}
			theirs.drive(plain, 1000, time.Millisecond)
			expect.Expect(ours.counts[faulty]).To(gomega.BeNumerically("<", 150))
			expect.Expect(theirs.counts[faulty]).To(gomega.BeNumerically(">", 250))
		})
	}
}

func TestDrainingTargetIsOutAtOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(2)
	chooser := newChooser(targets)
	targets[0].State = choice.Draining
	chooser.Update(start, choice.View{Service: service, Targets: targets})
	run := &world{answer: healthy, now: start}
	run.drive(chooser, 300, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeZero())
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(300))
}

func TestMostFailingIsDistrusted(t *testing.T) {
	expect := gomega.NewWithT(t)
	chooser := newChooser(mesh(2))
	failing := &world{answer: func(choice.Target) choice.Answer { return choice.Answer{Result: choice.Failed} }, now: start}
	failing.drive(chooser, 400, time.Millisecond)
	run := &world{answer: healthy, now: failing.now}
	run.drive(chooser, 200, time.Millisecond)
	near := 0
	for _, target := range mesh(2)[:2] {
		expect.Expect(run.counts[target.Node]).To(gomega.BeNumerically(">", 20))
		near += run.counts[target.Node]
	}
	expect.Expect(near).To(gomega.BeNumerically(">=", 190))
}

func TestLyingReportsShiftLittle(t *testing.T) {
	expect := gomega.NewWithT(t)
	liar := mesh(3)[0].Node
	run := &world{now: start, answer: func(target choice.Target) choice.Answer {
		answer := healthy(target)
		if target.Node == liar {
			answer.Load = 1
		}
		return answer
	}}
	run.drive(newChooser(mesh(3)), 900, time.Millisecond)
	expect.Expect(run.counts[liar]).To(gomega.BeNumerically(">", 50))
	for _, target := range mesh(3)[3:] {
		expect.Expect(run.counts[target.Node]).To(gomega.BeZero(), "a report alone sends nothing farther")
	}
}

func TestRefusalsSpillToNextTierAndOnlyForNoMoreImportantWork(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(1)
	chooser := newChooser(targets)
	source := random()
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

func TestFullLinkRefusesSparingWork(t *testing.T) {
	expect := gomega.NewWithT(t)
	far := mesh(1)[2:3]
	chooser := newChooser(far)
	source := random()
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

func TestColdTargetIsWarmed(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(3)
	targets[0].State = choice.Cold
	chooser := newChooser(targets)
	early := &world{answer: healthy, now: start}
	early.drive(chooser, 1000, time.Millisecond)
	late := &world{answer: healthy, now: start.Add(choice.DefaultWarmTime)}
	late.drive(chooser, 1000, time.Millisecond)
	expect.Expect(early.counts[targets[0].Node]).To(gomega.BeNumerically("~", 50, 45))
	expect.Expect(late.counts[targets[0].Node]).To(gomega.BeNumerically(">", 250))
}

func TestConnectionCostIsKeptOffTheCall(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(3)
	chooser := newChooser(targets)
	expect.Expect(chooser.Wanted(service)).To(gomega.HaveLen(3 + 2 + 2))
	expect.Expect(newChooser(mesh(8)).Wanted(service)).To(gomega.HaveLen(6 + 2 + 2))
	expect.Expect(newChooser(mesh(8)[8:]).Wanted(service)).To(gomega.HaveLen(6 + 2))
	chooser.Connected(start, service, targets[1].Node)
	run := &world{answer: healthy, now: start}
	run.drive(chooser, 100, time.Millisecond)
	expect.Expect(run.counts[targets[1].Node]).To(gomega.Equal(100))
}

func TestFailedTargetIsProbedByRepeatableWorkAndComesBack(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(3)
	chooser := newChooser(targets)
	source := random()
	chooser.Lost(start, service, targets[0].Node)
	due := start.Add(choice.DefaultEjection)
	picked, _ := chooser.Pick(due, source, choice.Call{Service: service})
	expect.Expect(picked.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	call := choice.Call{Service: service, Repeatable: true}
	picked, _ = chooser.Pick(due, source, call)
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
	second, _ := chooser.Pick(due, source, call)
	expect.Expect(second.Target.Node).NotTo(gomega.Equal(targets[0].Node))
	chooser.Sent(picked)
	chooser.Answered(due, picked, call, healthy(picked.Target))
	run := &world{answer: healthy, now: due.Add(choice.DefaultReadmitTime)}
	run.drive(chooser, 900, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 200))
}

func TestShortDeadlinesOfCallersTellNothingOfTheTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	chooser := newChooser(mesh(3))
	warm := &world{answer: healthy, now: start}
	warm.drive(chooser, 100, time.Millisecond)
	liked := mesh(3)[0].Node
	run := &world{now: warm.now, answer: func(target choice.Target) choice.Answer {
		if target.Node == liked {
			return choice.Answer{Result: choice.Late, Latency: time.Millisecond}
		}
		return healthy(target)
	}}
	run.drive(chooser, 900, time.Millisecond)
	expect.Expect(run.counts[liked]).To(gomega.BeNumerically(">", 200))
}

func TestOwnLatencyOutweighsReports(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := mesh(2)[:2]
	run := &world{now: start, answer: func(target choice.Target) choice.Answer {
		if target.Node == targets[0].Node {
			return choice.Answer{Result: choice.Succeeded, Latency: 5 * time.Millisecond, Load: 1}
		}
		return choice.Answer{Result: choice.Succeeded, Latency: 50 * time.Millisecond, Load: 0}
	}}
	run.drive(newChooser(targets), 1000, time.Millisecond)
	expect.Expect(run.counts[targets[0].Node]).To(gomega.BeNumerically(">", 600))
}
