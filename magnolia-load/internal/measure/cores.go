package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	coresAbout       = "All decisions of one call at the size of 3,000 instances in 110 services of two regions with six failure domains: match, levels, choice, allowance, quarantine and admission, by calls of the cores on one processor. The naive version chooses at random and counts connections."
	coreServices     = 110
	coreInstances    = 3000
	coreDomains      = 6
	coreRegions      = 2
	coreSlots        = 50
	coreAllowance    = 3
	coreCalls        = 200_000
	coreWarmCalls    = 20_000
	coreCallsPerTick = 50
	coreRootKind     = "service-0/read"
	corePriority     = request.Priority(300)
	coreDeadline     = time.Second
	coreSpacing      = time.Millisecond
	coreServiceTime  = 5 * time.Millisecond
)

// loadBalancer is implemented by the balancers of both versions.
type loadBalancer interface {
	Update(now time.Time, view balancer.View)
	Pick(now time.Time, random *rand.Rand, call balancer.Call) (balancer.Choice, request.Code)
	Sent(picked balancer.Choice)
	Answered(now time.Time, picked balancer.Choice, call balancer.Call, answer balancer.Answer)
}

// gate is implemented by the gates of both versions.
type gate interface {
	Arrive(now time.Time, work request.Work, notices []admission.Notice) (admission.Decision, []admission.Notice)
	Finish(now time.Time, call request.CallID, sample admission.Sample, notices []admission.Notice) []admission.Notice
	Tick(now time.Time, notices []admission.Notice) []admission.Notice
	Level(kind request.KindName, now time.Time) request.Level
}

// callDecisions holds the decision logic of the two nodes of a call.
type callDecisions struct {
	now      time.Time
	random   *rand.Rand
	services []request.ServiceName
	paths    []string
	matcher  *configuration.Matcher
	balancer loadBalancer
	gate     gate
	notices  []admission.Notice
	// levels and quarantineGuard are nil in the naive version.
	levels          *admission.Levels
	quarantineGuard *quarantine.Guard
	calls           uint64
}

func runCores(_ context.Context, run Run) ([]Figure, error) {
	matcher, err := coreMatcher()
	if err != nil {
		return nil, err
	}
	levels := &admission.Levels{}
	magnolia := newCallDecisions(run.Seed, matcher)
	magnolia.balancer = &balancer.Balancer{Self: "node-0", Place: corePlace(0)}
	magnolia.gate = &admission.Gate{Slots: coreSlots, Warm: true, Downstream: levels}
	magnolia.levels = levels
	magnolia.quarantineGuard = &quarantine.Guard{Crash: quarantine.Crash{Node: "node-0", Domain: corePlace(0).Domain, Incarnation: 1}}
	naiveDecisions := newCallDecisions(run.Seed, matcher)
	naiveDecisions.balancer = &naive.Balancer{}
	naiveDecisions.gate = &naive.Gate{Connections: coreSlots}
	microseconds, allocations, err := magnolia.measure()
	if err != nil {
		return nil, err
	}
	naiveMicroseconds, naiveAllocations, err := naiveDecisions.measure()
	if err != nil {
		return nil, err
	}
	return []Figure{
		{Name: "time", Unit: "µs per call", Target: "2 at most", Value: microseconds, Naive: naiveMicroseconds, HasNaive: true},
		{Name: "allocations", Unit: "per call", Target: "0", Value: allocations, Naive: naiveAllocations, HasNaive: true},
	}, nil
}

func newCallDecisions(seed uint64, matcher *configuration.Matcher) *callDecisions {
	decisions := &callDecisions{
		now:     time.Unix(1_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, seed)),
		matcher: matcher,
		notices: make([]admission.Notice, 0, coreSlots),
	}
	for index := range coreServices {
		decisions.services = append(decisions.services, coreService(index))
		decisions.paths = append(decisions.paths, fmt.Sprintf("/things/%d", index))
	}
	return decisions
}

