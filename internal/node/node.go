// Package node is one node of magnoliawall: the only way into its local target
// and the only way from the target to other services. It joins the cores to
// HTTP on the one side and to the peers on the other.
//
// The way of a call: [Node.CallerHandler] or [Node.TargetHandler] matches it to
// a kind and ties it to its root request, the chooser picks a target, the call
// goes to the target's node, which admits it, hands it to the target and sends
// the answer back.
//
// # Usage
//
//	no := &node.Node{
//		ID:            "norte-a-1",
//		Service:       "agenda",
//		Configuration: node.NewHolder(active),
//		Chooser:       chooser,
//		Transport:     transport,
//		Target:        target,
//	}
//	err := no.Run(ctx, node.Listeners{Callers: callers, Target: outbound, Peers: peers, Admin: admin})
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
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/core/lineage"
	"github.com/magnoliawall/magnoliawall/internal/core/pulse"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Node is one node. The exported fields are set before Run.
type Node struct {
	ID            request.NodeID
	Place         request.Place
	Service       request.ServiceName
	Configuration *Holder
	Chooser       *choice.Chooser
	Transport     *peer.Transport
	Target        *web.TargetClient
	// Claims records actions that may not be repeated; nil refuses them.
	Claims Proposer
	// Dialect is what callers and targets speak; nil is the product's own.
	Dialect web.Dialect
	// Announced says that the target announces itself, by SetLocal. Until then
	// it gets no call.
	Announced bool
	// RetryBudget bounds the retries to each service; zero fields are those of
	// the configuration.
	RetryBudget retry.Edge
	// Linger is how long callers are served after a stop was asked for, and
	// Grace how long the stop may take; zero does not bound it.
	Linger time.Duration
	Grace  time.Duration
	// MostLag is how long work may wait for the processor before calls of peers are
	// turned away; zero turns none away for that.
	MostLag time.Duration
	// Drain, Guard and Logger may be left nil.
	Drain  *drain.Drain
	Guard  *quarantine.Guard
	Logger *log.Logger
	// Decisions bounds the lines on single calls; nil writes none.
	Decisions *decision.Log
	// OnDrain is called when the node begins to drain, OnReport when its target
	// died.
	OnDrain  func()
	OnReport func(quarantine.Report)

	roots rootTable
	doors doors
	// pulse tells how long work waits for the processor.
	pulse pulse.Pulse
	// served holds what the local target works on.
	served      lineage.Open[*served]
	edges       edgeTable
	traffic     *traffic
	counters    *counters
	retryPolicy retry.Policy
	suspects    waiters
	flights     flights
	claims      *claims
	once        onceTable
	runs        sync.WaitGroup
	calls       atomic.Uint64
	local       atomic.Pointer[LocalTarget]
	stopBy      atomic.Int64
	heard       atomic.Uint64
}

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

// Prepare readies the node for its first call; Run does so by itself.
func (no *Node) Prepare() {
	if no.traffic != nil {
		return
	}
	no.counters = newCounters()
	if no.Dialect == nil {
		no.Dialect = web.Native{}
	}
	no.Target.Dialect = no.Dialect
	no.edges.budget = no.RetryBudget
	if no.Drain == nil {
		no.Drain = &drain.Drain{}
	}
	if no.Guard == nil {
		no.Guard = &quarantine.Guard{Crash: quarantine.Crash{Node: no.ID, Domain: no.Place.Domain, Incarnation: 1}}
	}
	no.pulse.Interval = gateInterval
	no.counters.set.NewGauge("magnoliawall_processor_lag_seconds", func() float64 { return no.pulse.Lag(time.Now()).Seconds() })
	no.traffic = newTraffic(no.slots())
	// A target that announces itself says for how long it is slow after its
	// start: that is a time, which fewer calls at once would not shorten.
	no.traffic.gate.Warm = no.Announced
	if no.Claims != nil {
		no.claims = newClaims(no.ID, no.Claims, no.runOnce)
	}
	no.calls.Store(uint64(time.Now().UnixNano()))
	if no.Transport.Handlers == nil {
		no.Transport.Handlers = make(map[peer.Kind]peer.Handler)
	}
	no.Transport.Handlers[peer.KindCall] = peer.ServeCalls(no.serveCall)
	no.Target.Start()
}

