// Package target implements a stand-in target: a small HTTP server that behaves
// like an instance of a service, for measurements and the demo.
//
// It has slots, a connection limit and a cost for each new connection, seeded
// service times, a cold start, draining, a load report that can be delayed or
// wrong, calls to further services through its node, and it crashes on a marked
// request. It honours cancellation and deadlines. It counts what it ran in
// [Records].
//
// While Run is active, the other methods of a [Target] may be called concurrently.
//
// # Usage
//
//	instance := &target.Target{
//		Service:    "consumo",
//		Listener:   listener,
//		Slots:      10,
//		Behaviours: behaviours,
//		Records:    target.NewRecords(),
//	}
//	err := instance.Run(ctx)
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
	loadSampleInterval    = 20 * time.Millisecond
	shutdownTimeout       = 30 * time.Second
	rebindInterval        = 10 * time.Millisecond
)

// Behaviour describes how a target answers one kind of request.
type Behaviour struct {
	// Kind is the name of the kind in the records.
	Kind request.KindName
	// Pattern is the method and path, as a pattern of http.ServeMux.
	Pattern     string
	Repeat      request.RepeatRule
	ServiceTime ServiceTime
	// AnswerBytes is the length of the answer's payload.
	AnswerBytes int
	// DropConnections closes the connection of every request instead of answering.
	DropConnections bool
	// Calls are made one after the other after half of the service time.
	Calls []Call
}

// Call describes a call to a further service.
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
	// OutboundAddress is where the node accepts the target's own calls.
	OutboundAddress string
	Slots           int
	// MaxWaiting is how many requests may wait for a slot before the target sheds
	// load; zero means no limit besides MaxConnections.
	MaxWaiting int
	// MaxConnections limits open connections; zero means no limit.
	MaxConnections int
	// ConnectionCost is the time to accept a new connection; zero means 1 ms.
	ConnectionCost time.Duration
	Warmup         Warmup
	// RestartDelay is the time from a crash to the next start.
	RestartDelay time.Duration
	LoadReport   LoadReport
	Behaviours   []Behaviour
	Records      *Records
	Seed         uint64

	slots             *semaphore.Weighted
	client            *http.Client
	inFlight          atomic.Int64
	waiting           atomic.Int64
	draining          atomic.Bool
	crashes           atomic.Int64
	slowdown          atomic.Uint64
	startedAtUnixNano atomic.Int64
	rate              rateLimit

	mu     sync.Mutex
	random *rand.Rand
	server *http.Server
}

// Run serves until the context ends and then completes the requests in flight. A
// crash closes all connections at once; after RestartDelay the target starts
// again, cold.
func (target *Target) Run(ctx context.Context) error {
	target.prepare()
	go target.sampleLoad(ctx)
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

// SetSlowdown multiplies service times by a factor from now on.
func (target *Target) SetSlowdown(factor float64) {
	target.slowdown.Store(math.Float64bits(factor))
}

// Drain makes the target refuse new requests and fail its health check.
func (target *Target) Drain() { target.draining.Store(true) }

// CloseIdleConnections closes the idle connections to the node.
func (target *Target) CloseIdleConnections() { target.client.CloseIdleConnections() }

// Crashes returns the number of crashes.
func (target *Target) Crashes() int { return int(target.crashes.Load()) }

func (target *Target) prepare() {
	target.slots = semaphore.NewWeighted(int64(target.Slots))
	target.random = rand.New(rand.NewPCG(target.Seed, uint64(target.Slots)))
	if target.slowdown.Load() == 0 {
		target.SetSlowdown(1)
	}
	if target.ConnectionCost == 0 {
		target.ConnectionCost = defaultConnectionCost
	}
	target.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: target.Slots,
		DisableCompression:  true,
	}}
}

// serve runs the server until a crash or the end of the context, and reports
// whether it crashed.
func (target *Target) serve(ctx context.Context, listener net.Listener) (crashed bool, err error) {
	server := &http.Server{Handler: target.routes()}
	target.mu.Lock()
	target.server = server
	target.mu.Unlock()
	target.startedAtUnixNano.Store(time.Now().UnixNano())
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&limitedListener{Listener: listener, maxConnections: target.MaxConnections, connectionCost: target.ConnectionCost})
	}()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return true, nil
		}
		return false, oops.Wrapf(err, "serving the stand-in target of %s", target.Service)
	case <-ctx.Done():
		return false, target.shutdown(server)
	}
}

func (target *Target) shutdown(server *http.Server) error {
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	target.client.CloseIdleConnections()
	return server.Shutdown(shutdownCtx)
}

func (target *Target) rebind(ctx context.Context) (net.Listener, error) {
	address := target.Listener.Addr().String()
	wait.For(ctx, target.RestartDelay)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !wait.For(ctx, rebindInterval) {
			return nil, oops.Wrapf(err, "listening again for the stand-in target of %s", target.Service)
		}
	}
}

func (target *Target) crash() {
	target.crashes.Add(1)
	target.mu.Lock()
	defer target.mu.Unlock()
	_ = target.server.Close()
}

// sampleLoad passes the current load to the load report at regular intervals.
func (target *Target) sampleLoad(ctx context.Context) {
	for {
		load := target.currentLoad()
		target.mu.Lock()
		target.LoadReport.Observe(time.Now(), load)
		target.mu.Unlock()
		if !wait.For(ctx, loadSampleInterval) {
			return
		}
	}
}

func (target *Target) currentLoad() Load {
	return Load{
		InFlight: int(target.inFlight.Load()),
		Waiting:  int(target.waiting.Load()),
		Slots:    target.Slots,
		Draining: target.draining.Load(),
	}
}

func (target *Target) sampleServiceTime(serviceTime ServiceTime) time.Duration {
	target.mu.Lock()
	sampled := serviceTime.Sample(target.random)
	target.mu.Unlock()
	age := time.Since(time.Unix(0, target.startedAtUnixNano.Load()))
	factor := math.Float64frombits(target.slowdown.Load()) * target.Warmup.Slowdown(age)
	return time.Duration(float64(sampled) * factor)
}
