package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/answer"
)

// The headers between the load runner and the stand-in targets. Nodes pass
// them on as any other header.
const (
	// NonceHeader holds what the answer must begin with.
	NonceHeader = "Load-Nonce"
	// AttemptHeader holds the attempt that all work is counted to.
	AttemptHeader = "Load-Attempt"
	// CrashHeader marks a request that crashes each target that runs it.
	CrashHeader = "Load-Crash"
	// DeadlineHeader holds the time left for the answer, as in "800ms".
	DeadlineHeader = web.HeaderDeadline
	// KeyHeader holds the caller's name for an action that may not be repeated.
	KeyHeader = web.HeaderIdempotencyKey
	// TraceHeader ties a call to its root, as in W3C Trace Context.
	TraceHeader = web.HeaderTraceparent
)

// The paths on which a target tells of itself.
const (
	LoadPath   = "/load"
	HealthPath = "/health"
)

func (target *Target) routes() http.Handler {
	mux := http.NewServeMux()
	for _, behaviour := range target.Behaviours {
		mux.HandleFunc(behaviour.Pattern, func(writer http.ResponseWriter, call *http.Request) {
			target.handle(writer, call, behaviour)
		})
	}
	mux.HandleFunc("GET "+LoadPath, target.handleLoad)
	mux.HandleFunc("GET "+HealthPath, target.handleHealth)
	return mux
}

func (target *Target) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(target.reported())
}

func (target *Target) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	if target.reported().Draining {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (target *Target) reported() Load {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.Report.Read(time.Now())
}

func (target *Target) handle(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	target.inFlight.Add(1)
	defer target.inFlight.Add(-1)
	if target.draining.Load() {
		http.Error(writer, "the target is leaving", http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		http.Error(writer, "the body ended early", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(call)
	defer cancel()
	if !target.enter(ctx) {
		http.Error(writer, "the target is full", http.StatusServiceUnavailable)
		return
	}
	defer target.slots.Release(1)
	if call.Header.Get(CrashHeader) != "" {
		target.crash()
		return
	}
	target.run(ctx, writer, call, behaviour)
}

// enter waits for a slot and tells whether it got one.
func (target *Target) enter(ctx context.Context) bool {
	if target.slots.TryAcquire(1) {
		return true
	}
	waiting := target.waiting.Add(1)
	defer target.waiting.Add(-1)
	if target.MaxWaiting > 0 && int(waiting) > target.MaxWaiting {
		return false
	}
	return target.slots.Acquire(ctx, 1) == nil
}

// run works on a request in its slot: half of the service time, the calls to
// further services, and the other half.
func (target *Target) run(ctx context.Context, writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	attempt := AttemptName(call.Header.Get(AttemptHeader))
	target.Records.Called(attempt)
	if behaviour.Repeat == request.Once {
		target.Records.Ran(Action{Kind: behaviour.Kind, Key: request.IdempotencyKey(call.Header.Get(KeyHeader))})
	}
	if behaviour.Broken {
		panic(http.ErrAbortHandler)
	}
	service := target.draw(behaviour.Timing)
	if !target.work(ctx, attempt, service/2) {
		http.Error(writer, "cancelled", http.StatusServiceUnavailable)
		return
	}
	for _, next := range behaviour.Calls {
		if err := target.call(ctx, call, next); err != nil {
			http.Error(writer, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if !target.work(ctx, attempt, service-service/2) {
		http.Error(writer, "cancelled", http.StatusServiceUnavailable)
		return
	}
	target.reply(writer, call, behaviour)
}

func (target *Target) work(ctx context.Context, attempt AttemptName, length time.Duration) bool {
	begin := time.Now()
	done := wait.For(ctx, length)
	target.Records.Spent(attempt, time.Since(begin))
	return done
}

func (target *Target) reply(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	body := answer.Encode(nonceOf(call), behaviour.AnswerSize)
	writer.Header().Set("Content-Type", "text/plain")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

// call makes a call to a further service by way of the node and checks its
// whole answer.
func (target *Target) call(ctx context.Context, parent *http.Request, next Call) error {
	below, err := http.NewRequestWithContext(ctx, next.Method, "http://"+target.Outbound+next.Path, http.NoBody)
	if err != nil {
		return err
	}
	below.Host = string(next.Service)
	nonce := nonceOf(parent)
	below.Header.Set(NonceHeader, nonce)
	below.Header.Set(AttemptHeader, parent.Header.Get(AttemptHeader))
	below.Header.Set(TraceHeader, target.childOf(parent.Header.Get(TraceHeader)))
	if next.Repeat == request.Once {
		below.Header.Set(KeyHeader, parent.Header.Get(KeyHeader)+"/"+string(next.Service))
	}
	if deadline, ok := ctx.Deadline(); ok {
		below.Header.Set(DeadlineHeader, time.Until(deadline).String())
	}
	response, err := target.client.Do(below)
	if err != nil {
		return fmt.Errorf("call to %s: %w", next.Service, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("answer of %s: %w", next.Service, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d %s: %s", next.Service, response.StatusCode, response.Header.Get(web.HeaderCode), body)
	}
	return answer.Check(body, nonce)
}

// nonceOf gives the nonce of a call, or a fixed one for a call without.
func nonceOf(call *http.Request) string {
	if nonce := call.Header.Get(NonceHeader); nonce != "" {
		return nonce
	}
	return "-"
}

// childOf keeps the trace id and names a new parent, as a tracing client does.
func (target *Target) childOf(traceparent string) string {
	const traceEnd = len("00-") + 32
	if len(traceparent) < traceEnd {
		return traceparent
	}
	target.mu.Lock()
	span := target.random.Uint64() | 1
	target.mu.Unlock()
	return fmt.Sprintf("%s-%016x-01", traceparent[:traceEnd], span)
}

// withDeadline bounds the request's context by its deadline header.
func withDeadline(call *http.Request) (context.Context, context.CancelFunc) {
	left, err := time.ParseDuration(call.Header.Get(DeadlineHeader))
	if err != nil {
		return context.WithCancel(call.Context())
	}
	return context.WithTimeout(call.Context(), left)
}
