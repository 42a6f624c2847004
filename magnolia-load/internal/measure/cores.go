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
	coresAbout     = "All decisions of one call at the size of 3,000 instances in 110 services of two regions with six failure domains: match, levels, choice, allowance, quarantine and admission, by calls of the cores on one processor. The naive version chooses at random and counts connections."
	coreServices   = 110
	coreInstances  = 3000
	coreDomains    = 6
	coreRegions    = 2
	coreSlots      = 50
	coreAllowance  = 3
	coreCalls      = 200_000
	coreWarmCalls  = 20_000
	coreTickCalls  = 50
	coreRootKind   = "service-0/read"
	corePriority   = request.Priority(300)
	coreDeadline   = time.Second
	coreSpacing    = time.Millisecond
	coreServiceFor = 5 * time.Millisecond
)

// chooser is the port that both choosers fill.
type chooser interface {
	Update(now time.Time, view balancer.View)
	Pick(now time.Time, random *rand.Rand, call balancer.Call) (balancer.Choice, request.Code)
	Sent(picked balancer.Choice)
	Answered(now time.Time, picked balancer.Choice, call balancer.Call, answer balancer.Answer)
}

// gate is the port that both gates fill.
type gate interface {
	Arrive(now time.Time, work request.Work, notices []admission.Notice) (admission.Decision, []admission.Notice)
	Finish(now time.Time, call request.CallID, sample admission.Sample, notices []admission.Notice) []admission.Notice
	Tick(now time.Time, notices []admission.Notice) []admission.Notice
	Level(kind request.KindName, now time.Time) request.Level
}

// cores are the cores of the two nodes of a call.
type cores struct {
	now      time.Time
	random   *rand.Rand
	services []request.ServiceName
	paths    []string
	matcher  *configuration.Matcher
	chooser  chooser
	gate     gate
	notices  []admission.Notice
	// levels and guard are nil in the naive version.
	levels *admission.Levels
	guard  *quarantine.Guard
	calls  uint64
}

func runCores(_ context.Context, run Run) ([]Figure, error) {
	matcher, err := coreMatcher()
	if err != nil {
		return nil, err
	}
	levels := &admission.Levels{}
	ours := newCores(run.Seed, matcher)
	ours.chooser = &balancer.Balancer{Self: "node-0", Place: corePlace(0)}
	ours.gate = &admission.Gate{Slots: coreSlots, Warm: true, Downstream: levels}
	ours.levels = levels
	ours.guard = &quarantine.Guard{Crash: quarantine.Crash{Node: "node-0", Domain: corePlace(0).Domain, Incarnation: 1}}
	simple := newCores(run.Seed, matcher)
	simple.chooser = &naive.Chooser{}
	simple.gate = &naive.Gate{Connections: coreSlots}
	spent, allocated, err := ours.measure()
	if err != nil {
		return nil, err
	}
	simplySpent, simplyAllocated, err := simple.measure()
	if err != nil {
		return nil, err
	}
	return []Figure{
		{Name: "time", Unit: "µs per call", Target: "2 at most", Value: spent, Naive: simplySpent, HasNaive: true},
		{Name: "allocations", Unit: "per call", Target: "0", Value: allocated, Naive: simplyAllocated, HasNaive: true},
	}, nil
}

func newCores(seed uint64, matcher *configuration.Matcher) *cores {
	made := &cores{
		now:     time.Unix(1_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, seed)),
		matcher: matcher,
		notices: make([]admission.Notice, 0, coreSlots),
	}
	for index := range coreServices {
		made.services = append(made.services, coreService(index))
		made.paths = append(made.paths, fmt.Sprintf("/things/%d", index))
	}
	return made
}

