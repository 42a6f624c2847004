package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// Runner sends the requests of a plan. Its exported fields are set before Run.
type Runner struct {
	Plan Plan
	// Callers send from the places of the entry nodes, one for each entry.
	Callers []*Caller
	// Label keeps apart the attempts of runs that share records.
	Label string
	// Reached is told when a phase begins; it may be nil.
	Reached func(Phase)

	start   time.Time
	mu      sync.Mutex
	samples []Sample
}

// Run sends all requests, waits for the last answers and gives the samples in
// the order in which they ended. A context that ends stops new arrivals.
func (runner *Runner) Run(ctx context.Context) []Sample {
	arrivals := runner.Plan.Arrivals()
	runner.start = time.Now()
	var open sync.WaitGroup
	stop := make(chan struct{})
	go runner.announce(stop)
	for number, arrival := range arrivals {
		if !runner.waitUntil(ctx, arrival.At) {
			break
		}
		open.Go(func() { runner.send(ctx, number, arrival) })
	}
	runner.waitUntil(ctx, runner.Plan.Length())
	open.Wait()
	close(stop)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.samples
}

// Samples gives a copy of what ended so far.
func (runner *Runner) Samples() []Sample {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return append([]Sample(nil), runner.samples...)
}

func (runner *Runner) waitUntil(ctx context.Context, moment time.Duration) bool {
	return wait.For(ctx, moment-time.Since(runner.start))
}

func (runner *Runner) announce(stop <-chan struct{}) {
	begin := time.Duration(0)
	for _, phase := range runner.Plan.Phases {
		timer := time.NewTimer(begin - time.Since(runner.start))
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
		if runner.Reached != nil {
			runner.Reached(phase)
		}
		begin += phase.Length
	}
}

// send makes the attempts of one request, each right after the last failed.
func (runner *Runner) send(ctx context.Context, number int, arrival Arrival) {
	kind := runner.Plan.Kinds[arrival.Kind]
	key := request.IdempotencyKey(fmt.Sprintf("%s-%d-%d", runner.Label, runner.Plan.Seed, number))
	sample := Sample{Kind: arrival.Kind, Key: key, Arrived: arrival.At}
	caller := runner.Callers[arrival.Entry%len(runner.Callers)]
	for count := range max(runner.Plan.Attempts, 1) {
		attempt := Attempt{Name: target.AttemptName(fmt.Sprintf("%s-%d", key, count)), Sent: time.Since(runner.start)}
		reply := caller.Send(ctx, kind, key, attempt.Name)
		attempt.Result, attempt.Code, attempt.Outcome = reply.Result, reply.Code, reply.Outcome
		attempt.Ended = time.Since(runner.start)
		sample.Attempts = append(sample.Attempts, attempt)
		if attempt.Result == Whole || ctx.Err() != nil {
			break
		}
	}
	sample.Ended = time.Since(runner.start)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.samples = append(runner.samples, sample)
}

// resultOf sorts a transport error.
func resultOf(err error) Result {
	if errors.Is(err, context.DeadlineExceeded) {
		return Late
	}
	return Broken
}
