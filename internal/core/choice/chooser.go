// Package choice picks the target for one outbound call.
//
// A node keeps connections for each service that it calls to a bounded subset
// of the targets, taken by rendezvous hashing (Thaler and Ravishankar, 1998) in
// each of three tiers: its own failure domain, its own region, and the other
// regions. A farther tier is used only when no target of a nearer one can take
// the call. Within a tier the cheaper of two targets is taken (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). The two are
// drawn at random, or, for a call with a fingerprint, among the two of each
// failure domain that rank first for it by rendezvous hashing. The cost of a
// target is what the node has measured itself: calls in flight, latency and
// failures. The load that a target reports can at most double its cost.
//
// A target that fails is ejected and probed with one repeatable call at a
// time. When more than half of the reachable targets seem to fail, the
// judgement is distrusted and ejections are ignored.
//
// # Usage
//
//	chooser := &choice.Chooser{Self: id, Place: place}
//	chooser.Update(now, choice.View{Service: "consumo", Targets: targets})
//	picked, code := chooser.Pick(now, random, choice.Call{Service: "consumo"})
//	if code != request.OK {
//		return code
//	}
//	chooser.Sent(picked)
//	chooser.Answered(now, picked, choice.Answer{Result: choice.ResultOf(answer)})
//
// All methods may be called from several goroutines; each service has a lock
// of its own. Every call to Sent is followed by one to Answered.
package choice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The policy that a zero field of [Chooser] stands for.
const (
	DefaultPerTier       = 6
	DefaultWarmTime      = 20 * time.Second
	DefaultRefusalHold   = 100 * time.Millisecond
	DefaultEjection      = 500 * time.Millisecond
	DefaultMaxEjection   = 10 * time.Second
	DefaultStaleness     = time.Second
	DefaultColdShare     = 0.1
	DefaultReadmitTime   = 2 * time.Second
	maxPerTier           = 32
	ejectionFailureShare = 0.6
	failureGain          = 0.2
	latencyGain          = 0.2
	failureCost          = 4
	lateFactor           = 4
	homesPerDomain       = 2
	spilloverConnections = 2
	unreachableTime      = 5 * time.Second
	// leftTime outlasts the 2 s within which the list of targets follows.
	leftTime = 3 * time.Second
)

// Call is one outbound call that needs a target.
type Call struct {
	Service  request.ServiceName
	Kind     request.KindName
	Priority request.Priority
	// Anywhere weighs all tiers together, by expected time and distance, in
	// place of the nearest tier that can take the call.
	Anywhere bool
	// Bytes is the length of the call's body.
	Bytes int64
	// Repeatable calls may probe an ejected target.
	Repeatable bool
	// Sparing marks a call that is refused sooner than sent over a full link.
	Sparing bool
	// Exclude lists the nodes that were tried before.
	Exclude []request.NodeID
	// Fingerprint limits the call to two targets in each failure domain, so
	// that resends of a request that crashes its targets reach no third one.
	// Zero sets no limit.
	Fingerprint request.Fingerprint
	// Alone limits the call to the first of these targets.
	Alone bool
	// AvoidNodes are taken only when there is no other target, AvoidDomains
	// never.
	AvoidNodes   []request.NodeID
	AvoidDomains []request.DomainName
}

// Chooser picks targets for the calls of one node. The exported fields are set
// before the first use; a zero field takes its default.
type Chooser struct {
	Self  request.NodeID
	Place request.Place
	// PerTier bounds the targets of one service in each tier.
	PerTier int
	// WarmTime is how long the share of a cold target grows.
	WarmTime time.Duration
	// RefusalHold is how long a refusal counts for calls that are no more
	// important.
	RefusalHold time.Duration
	// Ejection is the first time that a failing target is left out; it doubles
	// with each failed probe up to MaxEjection.
	Ejection    time.Duration
	MaxEjection time.Duration
	// Staleness is the age at which a report or a latency counts half.
	Staleness time.Duration
	// Links meters the bytes to other regions; nil meters nothing.
	Links *Links

	once  sync.Once
	mutex sync.Mutex
	pools atomic.Pointer[poolTable]
}

type poolTable map[request.ServiceName]*pool

