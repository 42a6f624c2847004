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

func (t *Target) routes() http.Handler {
	mux := http.NewServeMux()
	for _, behaviour := range t.Behaviours {
		mux.HandleFunc(behaviour.Pattern, func(writer http.ResponseWriter, call *http.Request) {
			t.handle(writer, call, behaviour)
		})
	}
	mux.HandleFunc("GET "+LoadPath, t.handleLoad)
	mux.HandleFunc("GET "+HealthPath, t.handleHealth)
	return mux
}

func (t *Target) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(t.reported())
}

func (t *Target) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	if t.reported().Draining {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (t *Target) reported() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Report.Read(time.Now())
}

func (t *Target) handle(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if t.draining.Load() {
		http.Error(writer, "the target is leaving", http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		http.Error(writer, "the body ended early", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(call)
	defer cancel()
	if !t.enter(ctx) {
		http.Error(writer, "the target is full", http.StatusServiceUnavailable)
		return
	}
	defer t.slots.Release(1)
	if call.Header.Get(CrashHeader) != "" {
		t.crash()
		return
	}
	t.run(ctx, writer, call, behaviour)
}

// enter waits for a slot and tells whether it got one.
func (t *Target) enter(ctx context.Context) bool {
	if t.slots.TryAcquire(1) {
		return true
	}
	waiting := t.waiting.Add(1)
	defer t.waiting.Add(-1)
	if t.MaxWaiting > 0 && int(waiting) > t.MaxWaiting {
		return false
	}
	return t.slots.Acquire(ctx, 1) == nil
}

// run works on a request in its slot: half of the service time, the calls to
// further services, and the other half.
func (t *Target) run(ctx context.Context, writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	attempt := AttemptName(call.Header.Get(AttemptHeader))
	t.Records.Called(attempt)
	if behaviour.Repeat == request.Once {
		t.Records.Ran(Action{Kind: behaviour.Kind, Key: request.IdempotencyKey(call.Header.Get(KeyHeader))})
	}
	if behaviour.Broken {
		panic(http.ErrAbortHandler)
	}
	service := t.draw(behaviour.Timing)
	if !t.work(ctx, attempt, service/2) {
		http.Error(writer, "cancelled", http.StatusServiceUnavailable)
		return
	}
	for _, next := range behaviour.Calls {
		if err := t.call(ctx, call, next); err != nil {
			http.Error(writer, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if !t.work(ctx, attempt, service-service/2) {
		http.Error(writer, "cancelled", http.StatusServiceUnavailable)
		return
	}
	t.reply(writer, call, behaviour)
}

func (t *Target) work(ctx context.Context, attempt AttemptName, length time.Duration) bool {
	begin := time.Now()
	done := sleep(ctx, length)
	t.Records.Spent(attempt, time.Since(begin))
	return done
}

func (t *Target) reply(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	body := answer.Encode(nonceOf(call), behaviour.AnswerSize)
	writer.Header().Set("Content-Type", "text/plain")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

// call makes a call to a further service by way of the node and checks its
// whole answer.
func (t *Target) call(ctx context.Context, parent *http.Request, next Call) error {
	below, err := http.NewRequestWithContext(ctx, next.Method, "http://"+t.Outbound+next.Path, http.NoBody)
	if err != nil {
		return err
	}
	below.Host = string(next.Service)
	nonce := nonceOf(parent)
	below.Header.Set(NonceHeader, nonce)
	below.Header.Set(AttemptHeader, parent.Header.Get(AttemptHeader))
	below.Header.Set(TraceHeader, t.childOf(parent.Header.Get(TraceHeader)))
	if next.Repeat == request.Once {
		below.Header.Set(KeyHeader, parent.Header.Get(KeyHeader)+"/"+string(next.Service))
	}
	if deadline, ok := ctx.Deadline(); ok {
		below.Header.Set(DeadlineHeader, time.Until(deadline).String())
	}
	response, err := t.client.Do(below)
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
func (t *Target) childOf(traceparent string) string {
	const traceEnd = len("00-") + 32
	if len(traceparent) < traceEnd {
		return traceparent
	}
	t.mu.Lock()
	span := t.random.Uint64() | 1
	t.mu.Unlock()
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
