// Package balancer is a client-side load balancer: it picks the target for each
// outbound call.
//
// For each service that it calls, a node keeps connections to a bounded subset of
// the targets. Rendezvous hashing (Thaler and Ravishankar, 1998) selects the
// subset in each of three tiers: the node's own failure domain, its own region,
// and the other regions. A farther tier is used only when no target of a nearer
// one can take the call. Calls may instead be spread over all tiers by expected
// time and distance.
//
// Within a tier the balancer takes the cheaper of two random targets (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001). For a call with
// a fingerprint it draws only from the two targets of each failure domain that
// rank first for the fingerprint by rendezvous hashing. The cost of a target comes
// from the node's own measurements: calls in flight, latency and failures. The load
// that a target reports can at most double its cost.
//
// A target that fails is ejected and probed with one repeatable call at a time.
// When more than half of the reachable targets are ejected, the cause is probably
// not the targets, and ejections are ignored.
//
// # Usage
//
//	loadBalancer := &balancer.Balancer{Self: id, Place: place}
//	loadBalancer.Update(now, balancer.View{Service: "consumo", Targets: targets})
//	call := balancer.Call{Service: "consumo"}
//	picked, code := loadBalancer.Pick(now, random, call)
//	if code != request.OK {
//		return code
//	}
//	loadBalancer.Sent(picked)
//	result := balancer.ResultOf(answer.Code)
//	loadBalancer.Answered(now, picked, call, balancer.Answer{Result: result})
//
// All methods of [Balancer] and [Links] are safe for concurrent use; [LinkUsage] is
// not. Each service has a lock of its own. Every call to Sent must be followed by
// one to Answered.
package balancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Defaults of the fields of [Balancer], and fixed parameters of the balancer.
const (
	DefaultTargetsPerTier  = 6
	DefaultWarmupTime      = 20 * time.Second
	DefaultRefusalHold     = 100 * time.Millisecond
	DefaultEjectionTime    = 500 * time.Millisecond
	DefaultMaxEjectionTime = 10 * time.Second
	DefaultStaleness       = time.Second
	// initialWarmupShare is the traffic share of a target at the start of its
	// warm-up.
	initialWarmupShare = 0.1
	// ReadmitWarmupTime is the warm-up time of a target after an ejection.
	ReadmitWarmupTime = 2 * time.Second
	// maxTargetsPerTier bounds Balancer.TargetsPerTier.
	maxTargetsPerTier = 32
	// ejectionFailureShare is the average share of failed calls above which a
	// target is ejected.
	ejectionFailureShare = 0.6
	// failureAverageGain and latencyAverageGain are the weights of a new sample in
	// the moving averages of a target.
	failureAverageGain = 0.2
	latencyAverageGain = 0.2
	// failureCostFactor is the relative increase of the cost of a target whose calls
	// all fail.
	failureCostFactor = 4
	// lateLatencyFactor is how many times the typical latency a call must have had
	// for its passed deadline to count as a failure of the target.
	lateLatencyFactor = 4
	// fingerprintTargetsPerDomain bounds the targets of a failure domain that calls
	// with the same fingerprint reach.
	fingerprintTargetsPerDomain = 2
	// spilloverTargetsPerTier bounds the targets of a farther tier that get a
	// connection.
	spilloverTargetsPerTier = 2
	// unreachableLeaseTime is how long a target may be unreachable before its lease
	// must have expired.
	unreachableLeaseTime = 5 * time.Second
	// maxRateHold bounds how long a target that refused a call by its rate limit gets no
	// others from this node. By then the limit may have ended.
	maxRateHold = 3 * time.Second
	// rateHoldDecrease is the factor by which that time shrinks with a success.
	rateHoldDecrease = 0.75
	// drainingHold outlasts the 2 s within which the list of targets shows that a
	// target is draining.
	drainingHold = 3 * time.Second
)

// Call is one outbound call that needs a target.
type Call struct {
	Service  request.ServiceName
	Kind     request.KindName
	Priority request.Priority
	// AllTiers picks from all tiers by expected time and distance, instead of from
	// the nearest tier that can take the call.
	AllTiers bool
	// BodyBytes is the length of the request body.
	BodyBytes int64
	// Repeatable calls may probe an ejected target as soon as its probe is due.
	Repeatable bool
	// Unimportant marks an unimportant call. It is refused rather than sent over a
	// link between regions whose share for unimportant calls is used up.
	Unimportant bool
	// Exclude lists the nodes that earlier attempts used; they are never picked.
	Exclude []request.NodeID
	// Fingerprint limits the call to two targets in each failure domain, so that a
	// request that crashes its targets reaches no third one when it is sent again.
	// Zero sets no limit.
	Fingerprint request.Fingerprint
	// SingleTarget limits the call to the first of the two targets.
	SingleTarget bool
	// AvoidNodes are picked only if there is no other target. AvoidDomains are never
	// picked, but apply only to calls with a fingerprint.
	AvoidNodes   []request.NodeID
	AvoidDomains []request.DomainName
}

