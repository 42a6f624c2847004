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

// Runner sends the requests of a plan. Its exported fields are set before Run,
// which is called once.
type Runner struct {
	Plan Plan
	// Callers has one caller for each entry node.
	Callers []*Caller
	// KeyPrefix distinguishes the idempotency keys of runs that share records.
	KeyPrefix string
	// OnPhaseStart is called from another goroutine when a phase begins; it may be nil.
	OnPhaseStart func(Phase)

	startedAt time.Time
	mu        sync.Mutex
	samples   []Sample
}

// Run sends all requests, waits for the last answers and returns the samples in
// the order in which they ended. No request starts after the context ends.
func (runner *Runner) Run(ctx context.Context) []Sample {
	arrivals := runner.Plan.Arrivals()
	runner.startedAt = time.Now()
	var pending sync.WaitGroup
	stop := make(chan struct{})
	go runner.reportPhases(stop)
	for number, arrival := range arrivals {
		if !runner.waitUntil(ctx, arrival.At) {
			break
		}
		pending.Go(func() { runner.send(ctx, number, arrival) })
	}
	runner.waitUntil(ctx, runner.Plan.Duration())
	pending.Wait()
	close(stop)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.samples
}

// Samples returns a copy of the samples that have ended so far.
func (runner *Runner) Samples() []Sample {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return append([]Sample(nil), runner.samples...)
}

func (runner *Runner) waitUntil(ctx context.Context, moment time.Duration) bool {
	return wait.For(ctx, moment-time.Since(runner.startedAt))
}

func (runner *Runner) reportPhases(stop <-chan struct{}) {
	begin := time.Duration(0)
	for _, phase := range runner.Plan.Phases {
		timer := time.NewTimer(begin - time.Since(runner.startedAt))
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
		if runner.OnPhaseStart != nil {
			runner.OnPhaseStart(phase)
		}
		begin += phase.Duration
	}
}

// send makes the attempts of one request, each right after the one before failed.
func (runner *Runner) send(ctx context.Context, number int, arrival Arrival) {
	kind := runner.Plan.Kinds[arrival.KindIndex]
	key := request.IdempotencyKey(fmt.Sprintf("%s-%d-%d", runner.KeyPrefix, runner.Plan.Seed, number))
	sample := Sample{KindIndex: arrival.KindIndex, EntryIndex: arrival.EntryIndex % len(runner.Callers), Key: key, ArrivedAt: arrival.At}
	caller := runner.Callers[sample.EntryIndex]
	for number := range max(runner.Plan.MaxAttempts, 1) {
		attempt := Attempt{Name: target.AttemptName(fmt.Sprintf("%s-%d", key, number)), SentAt: time.Since(runner.startedAt)}
		reply := caller.Send(ctx, kind, key, attempt.Name)
		attempt.Result, attempt.Code, attempt.Outcome, attempt.Cut = reply.Result, reply.Code, reply.Outcome, reply.Cut
		attempt.EndedAt = time.Since(runner.startedAt)
		sample.Attempts = append(sample.Attempts, attempt)
		if attempt.Result == ResultWhole || ctx.Err() != nil {
			break
		}
	}
	sample.EndedAt = time.Since(runner.startedAt)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.samples = append(runner.samples, sample)
}

// classifyError returns the result for a transport error.
func classifyError(err error) AttemptResult {
	if errors.Is(err, context.DeadlineExceeded) {
		return ResultLate
	}
	return ResultBroken
}
