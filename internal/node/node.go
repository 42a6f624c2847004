// Package node implements one node of magnoliawall, a proxy beside one target: all
// calls to the target pass through it, and all calls that the target makes to other
// services. The decisions are made by the packages under internal/core; this package
// connects them to HTTP and to the peer protocol.
//
// The path of a call: [Node.CallerHandler] or [Node.TargetHandler] matches it to a
// kind and finds its root request, the balancer picks a target, and the call goes to
// that target's node. There it passes the admission gate and is handed to the target,
// and the answer goes back the same way.
//
// # Concurrency
//
// The exported fields of [Node] are set before [Node.Prepare] or [Node.Run]. After
// that all methods may be called concurrently; each part of the state has its own
// lock. The claim coordinator is owned by one goroutine.
//
// # Usage
//
//	proxy := &node.Node{
//		ID:            "norte-a-1",
//		Service:       "agenda",
//		Configuration: node.NewConfigurationHolder(active),
//		Balancer:      loadBalancer,
//		Transport:     transport,
//		Target:        target,
//	}
//	err := proxy.Run(ctx, node.Listeners{Callers: callers, Target: outbound, Peers: peers, Admin: admin})
package node

import (
	"cmp"
	"context"
	"encoding/binary"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/correlation"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/core/latency"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/core/schedlag"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Node is one node. The exported fields are set before Prepare or Run.
type Node struct {
	ID            request.NodeID
	Place         request.Place
	Service       request.ServiceName
	Configuration *ConfigurationHolder
	Balancer      *balancer.Balancer
	Transport     *peer.Transport
	Target        *web.TargetClient
	// Claims records actions that may run only once; if nil, such calls are refused.
	Claims Proposer
	// Quotas grants tokens of the quotas of customers; if nil, quotas are not enforced.
	Quotas QuotaSource
	// Dialect is how callers and targets express terms and refusals in HTTP; nil means
	// magnoliawall's own headers.
	Dialect web.Dialect
	// TargetAnnouncesItself says that the target announces itself through
	// SetLocalTarget. Until then it gets no call.
	TargetAnnouncesItself bool
	// RetryBudget bounds the retries to each service; zero fields take the
	// configuration's values.
	RetryBudget retry.Budget
	// KeyLifetime is the time after which calls that need the key of a customer are
	// refused unless ConfirmKeys was called; zero means never.
	KeyLifetime time.Duration
	// Linger is how long callers are still served after a stop was requested. Grace
	// bounds the whole stop; zero means no bound.
	Linger time.Duration
	Grace  time.Duration
	// ForecastTime is how long after a stop was requested calls are passed on that will
	// probably end before it. One that comes later must do so by its deadline. Zero means
	// Linger.
	ForecastTime time.Duration
	// MaxProcessorLag is the processor lag, the time that runnable work waits for a
	// processor, above which calls of peers are refused. Zero means no bound.
	MaxProcessorLag time.Duration
	// Drain, Guard and Logger may be nil.
	Drain  *drain.Drain
	Guard  *quarantine.Guard
	Logger *log.Logger
	// Decisions logs decisions on single calls at a bounded rate; nil logs none.
	Decisions *decision.Log
	// OnDrain is called when the node begins to drain, OnTargetDeath when its target
	// has died.
	OnDrain       func()
	OnTargetDeath func(quarantine.Report)
	// OnTargetLeaving is called in its own goroutine when the target has said in an
	// answer that it is leaving.
	OnTargetLeaving func(LocalTarget)

	keys  keyConfirmation
	roots rootTable
	entry entryControl
	// lagMonitor measures how long work waits for a processor.
	lagMonitor schedlag.Monitor
	// activeRequests holds what the local target works on.
	activeRequests   correlation.OpenRequests[*activeRequest]
	repeats          repeatCounter
	retryTable       retryTable
	admissionControl *admissionControl
	counters         *counters
	statusLog        targetStatusLog
	retryPolicy      retry.Policy
	suspects         suspectQueue
	sharedCalls      sharedCalls
	claimDriver      *claimDriver
	claimedAttempts  attemptTable
	claimedRuns      sync.WaitGroup
	answerMemory     answerMemory
	lastCallID       atomic.Uint64
	// localTargetLock guards changes of localTarget.
	localTargetLock sync.Mutex
	localTarget     atomic.Pointer[LocalTarget]
	peerTargets     peerTargets
	plannedStop     atomic.Pointer[plannedStop]
	// calls is the parent of the contexts of the calls of this node's callers; endCalls ends
	// it with its cause.
	calls             context.Context
	endCalls          context.CancelCauseFunc
	newestPeerVersion atomic.Uint64
	// recentCalls tells how long recent calls that this node sent on took, recentRuns how
	// long the local target took for recent calls, and readyAfter how long this node took to
	// be ready, as a [time.Duration]. They are used while the node stops.
	recentCalls latency.Table[callClass]
	recentRuns  latency.Table[request.KindName]
	readyAfter  atomic.Int64
}

// connectionCheckInterval is the time between two checks of the idle connections to the
// target.
const connectionCheckInterval = time.Second

// Listeners are the sockets of a node; a nil one is not served.
type Listeners struct {
	Callers net.Listener
	Target  net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

var randomPool = sync.Pool{New: func() any {
	return randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64()))
}}