// Balancer picks targets for the calls of one node. Its exported fields must be
// set before the first use. Zero means the default.
type Balancer struct {
	Self  request.NodeID
	Place request.Place
	// TargetsPerTier is the largest number of targets of one service that the node
	// uses in each tier.
	TargetsPerTier int
	// WarmupTime is how long the share of a cold target takes to grow to a full one.
	WarmupTime time.Duration
	// RefusalHold is how long a target that refused a call gets no calls of the same
	// or a lower priority.
	RefusalHold time.Duration
	// EjectionTime is how long a failing target is ejected at first. It doubles with
	// each failed probe, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// Staleness is the age at which a load report or a latency has half its weight.
	Staleness time.Duration
	// Links meters the traffic to other regions. Nil meters nothing.
	Links *Links

	once  sync.Once
	mutex sync.Mutex
	pools atomic.Pointer[poolTable]
}

type poolTable map[request.ServiceName]*servicePool

// Choice is a picked target. It stays valid after the target has been removed.
type Choice struct {
	Target Target
	// CrossRegion is set if the target is in another region.
	CrossRegion bool
	// HasAlternative is set if another target was likely to take the call.
	HasAlternative bool
	pool           *servicePool
	endpoint       *endpoint
}

// Picked reports whether the choice names a target.
func (choice Choice) Picked() bool {
	return choice.endpoint != nil
}

// Update replaces the list of targets of one service.
func (balancer *Balancer) Update(now time.Time, view View) {
	balancer.once.Do(balancer.initialize)
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	table := *balancer.pools.Load()
	if pool, ok := table[view.Service]; ok {
		pool.replaceTargets(now, view.Targets)
		return
	}
	extended := make(poolTable, len(table)+1)
	for name, pool := range table {
		extended[name] = pool
	}
	pool := newServicePool(balancer)
	pool.replaceTargets(now, view.Targets)
	extended[view.Service] = pool
	balancer.pools.Store(&extended)
}

// Pick returns a target for the call. The code is [request.OK],
// [request.UnknownService], [request.NoTarget] or [request.LinkFull].
func (balancer *Balancer) Pick(now time.Time, random *rand.Rand, call Call) (Choice, request.Code) {
	pool := balancer.poolOf(call.Service)
	if pool == nil {
		return Choice{}, request.UnknownService
	}
	return pool.pick(now, random, &call)
}

// Sent counts a call in flight at its target.
func (balancer *Balancer) Sent(choice Choice) {
	choice.pool.mutex.Lock()
	defer choice.pool.mutex.Unlock()
	choice.endpoint.inFlight++
}

// Answered ends a call that was counted by Sent and updates the state of its
// target by the answer.
func (balancer *Balancer) Answered(now time.Time, choice Choice, call Call, answer Answer) {
	if choice.CrossRegion {
		balancer.Links.AddBytes(now, choice.Target.Place.Region, answer.Bytes)
	}
	choice.pool.mutex.Lock()
	defer choice.pool.mutex.Unlock()
	choice.pool.recordAnswer(now, choice.endpoint, call, answer)
}

// Connected records that the connection to the node is established, and readmits
// the target if it was unreachable. Repeated calls have no effect.
func (balancer *Balancer) Connected(now time.Time, service request.ServiceName, node request.NodeID) {
	balancer.updateEndpoint(service, node, func(pool *servicePool, found *endpoint) {
		if found.connected {
			return
		}
		found.connected = true
		if found.unreachable {
			pool.readmit(now, found)
		}
	})
}

// Disconnected records that the connection to the node broke or could not be
// established, and ejects the target.
func (balancer *Balancer) Disconnected(now time.Time, service request.ServiceName, node request.NodeID) {
	balancer.updateEndpoint(service, node, func(pool *servicePool, found *endpoint) {
		found.connected = false
		found.markUnreachable(now)
		pool.eject(now, found, false)
	})
}

// ConnectionTargets lists the targets of a service to which the node should keep
// connections, so that no call waits for one: TargetsPerTier of the nearest tier
// that has any, and two of each farther tier to spill over to.
func (balancer *Balancer) ConnectionTargets(service request.ServiceName) []Target {
	pool := balancer.poolOf(service)
	if pool == nil {
		return nil
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var wanted []Target
	limit := balancer.TargetsPerTier
	for _, endpoints := range pool.tiers {
		for _, candidate := range endpoints[:min(len(endpoints), limit)] {
			wanted = append(wanted, candidate.target)
		}
		if len(endpoints) > 0 {
			limit = min(limit, spilloverTargetsPerTier)
		}
	}
	return wanted
}

func (balancer *Balancer) poolOf(service request.ServiceName) *servicePool {
	balancer.once.Do(balancer.initialize)
	return (*balancer.pools.Load())[service]
}

func (balancer *Balancer) updateEndpoint(service request.ServiceName, node request.NodeID, apply func(*servicePool, *endpoint)) {
	pool := balancer.poolOf(service)
	if pool == nil {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if found := pool.endpoints[node]; found != nil {
		apply(pool, found)
	}
}

func (balancer *Balancer) initialize() {
	balancer.pools.Store(&poolTable{})
	setDefault(&balancer.TargetsPerTier, DefaultTargetsPerTier)
	balancer.TargetsPerTier = min(balancer.TargetsPerTier, maxTargetsPerTier)
	setDefault(&balancer.WarmupTime, DefaultWarmupTime)
	setDefault(&balancer.RefusalHold, DefaultRefusalHold)
	setDefault(&balancer.EjectionTime, DefaultEjectionTime)
	setDefault(&balancer.MaxEjectionTime, DefaultMaxEjectionTime)
	setDefault(&balancer.Staleness, DefaultStaleness)
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
