package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// limitedService is a service some of whose targets state a rate limit, and the nodes that
// call it. Calls move on to another target when one refuses them, as nodes do.
type limitedService struct {
	*chain
	callers []*balancer.Balancer
	targets []*limitedTarget
	// offers counts the calls that were sent to a target's node, and answered and refused
	// how calls of an importance ended.
	offers            int
	answered, refused map[request.Importance]int
	totalTime         time.Duration
}

type limitedTarget struct {
	*admission.Gate
	limit    request.Rate
	waiting  waitingCalls
	admitted []time.Time
}

const (
	limitedSlots    = 62
	limitedDelay    = 1400 * time.Microsecond
	limitedOwnTime  = 100 * time.Millisecond
	limitedPatience = 720 * time.Millisecond
	limitedRunTime  = 20 * time.Second
	// limitedMoves is how often a call moves on.
	limitedMoves = 2
)

// newLimitedService has one target for each limit; a negative limit is none.
func newLimitedService(callers int, limits ...request.Rate) *limitedService {
	service := &limitedService{
		chain:    &chain{now: epoch, random: rand.New(rand.NewPCG(1, 3))},
		answered: map[request.Importance]int{},
		refused:  map[request.Importance]int{},
	}
	view := balancer.View{Service: "agenda"}
	for index, limit := range limits {
		target := &limitedTarget{Gate: &admission.Gate{Slots: limitedSlots, Warm: true}, limit: limit, waiting: waitingCalls{}}
		service.targets = append(service.targets, target)
		place := request.Place{Region: "norte", Domain: request.DomainName(fmt.Sprint("domain-", index))}
		view.Targets = append(view.Targets, balancer.Target{Node: request.NodeID(fmt.Sprint(index)), Address: fmt.Sprint(index), Place: place, Slots: limitedSlots})
		var tick func()
		tick = func() {
			target.waiting.deliver(target.Tick(service.now, nil))
			service.schedule(10*time.Millisecond, tick)
		}
		service.schedule(time.Duration(index)*time.Millisecond, tick)
	}
	for index := range callers {
		caller := &balancer.Balancer{Self: request.NodeID(fmt.Sprint("caller-", index)), Place: request.Place{Region: "norte", Domain: "other"}}
		caller.Update(epoch, view)
		service.callers = append(service.callers, caller)
	}
	return service
}

// run offers calls at a rate; one in four is more important.
func (service *limitedService) run(perSecond float64) {
	at := time.Duration(0)
	for at < limitedRunTime {
		at += time.Duration(service.random.ExpFloat64() / perSecond * float64(time.Second))
		service.schedule(at, func() {
			service.lastCall++
			work := request.Work{Call: service.lastCall, Deadline: service.now.Add(5 * time.Second), Patience: limitedPatience}
			importance := request.Importance(0)
			if service.random.IntN(4) == 0 {
				importance = 1
			}
			work.Priority = request.NewPriority(importance, request.Bucket(service.random.IntN(request.BucketCount)))
			service.offer(service.callers[service.random.IntN(len(service.callers))], work, service.now, nil)
		})
	}
	service.runUntil(epoch.Add(limitedRunTime + 5*time.Second))
}

func (service *limitedService) offer(caller *balancer.Balancer, work request.Work, began time.Time, tried []request.NodeID) {
	call := balancer.Call{Service: "agenda", Kind: "checklist", AllTiers: true, Priority: work.Priority, Exclude: tried}
	choice, code := caller.Pick(service.now, service.random, call)
	if code != request.OK {
		service.refused[work.Priority.Importance()]++
		return
	}
	caller.Sent(choice)
	service.offers++
	work.Movable = choice.HasAlternative && len(tried) < limitedMoves
	target := service.targets[choice.Target.Address[0]-'0']
	sentAt := service.now
	answer := func(code request.Code) {
		rate := target.Rate(service.now)
		result := balancer.Answer{Result: balancer.ResultOf(code), RateLimited: rate.Limited, RateWait: rate.Wait, Load: balancer.Load(float64(target.Running()+target.Waiting()) / limitedSlots)}
		if code == request.OK {
			result.OwnTime = limitedOwnTime
		}
		service.schedule(limitedDelay, func() {
			result.Latency = service.now.Sub(sentAt)
			caller.Answered(service.now, choice, call, result)
			switch {
			case code == request.OK:
				service.answered[work.Priority.Importance()]++
				service.totalTime += service.now.Sub(began)
			case choice.HasAlternative && len(tried) < limitedMoves:
				service.offer(caller, work, began, append(tried, choice.Target.Node))
			default:
				service.refused[work.Priority.Importance()]++
			}
		})
	}
	service.schedule(limitedDelay, func() { service.arrive(target, work, answer) })
}

