// Package target is a stand-in target: a small HTTP server that behaves as the
// targets of the brief do, for measurements and the demo.
//
// It has slots, a limit and a cost of connections, seeded service times, a
// cold start, a drain, a load report that lags or lies, calls to further
// services by way of its node, and it crashes on a marked request. It accepts
// cancellation and deadlines. What it ran it notes in [Records].
//
// # Usage
//
//	stand := &target.Target{
//		Service:    "consumo",
//		Listener:   listener,
//		Slots:      10,
//		Behaviours: behaviours,
//		Records:    target.NewRecords(),
//	}
//	err := stand.Run(ctx)
package target

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/semaphore"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	defaultConnectionCost = time.Millisecond
	sampleInterval        = 20 * time.Millisecond
	shutdownLimit         = 30 * time.Second
	rebindInterval        = 10 * time.Millisecond
)

// Behaviour is how a target answers one kind of request.
type Behaviour struct {
	// Kind names the kind in the records.
	Kind request.KindName
	// Pattern is the method and path in the form of http.ServeMux.
	Pattern string
	Repeat  request.RepeatRule
	Timing  Timing
	// AnswerSize is the length of the answer's payload in bytes.
	AnswerSize int
	// Broken drops the connection of every request in place of an answer.
	Broken bool
	// Calls are made one after the other in the middle of the service time.
	Calls []Call
}

// Call is a call to a further service.
type Call struct {
	Service request.ServiceName
	Method  string
	Path    string
	Repeat  request.RepeatRule
}

// Target is one instance of a service. Its exported fields are set before Run.
type Target struct {
	Service  request.ServiceName
	Listener net.Listener
	// Outbound is the address of the node's outbound side.
	Outbound string
	Slots    int
	// MaxWaiting is how many requests wait for a slot before the target sheds
	// load; zero means as many as there are connections.
	MaxWaiting int
	// Connections is the connection limit; zero means none.
	Connections int
	// ConnectionCost is the time a new connection takes; zero means 1 ms.
	ConnectionCost time.Duration
	Warmup         Warmup
	// Down is the time from a crash to the next start.
	Down       time.Duration
	Report     Report
	Behaviours []Behaviour
	Records    *Records
	Seed       uint64

	slots    *semaphore.Weighted
	client   *http.Client
	inFlight atomic.Int64
	waiting  atomic.Int64
	draining atomic.Bool
	crashes  atomic.Int64
	slowness atomic.Uint64
	started  atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	server *http.Server
}

// Run serves until the context ends and then finishes what is in flight. A
// crash closes all connections at once; the target starts again, cold, after
// Down.
func (target *Target) Run(ctx context.Context) error {
	target.prepare()
	go target.sample(ctx)
	listener := target.Listener
	for {
		crashed, err := target.serve(ctx, listener)
		if err != nil || !crashed {
			return err
		}
		if listener, err = target.rebind(ctx); err != nil {
			return err
		}
	}
}

// Slow makes service times factor times longer from now on.
func (target *Target) Slow(factor float64) {
	target.slowness.Store(math.Float64bits(factor))
}

// Drain makes the target refuse new work and say so in its health.
func (target *Target) Drain() { target.draining.Store(true) }

// CloseIdle ends the connections to the node that carry no call.
func (target *Target) CloseIdle() { target.client.CloseIdleConnections() }

// Crashes counts the crashes.
func (target *Target) Crashes() int { return int(target.crashes.Load()) }

func (target *Target) prepare() {
	target.slots = semaphore.NewWeighted(int64(target.Slots))
	target.random = rand.New(rand.NewPCG(target.Seed, uint64(target.Slots)))
	if target.slowness.Load() == 0 {
		target.Slow(1)
	}
	if target.ConnectionCost == 0 {
		target.ConnectionCost = defaultConnectionCost
	}
	target.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: target.Slots,
		DisableCompression:  true,
	}}
}

// serve runs one life of the target and tells whether a crash ended it.
func (target *Target) serve(ctx context.Context, listener net.Listener) (crashed bool, err error) {
	server := &http.Server{Handler: target.routes()}
	target.mu.Lock()
	target.server = server
	target.mu.Unlock()
	target.started.Store(time.Now().UnixNano())
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&limitedListener{Listener: listener, limit: target.Connections, cost: target.ConnectionCost})
	}()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return true, nil
		}
		return false, oops.Wrapf(err, "the stand-in target of %s cannot serve", target.Service)
	case <-ctx.Done():
		return false, target.shutdown(server)
	}
}

func (target *Target) shutdown(server *http.Server) error {
	limit, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	target.client.CloseIdleConnections()
	return server.Shutdown(limit)
}

func (target *Target) rebind(ctx context.Context) (net.Listener, error) {
	address := target.Listener.Addr().String()
	wait.For(ctx, target.Down)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !wait.For(ctx, rebindInterval) {
			return nil, oops.Wrapf(err, "the stand-in target of %s cannot listen again", target.Service)
		}
	}
}

func (target *Target) crash() {
	target.crashes.Add(1)
	target.mu.Lock()
	defer target.mu.Unlock()
	_ = target.server.Close()
}

// sample feeds the load report.
func (target *Target) sample(ctx context.Context) {
	for {
		load := target.load()
		target.mu.Lock()
		target.Report.Observe(time.Now(), load)
		target.mu.Unlock()
		if !wait.For(ctx, sampleInterval) {
			return
		}
	}
}

func (target *Target) load() Load {
	return Load{
		InFlight: int(target.inFlight.Load()),
		Waiting:  int(target.waiting.Load()),
		Slots:    target.Slots,
		Draining: target.draining.Load(),
	}
}

func (target *Target) draw(timing Timing) time.Duration {
	target.mu.Lock()
	drawn := timing.Draw(target.random)
	target.mu.Unlock()
	age := time.Since(time.Unix(0, target.started.Load()))
	factor := math.Float64frombits(target.slowness.Load()) * target.Warmup.Slowness(age)
	return time.Duration(float64(drawn) * factor)
}
