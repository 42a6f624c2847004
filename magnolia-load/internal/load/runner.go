package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
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
func (r *Runner) Run(ctx context.Context) []Sample {
	arrivals := r.Plan.Arrivals()
	r.start = time.Now()
	var open sync.WaitGroup
	stop := make(chan struct{})
	go r.announce(stop)
	for number, arrival := range arrivals {
		if !r.waitUntil(ctx, arrival.At) {
			break
		}
		open.Go(func() { r.send(ctx, number, arrival) })
	}
	r.waitUntil(ctx, r.Plan.Length())
	open.Wait()
	close(stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.samples
}

// Samples gives a copy of what ended so far.
func (r *Runner) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Sample(nil), r.samples...)
}

func (r *Runner) waitUntil(ctx context.Context, moment time.Duration) bool {
	timer := time.NewTimer(moment - time.Since(r.start))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) announce(stop <-chan struct{}) {
	begin := time.Duration(0)
	for _, phase := range r.Plan.Phases {
		timer := time.NewTimer(begin - time.Since(r.start))
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
		if r.Reached != nil {
			r.Reached(phase)
		}
		begin += phase.Length
	}
}

// send makes the attempts of one request, each right after the last failed.
func (r *Runner) send(ctx context.Context, number int, arrival Arrival) {
	kind := r.Plan.Kinds[arrival.Kind]
	key := request.IdempotencyKey(fmt.Sprintf("%s-%d-%d", r.Label, r.Plan.Seed, number))
	sample := Sample{Kind: arrival.Kind, Key: key, Arrived: arrival.At}
	caller := r.Callers[arrival.Entry%len(r.Callers)]
	for count := range max(r.Plan.Attempts, 1) {
		attempt := Attempt{Name: target.AttemptName(fmt.Sprintf("%s-%d", key, count)), Sent: time.Since(r.start)}
		reply := caller.Send(ctx, kind, key, attempt.Name)
		attempt.Result, attempt.Code, attempt.Outcome = reply.Result, reply.Code, reply.Outcome
		attempt.Ended = time.Since(r.start)
		sample.Attempts = append(sample.Attempts, attempt)
		if attempt.Result == Whole || ctx.Err() != nil {
			break
		}
	}
	sample.Ended = time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
}

// resultOf sorts a transport error.
func resultOf(err error) Result {
	if errors.Is(err, context.DeadlineExceeded) {
		return Late
	}
	return Broken
}