// arrive brings a call to the gate of a target, which states its limit in each answer.
func (service *limitedService) arrive(target *limitedTarget, work request.Work, answer func(request.Code)) {
	onDecision := func(decision admission.Decision) {
		if decision.Verdict != admission.Admit {
			answer(decision.Code)
			return
		}
		handedAt := service.now
		target.admitted = append(target.admitted, handedAt)
		service.schedule(time.Duration(float64(limitedOwnTime)*(0.5+service.random.Float64())), func() {
			sample := admission.Sample{Latency: service.now.Sub(handedAt), Result: admission.Succeeded}
			target.waiting.deliver(target.Finish(service.now, work.Call, sample, nil))
			stated := admission.RateStatement{Limited: target.limit >= 0, Limit: target.limit, HandedAt: handedAt}
			target.waiting.deliver(target.RecordRate(service.now, stated, nil))
			answer(request.OK)
		})
	}
	decision, notices := target.Arrive(service.now, work, nil)
	target.waiting.deliver(notices)
	if decision.Verdict == admission.Wait {
		target.waiting[work.Call] = onDecision
		return
	}
	onDecision(decision)
}

// expectLimits checks the users' bound at each target, from its first second on.
func (service *limitedService) expectLimits(g *gomega.WithT) {
	for index, target := range service.targets {
		if target.limit < 0 {
			continue
		}
		var counted []time.Time
		for _, at := range target.admitted {
			if at.After(epoch.Add(time.Second)) {
				counted = append(counted, at)
			}
		}
		g.Expect(float64(mostWithin(counted, rateWindow))).To(gomega.BeNumerically("<=", 1.5*float64(target.limit)*rateWindow.Seconds()+5), "target %d", index)
	}
}

// While two of six targets state low rate limits, the calls go to the other four: all are
// answered, hardly later than without limits, and few are offered twice.
func TestCallsGoElsewhereWhileTargetsAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	const perSecond = 230
	free, limited := newLimitedService(24, -1, -1, -1, -1, -1, -1), newLimitedService(24, -1, -1, 7.4, -1, 12.2, -1)
	free.run(perSecond)
	limited.run(perSecond)
	calls := limited.answered[0] + limited.answered[1]
	meanFree := free.totalTime / time.Duration(free.answered[0]+free.answered[1])
	meanLimited := limited.totalTime / time.Duration(calls)
	t.Logf("mean time %v without limits, %v with; offers per call %.3f; refused %v", meanFree, meanLimited, float64(limited.offers)/float64(calls), limited.refused)
	limited.expectLimits(g)
	g.Expect(limited.refused).To(gomega.BeEmpty())
	g.Expect(float64(meanLimited)).To(gomega.BeNumerically("<=", 1.1*float64(meanFree)))
	g.Expect(float64(limited.offers) / float64(calls)).To(gomega.BeNumerically("<=", 1.15))
}

// While all targets state low rate limits, what they take goes to the more important calls
// first, all of it is used, and calls in excess cost few offers.
func TestImportantCallsFirstWhileAllTargetsAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	const perSecond, limit = 120, 8
	service := newLimitedService(24, limit, limit, limit, limit, limit, limit)
	service.run(perSecond)
	important := float64(service.answered[1]) / float64(service.answered[1]+service.refused[1])
	used := float64(service.answered[0]+service.answered[1]) / (6 * limit * limitedRunTime.Seconds())
	offers := float64(service.offers) / float64(service.answered[0]+service.answered[1]+service.refused[0]+service.refused[1])
	t.Logf("important calls answered %.3f, others %d of %d, limits used %.3f, offers per call %.3f", important, service.answered[0], service.answered[0]+service.refused[0], used, offers)
	service.expectLimits(g)
	g.Expect(important).To(gomega.BeNumerically(">=", 0.95))
	g.Expect(used).To(gomega.BeNumerically(">=", 0.9))
	g.Expect(offers).To(gomega.BeNumerically("<=", 2))
}