// measure gives processor time in microseconds and allocations per call.
func (c *cores) measure() (spent, allocated float64, err error) {
	c.announce()
	if err := c.run(coreWarmCalls); err != nil {
		return 0, 0, err
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	if err := c.run(coreCalls); err != nil {
		return 0, 0, err
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	spent = float64(took) / float64(time.Microsecond) / coreCalls
	allocated = float64(after.Mallocs-before.Mallocs) / coreCalls
	return spent, allocated, nil
}

func (c *cores) announce() {
	views := make([]balancer.View, coreServices)
	for index := range coreInstances {
		service := index % coreServices
		views[service].Service = c.services[service]
		views[service].Targets = append(views[service].Targets, balancer.Target{
			Node:        request.NodeID(fmt.Sprintf("node-%d", index)),
			Incarnation: 1,
			Address:     fmt.Sprintf("127.0.0.1:%d", index),
			Place:       corePlace(index / coreServices),
			Slots:       coreSlots,
		})
	}
	for _, view := range views {
		c.chooser.Update(c.now, view)
	}
	c.now = c.now.Add(time.Minute)
}

func (c *cores) run(calls int) error {
	for range calls {
		if code := c.turn(); code != request.OK {
			return oops.Errorf("the decisions on call %d ended with %s", c.calls, code)
		}
	}
	return nil
}

// turn takes all decisions of one call that is answered.
func (c *cores) turn() request.Code {
	c.calls++
	c.now = c.now.Add(coreSpacing)
	index := int(c.calls % coreServices)
	service := c.services[index]
	_, kind, ok := c.matcher.Match(service, "GET", c.paths[index])
	if !ok {
		return request.UnknownKind
	}
	work := request.Work{
		Call:     request.CallID(c.calls),
		RootKind: coreRootKind,
		Kind:     kind.Name,
		Priority: corePriority,
		Deadline: c.now.Add(coreDeadline),
	}
	fingerprint := request.Fingerprint(c.calls)
	if code := c.before(service, work, fingerprint); code != request.OK {
		return code
	}
	call := balancer.Call{Service: service, Priority: corePriority, Repeatable: true, Fingerprint: fingerprint}
	picked, code := c.chooser.Pick(c.now, c.random, call)
	if code != request.OK {
		return code
	}
	c.chooser.Sent(picked)
	account := retry.Account{Remaining: coreAllowance}
	share := account.TakeShare()
	level, code := c.atTarget(work, fingerprint)
	account.Return(share, share)
	c.chooser.Answered(c.now, picked, call, balancer.Answer{Result: balancer.ResultOf(code), Latency: coreServiceFor})
	if c.levels != nil {
		c.levels.RecordCurrent(service, coreRootKind, level, c.now)
	}
	return code
}

// before decides at the sending node whether the call is sent at all.
func (c *cores) before(service request.ServiceName, work request.Work, fingerprint request.Fingerprint) request.Code {
	if c.levels != nil && c.levels.Refuses(service, work, c.now) {
		return request.OverloadedBelow
	}
	if c.guard != nil && c.guard.Decide(c.now, fingerprint).Restriction != quarantine.Unrestricted {
		return request.Quarantined
	}
	return request.OK
}

// atTarget decides at the target's node, from arrival to answer.
func (c *cores) atTarget(work request.Work, fingerprint request.Fingerprint) (request.Level, request.Code) {
	decision, notices := c.gate.Arrive(c.now, work, c.notices[:0])
	if decision.Verdict != admission.Admit {
		return 0, request.Overloaded
	}
	ticket := quarantine.Ticket(work.Call)
	if c.guard != nil && c.guard.Admit(c.now, fingerprint, ticket) != quarantine.Run {
		return 0, request.Quarantined
	}
	if c.guard != nil {
		c.guard.Finish(c.now, ticket, true)
	}
	notices = c.gate.Finish(c.now, work.Call, admission.Sample{Latency: coreServiceFor, Result: admission.Succeeded}, notices[:0])
	if c.calls%coreTickCalls == 0 {
		notices = c.gate.Tick(c.now, notices[:0])
	}
	c.notices = notices[:0]
	return c.gate.Level(coreRootKind, c.now), request.OK
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
		return nil, oops.Wrapf(err, "the configuration of the cores' measurement is not accepted")
	}
	return configuration.Compile(document), nil
}