// measure returns the time in microseconds and the number of allocations per call.
func (decisions *callDecisions) measure() (microseconds, allocations float64, err error) {
	decisions.registerTargets()
	if err := decisions.run(coreWarmCalls); err != nil {
		return 0, 0, err
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	if err := decisions.run(coreCalls); err != nil {
		return 0, 0, err
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	microseconds = float64(took) / float64(time.Microsecond) / coreCalls
	allocations = float64(after.Mallocs-before.Mallocs) / coreCalls
	return microseconds, allocations, nil
}

func (decisions *callDecisions) registerTargets() {
	views := make([]balancer.View, coreServices)
	for index := range coreInstances {
		service := index % coreServices
		views[service].Service = decisions.services[service]
		views[service].Targets = append(views[service].Targets, balancer.Target{
			Node:        request.NodeID(fmt.Sprintf("node-%d", index)),
			Incarnation: 1,
			Address:     fmt.Sprintf("127.0.0.1:%d", index),
			Place:       corePlace(index / coreServices),
			Slots:       coreSlots,
		})
	}
	for _, view := range views {
		decisions.balancer.Update(decisions.now, view)
	}
	decisions.now = decisions.now.Add(time.Minute)
}

func (decisions *callDecisions) run(calls int) error {
	for range calls {
		if code := decisions.decideCall(); code != request.OK {
			return oops.Errorf("call %d was refused with %s", decisions.calls, code)
		}
	}
	return nil
}

// decideCall makes all decisions of one call that gets an answer.
func (decisions *callDecisions) decideCall() request.Code {
	decisions.calls++
	decisions.now = decisions.now.Add(coreSpacing)
	index := int(decisions.calls % coreServices)
	service := decisions.services[index]
	_, kind, ok := decisions.matcher.Match(service, "GET", decisions.paths[index])
	if !ok {
		return request.UnknownKind
	}
	work := request.Work{
		Call:     request.CallID(decisions.calls),
		RootKind: coreRootKind,
		Kind:     kind.Name,
		Priority: corePriority,
		Deadline: decisions.now.Add(coreDeadline),
	}
	fingerprint := request.Fingerprint(decisions.calls)
	if code := decisions.decideBeforeSending(service, work, fingerprint); code != request.OK {
		return code
	}
	call := balancer.Call{Service: service, Priority: corePriority, Repeatable: true, Fingerprint: fingerprint}
	picked, code := decisions.balancer.Pick(decisions.now, decisions.random, call)
	if code != request.OK {
		return code
	}
	decisions.balancer.Sent(picked)
	account := retry.Account{Remaining: coreAllowance}
	share := account.TakeShare()
	level, code := decisions.decideAtTarget(work, fingerprint)
	account.Return(share, share)
	decisions.balancer.Answered(decisions.now, picked, call, balancer.Answer{Result: balancer.ResultOf(code), Latency: coreServiceTime})
	if decisions.levels != nil {
		decisions.levels.RecordLevel(service, coreRootKind, level, decisions.now)
	}
	return code
}

// decideBeforeSending decides at the calling node whether the call is sent.
func (decisions *callDecisions) decideBeforeSending(service request.ServiceName, work request.Work, fingerprint request.Fingerprint) request.Code {
	if decisions.levels != nil && decisions.levels.Refuses(service, work, decisions.now) {
		return request.OverloadedBelow
	}
	if decisions.quarantineGuard != nil && decisions.quarantineGuard.Decide(decisions.now, fingerprint).Restriction != quarantine.Unrestricted {
		return request.Quarantined
	}
	return request.OK
}

// decideAtTarget makes the decisions at the target's node, from arrival to answer.
func (decisions *callDecisions) decideAtTarget(work request.Work, fingerprint request.Fingerprint) (request.Level, request.Code) {
	decision, notices := decisions.gate.Arrive(decisions.now, work, decisions.notices[:0])
	if decision.Verdict != admission.Admit {
		return 0, request.Overloaded
	}
	ticket := quarantine.Ticket(work.Call)
	if decisions.quarantineGuard != nil && decisions.quarantineGuard.Admit(decisions.now, fingerprint, ticket) != quarantine.Run {
		return 0, request.Quarantined
	}
	if decisions.quarantineGuard != nil {
		decisions.quarantineGuard.Finish(decisions.now, ticket, true)
	}
	notices = decisions.gate.Finish(decisions.now, work.Call, admission.Sample{Latency: coreServiceTime, Result: admission.Succeeded}, notices[:0])
	if decisions.calls%coreCallsPerTick == 0 {
		notices = decisions.gate.Tick(decisions.now, notices[:0])
	}
	decisions.notices = notices[:0]
	return decisions.gate.Level(coreRootKind, decisions.now), request.OK
}

func coreService(index int) request.ServiceName {
	return request.ServiceName(fmt.Sprintf("service-%d", index))
}

func corePlace(index int) request.Place {
	domain := index % coreDomains
	return request.Place{
		Region: request.RegionName(fmt.Sprintf("region-%d", domain%coreRegions)),
		Domain: request.DomainName(fmt.Sprintf("domain-%d", domain)),
	}
}

func coreMatcher() (*configuration.Matcher, error) {
	var text strings.Builder
	text.WriteString(`{"importances": ["visit"],
		"retry": {"allowance-per-root": 3, "edge-share": 0.1},
		"claims": {"retention": "24h", "record-retention": "168h", "kept-answer": "16KiB"},
		"quarantine": {"hold": "10m"},
		"links": {"bytes-per-second": 500000000, "share-for-unimportant": 0.6},
		"services": {`)
	for index := range coreServices {
		fmt.Fprintf(&text, `%q: {"slots": 50, "connections": 400, "kinds": {
			"read": {"method": "GET", "path": "/things/{id}", "importance": "visit", "repeat": "repeatable", "deadline": "1s"}}},`, coreService(index))
	}
	text.WriteString("}}")
	document, err := configuration.Parse([]byte(text.String()))
	if err != nil {
		return nil, oops.Wrapf(err, "parsing the configuration of the measurement of the cores")
	}
	return configuration.Compile(document), nil
}
