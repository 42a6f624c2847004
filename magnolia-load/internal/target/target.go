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
func (t *Target) Run(ctx context.Context) error {
	t.prepare()
	go t.sample(ctx)
	listener := t.Listener
	for {
		crashed, err := t.serve(ctx, listener)
		if err != nil || !crashed {
			return err
		}
		if listener, err = t.rebind(ctx); err != nil {
			return err
		}
	}
}

// Slow makes service times factor times longer from now on.
func (t *Target) Slow(factor float64) {
	t.slowness.Store(math.Float64bits(factor))
}

// Drain makes the target refuse new work and say so in its health.
func (t *Target) Drain() { t.draining.Store(true) }

// CloseIdle ends the connections to the node that carry no call.
func (t *Target) CloseIdle() { t.client.CloseIdleConnections() }

// Crashes counts the crashes.
func (t *Target) Crashes() int { return int(t.crashes.Load()) }

func (t *Target) prepare() {
	t.slots = semaphore.NewWeighted(int64(t.Slots))
	t.random = rand.New(rand.NewPCG(t.Seed, uint64(t.Slots)))
	if t.slowness.Load() == 0 {
		t.Slow(1)
	}
	if t.ConnectionCost == 0 {
		t.ConnectionCost = defaultConnectionCost
	}
	t.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: t.Slots,
		DisableCompression:  true,
	}}
}

// serve runs one life of the target and tells whether a crash ended it.
func (t *Target) serve(ctx context.Context, listener net.Listener) (crashed bool, err error) {
	server := &http.Server{Handler: t.routes()}
	t.mu.Lock()
	t.server = server
	t.mu.Unlock()
	t.started.Store(time.Now().UnixNano())
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&limitedListener{Listener: listener, limit: t.Connections, cost: t.ConnectionCost})
	}()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return true, nil
		}
		return false, oops.Wrapf(err, "the stand-in target of %s cannot serve", t.Service)
	case <-ctx.Done():
		return false, t.shutdown(server)
	}
}

func (t *Target) shutdown(server *http.Server) error {
	limit, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	t.client.CloseIdleConnections()
	return server.Shutdown(limit)
}

func (t *Target) rebind(ctx context.Context) (net.Listener, error) {
	address := t.Listener.Addr().String()
	sleep(ctx, t.Down)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !sleep(ctx, rebindInterval) {
			return nil, oops.Wrapf(err, "the stand-in target of %s cannot listen again", t.Service)
		}
	}
}

func (t *Target) crash() {
	t.crashes.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.server.Close()
}

// sample feeds the load report.
func (t *Target) sample(ctx context.Context) {
	for {
		load := t.load()
		t.mu.Lock()
		t.Report.Observe(time.Now(), load)
		t.mu.Unlock()
		if !sleep(ctx, sampleInterval) {
			return
		}
	}
}

func (t *Target) load() Load {
	return Load{
		InFlight: int(t.inFlight.Load()),
		Waiting:  int(t.waiting.Load()),
		Slots:    t.Slots,
		Draining: t.draining.Load(),
	}
}

func (t *Target) draw(timing Timing) time.Duration {
	t.mu.Lock()
	drawn := timing.Draw(t.random)
	t.mu.Unlock()
	age := time.Since(time.Unix(0, t.started.Load()))
	factor := math.Float64frombits(t.slowness.Load()) * t.Warmup.Slowness(age)
	return time.Duration(float64(drawn) * factor)
}

// sleep waits and tells whether the context still holds.
func sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