// Run serves until the context ends, then drains: no call in flight is cut. The
// transport stays open; its owner closes it.
func (no *Node) Run(ctx context.Context, listeners Listeners) error {
	no.Prepare()
	group := run.Group{}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	no.addDrain(ctx, &group)
	no.addServer(&group, listeners.Callers, no.CallerHandler())
	no.addServer(&group, listeners.Target, no.TargetHandler())
	no.addServer(&group, listeners.Admin, no.AdminHandler())
	no.addPeers(running, &group, listeners.Peers)
	no.addGate(running, &group)
	no.addClaims(running, &group)
	return group.Run()
}

// Called lists the services that this node has sent calls to.
func (no *Node) Called() []request.ServiceName {
	return no.edges.services()
}

// CallerHandler serves the calls of callers.
func (no *Node) CallerHandler() http.Handler {
	return no.serveSource(fromCaller)
}

// TargetHandler serves the calls of the local target.
func (no *Node) TargetHandler() http.Handler {
	return no.serveSource(fromTarget)
}

func (no *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	if listener == nil {
		return
	}
	served := &front{handler: handler, limits: no.limits, log: no.problem}
	group.Add(func() error {
		return served.Serve(listener)
	}, func(error) {
		_ = listener.Close()
		no.shutDown(served)
	})
}

// problem logs what went wrong where no call can be told.
func (no *Node) problem(problem string, err error) {
	if no.Logger != nil {
		no.Logger.Error().Err(err).Msg("node: " + problem)
	}
}

// limits gives what callers may send.
func (no *Node) limits() configuration.Limits {
	return no.Configuration.Current().Document.Limits
}

// shutDown lets the requests in flight end, for as long as the stop may take.
func (no *Node) shutDown(served *front) {
	ctx := context.Background()
	if by := no.stopBy.Load(); by != 0 {
		bounded, cancel := context.WithDeadline(ctx, time.Unix(0, by))
		defer cancel()
		ctx = bounded
	}
	served.Shutdown(ctx)
}

func (no *Node) addPeers(ctx context.Context, group *run.Group, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		if listener == nil {
			<-ctx.Done()
			return nil
		}
		return no.Transport.Serve(ctx, listener)
	}, func(error) {
		cancel()
		no.Target.Close()
	})
}

func (no *Node) addGate(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		no.tick(ctx)
		return nil
	}, func(error) { cancel() })
}

func (no *Node) addClaims(ctx context.Context, group *run.Group) {
	if no.claims == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	no.claims.ctx = ctx
	group.Add(func() error {
		no.claims.loop(ctx)
		return nil
	}, func(error) { cancel() })
}

func (no *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(gateInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			no.pulse.Beat(time.Now())
			no.follow()
			no.tend(now)
		case <-ctx.Done():
			return
		}
	}
}

// lags tells whether work waits so long for the processor that more would be late. A
// call that is turned away at once is sent elsewhere, or ends the work above it early.
func (no *Node) lags(now time.Time) bool {
	return no.MostLag > 0 && no.pulse.Lag(now) > no.MostLag
}

// tend moves the gate on, and tells of a change of its headroom.
func (no *Node) tend(now time.Time) {
	if before, after := no.traffic.tick(now); before.free != after.free {
		no.logHeadroom(before, after)
	}
}

// follow takes over what the configuration in force says of the local target.
func (no *Node) follow() {
	no.traffic.setSlots(no.slots())
	no.Target.SetConnections(no.ownService().Connections)
}

// ownService is what the configuration says of the local target's service.
func (no *Node) ownService() configuration.Service {
	return no.Configuration.Current().Document.Services[no.Local().Service]
}

// slots is how many calls the local target works on at once: what the
// configuration says, or else what it said itself.
func (no *Node) slots() int {
	return cmp.Or(no.ownService().Slots, no.Local().Slots)
}

func (no *Node) nextCall() request.CallID {
	return request.CallID(no.calls.Add(1))
}

func (no *Node) newRoot() request.RootID {
	id := request.RootID{}
	// An id is told apart, not kept secret: no system call for it.
	binary.BigEndian.PutUint64(id[:8], randv2.Uint64())
	binary.BigEndian.PutUint64(id[8:], randv2.Uint64())
	return id
}