// Prepare sets up the node before its first call. Run calls it; further calls do
// nothing.
func (node *Node) Prepare() {
	if node.admissionControl != nil {
		return
	}
	node.counters = newCounters()
	if node.Dialect == nil {
		node.Dialect = web.NativeDialect{}
	}
	node.Target.Dialect = node.Dialect
	node.retryTable.budget = node.RetryBudget
	if node.Drain == nil {
		node.Drain = &drain.Drain{}
	}
	if node.Guard == nil {
		node.Guard = &quarantine.Guard{Crash: quarantine.Crash{Node: node.ID, Domain: node.Place.Domain, Incarnation: 1}}
	}
	node.lagMonitor.Interval = gateTickInterval
	node.counters.set.NewGauge("magnoliawall_processor_lag_seconds", func() float64 { return node.lagMonitor.Lag(time.Now()).Seconds() })
	node.admissionControl = newAdmissionControl(node.slots())
	node.addTargetGauges()
	// A target that announces itself also states for how long it is slow after its
	// start. That is a matter of time, which fewer concurrent calls would not shorten.
	node.admissionControl.gate.Warm = node.TargetAnnouncesItself
	if node.Claims != nil {
		node.claimDriver = newClaimDriver(node.ID, node.Claims, node.startAttempt, &node.answerMemory)
	}
	node.calls, node.endCalls = context.WithCancelCause(context.Background())
	node.lastCallID.Store(uint64(time.Now().UnixNano()))
	if node.Transport.Handlers == nil {
		node.Transport.Handlers = make(map[peer.StreamKind]peer.Handler)
	}
	node.Transport.Handlers[peer.KindCall] = peer.ServeCalls(node.serveCall)
	node.Target.Start()
}

// Run serves until the context ends and then drains: calls in flight are completed.
// The transport stays open; its owner closes it.
func (node *Node) Run(ctx context.Context, listeners Listeners) error {
	node.Prepare()
	group := run.Group{}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	node.addDrain(ctx, &group)
	node.addServer(&group, listeners.Callers, node.CallerHandler())
	node.addServer(&group, listeners.Target, node.TargetHandler())
	node.addServer(&group, listeners.Admin, node.AdminHandler())
	node.addPeers(running, &group, listeners.Peers)
	node.addTicks(running, &group)
	node.addClaims(running, &group)
	return group.Run()
}

// CalledServices returns the services that this node has sent calls to.
func (node *Node) CalledServices() []request.ServiceName {
	return node.retryTable.services()
}

// CallerHandler serves the calls of callers.
func (node *Node) CallerHandler() http.Handler {
	return node.serveOutbound(originCaller)
}

// TargetHandler serves the calls of the local target.
func (node *Node) TargetHandler() http.Handler {
	return node.serveOutbound(originTarget)
}