// Choice is a picked target. It stays valid after the target has left.
type Choice struct {
	Target Target
	// Across says that the target is in another region.
	Across bool
	pool   *pool
	entry  *entry
}

// Picked tells whether the choice names a target.
func (choice Choice) Picked() bool {
	return choice.entry != nil
}

// Update replaces the targets of one service.
func (chooser *Chooser) Update(now time.Time, view View) {
	chooser.once.Do(chooser.prepare)
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	table := *chooser.pools.Load()
	if services, ok := table[view.Service]; ok {
		services.replace(now, view.Targets)
		return
	}
	grown := make(poolTable, len(table)+1)
	for name, services := range table {
		grown[name] = services
	}
	services := newPool(chooser)
	services.replace(now, view.Targets)
	grown[view.Service] = services
	chooser.pools.Store(&grown)
}

// Pick takes a target for the call. The code is [request.OK],
// [request.UnknownService], [request.NoTarget] or [request.LinkFull].
func (chooser *Chooser) Pick(now time.Time, random *rand.Rand, call Call) (Choice, request.Code) {
	services := chooser.find(call.Service)
	if services == nil {
		return Choice{}, request.UnknownService
	}
	return services.pick(now, random, &call)
}

// Sent counts the call as in flight at its target.
func (chooser *Chooser) Sent(choice Choice) {
	choice.pool.mutex.Lock()
	defer choice.pool.mutex.Unlock()
	choice.entry.inFlight++
}

// Answered ends a call and judges its target by the answer.
func (chooser *Chooser) Answered(now time.Time, choice Choice, call Call, answer Answer) {
	if choice.Across {
		chooser.Links.Count(now, choice.Target.Place.Region, answer.Bytes)
	}
	choice.pool.mutex.Lock()
	defer choice.pool.mutex.Unlock()
	choice.pool.judge(now, choice.entry, call, answer)
}

// Connected tells that a connection to the node stands. It may be called again
// while it stands.
func (chooser *Chooser) Connected(now time.Time, service request.ServiceName, node request.NodeID) {
	chooser.change(service, node, func(services *pool, found *entry) {
		if found.connected {
			return
		}
		found.connected = true
		if found.unreachable {
			services.readmit(now, found)
		}
	})
}

// Lost tells that the connection to the node broke or could not be made.
func (chooser *Chooser) Lost(now time.Time, service request.ServiceName, node request.NodeID) {
	chooser.change(service, node, func(services *pool, found *entry) {
		found.connected = false
		found.lose(now)
		services.eject(now, found, false)
	})
}

// Wanted lists the targets of a service to which connections should be kept, so
// that no call waits for one: PerTier of the nearest tier that has any, and two
// of each farther one to spill over to.
func (chooser *Chooser) Wanted(service request.ServiceName) []Target {
	services := chooser.find(service)
	if services == nil {
		return nil
	}
	services.mutex.Lock()
	defer services.mutex.Unlock()
	var wanted []Target
	bound := chooser.PerTier
	for _, entries := range services.tiers {
		for _, candidate := range entries[:min(len(entries), bound)] {
			wanted = append(wanted, candidate.target)
		}
		if len(entries) > 0 {
			bound = min(bound, spilloverConnections)
		}
	}
	return wanted
}

func (chooser *Chooser) find(service request.ServiceName) *pool {
	chooser.once.Do(chooser.prepare)
	return (*chooser.pools.Load())[service]
}

func (chooser *Chooser) change(service request.ServiceName, node request.NodeID, apply func(*pool, *entry)) {
	services := chooser.find(service)
	if services == nil {
		return
	}
	services.mutex.Lock()
	defer services.mutex.Unlock()
	if found := services.entries[node]; found != nil {
		apply(services, found)
	}
}

func (chooser *Chooser) prepare() {
	chooser.pools.Store(&poolTable{})
	setDefault(&chooser.PerTier, DefaultPerTier)
	chooser.PerTier = min(chooser.PerTier, maxPerTier)
	setDefault(&chooser.WarmTime, DefaultWarmTime)
	setDefault(&chooser.RefusalHold, DefaultRefusalHold)
	setDefault(&chooser.Ejection, DefaultEjection)
	setDefault(&chooser.MaxEjection, DefaultMaxEjection)
	setDefault(&chooser.Staleness, DefaultStaleness)
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