func (node *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	if listener == nil {
		return
	}
	acceptor := newConnectionAcceptor(node.closeWhileDraining(handler), node.limits, node.logProblem)
	acceptor.base = node.calls
	group.Add(func() error {
		return acceptor.Serve(listener)
	}, func(error) {
		acceptor.StopAccepting(listener, node.latestAccept())
		node.shutDown(acceptor)
	})
}

// logProblem logs a failure that concerns no single call.
func (node *Node) logProblem(problem string, err error) {
	if node.Logger != nil {
		node.Logger.Error().Err(err).Msg("node: " + problem)
	}
}

// limits returns the limits for callers' connections.
func (node *Node) limits() configuration.Limits {
	return node.Configuration.Current().Document.Limits
}

// shutDown lets the requests in flight end, within the grace time, and those that it ends
// be answered.
func (node *Node) shutDown(acceptor *connectionAcceptor) {
	ctx := context.Background()
	if stop := node.plannedStop.Load(); stop != nil {
		bounded, cancel := context.WithDeadline(ctx, stop.end.Add(endedCallMargin))
		defer cancel()
		ctx = bounded
	}
	acceptor.Shutdown(ctx)
}

func (node *Node) addPeers(ctx context.Context, group *run.Group, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		if listener == nil {
			<-ctx.Done()
			return nil
		}
		return node.Transport.Serve(ctx, listener)
	}, func(error) {
		cancel()
		node.Target.Close()
	})
}

func (node *Node) addTicks(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		node.runTicks(ctx)
		return nil
	}, func(error) { cancel() })
}

func (node *Node) addClaims(ctx context.Context, group *run.Group) {
	if node.claimDriver == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	node.claimDriver.ctx = ctx
	group.Add(func() error {
		node.claimDriver.loop(ctx)
		return nil
	}, func(error) { cancel() })
}

func (node *Node) runTicks(ctx context.Context) {
	ticker, connections := time.NewTicker(gateTickInterval), time.NewTicker(connectionCheckInterval)
	defer ticker.Stop()
	defer connections.Stop()
	startedAt := time.Now()
	for {
		select {
		case now := <-ticker.C:
			node.lagMonitor.RecordTick(time.Now())
			node.applyConfiguration()
			node.noteReady(startedAt, time.Now())
			node.tickGate(now)
		case now := <-connections.C:
			node.Target.CloseUnusable(now)
		case <-ctx.Done():
			return
		}
	}
}

// overLagLimit reports whether work waits so long for a processor that more work
// would be late. A call that is refused at once is sent elsewhere, or fails early for
// its caller.
func (node *Node) overLagLimit(now time.Time) bool {
	return node.MaxProcessorLag > 0 && node.lagMonitor.Lag(now) > node.MaxProcessorLag
}

// tickGate advances the admission gate and logs a change of its headroom.
func (node *Node) tickGate(now time.Time) {
	if before, after := node.admissionControl.tick(now); before.free != after.free {
		node.logHeadroom(before, after)
	}
}

// applyConfiguration applies what the configuration in force says of the local
// target.
func (node *Node) applyConfiguration() {
	node.admissionControl.setSlots(node.slots())
	node.Target.SetConnections(node.localService().Connections)
}

// localService is the configuration of the local target's service.
func (node *Node) localService() configuration.Service {
	return node.Configuration.Current().Document.Services[node.LocalTarget().Service]
}

// slots is how many calls the local target works on at once: the configured number,
// or else the number that the target announced.
func (node *Node) slots() int {
	return cmp.Or(node.localService().Slots, node.LocalTarget().Slots)
}

func (node *Node) nextCallID() request.CallID {
	return request.CallID(node.lastCallID.Add(1))
}

func (node *Node) newRootID() request.RootID {
	id := request.RootID{}
	// The id must be unique, not secret, so it needs no system call.
	binary.BigEndian.PutUint64(id[:8], randv2.Uint64())
	binary.BigEndian.PutUint64(id[8:], randv2.Uint64())
	return id
}
