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

// Headers between callers and stand-in targets. Nodes forward them unchanged.
const (
	// NonceHeader holds the nonce that the answer must begin with.
	NonceHeader = "Load-Nonce"
	// AttemptHeader holds the name of the attempt to which all work is attributed.
	AttemptHeader = "Load-Attempt"
	// CrashHeader marks a request that crashes every target that runs it.
	CrashHeader = "Load-Crash"
	// DeadlineHeader holds the time left for the answer as a Go duration, as in
	// "800ms".
	DeadlineHeader = web.HeaderDeadline
	// KeyHeader holds the idempotency key of an action that may not be repeated.
	KeyHeader = web.HeaderIdempotencyKey
	// TraceHeader holds the W3C Trace Context that ties a call to its root request.
	TraceHeader = web.HeaderTraceparent
)

// Paths of a target's load report and health check.
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
	_ = json.NewEncoder(writer).Encode(target.currentReport())
}

func (target *Target) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	if target.currentReport().Draining {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (target *Target) currentReport() Load {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.LoadReport.Read(time.Now())
}

func (target *Target) handle(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	target.inFlight.Add(1)
	defer target.inFlight.Add(-1)
	defer target.stateLimit(writer)()
	if target.draining.Load() {
		http.Error(writer, "the target is draining", http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, call.Body); err != nil {
		http.Error(writer, "the request body is incomplete", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(call)
	defer cancel()
	if !target.acquireSlot(ctx) {
		http.Error(writer, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer target.slots.Release(1)
	if call.Header.Get(CrashHeader) != "" {
		target.crash()
		return
	}
	target.process(ctx, writer, call, behaviour)
}

// acquireSlot waits for a slot and reports whether it got one.
func (target *Target) acquireSlot(ctx context.Context) bool {
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

// process handles a request in its slot: half of the service time, the calls to
// further services, and the other half.
func (target *Target) process(ctx context.Context, writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	attempt := AttemptName(call.Header.Get(AttemptHeader))
	target.Records.RecordCall(attempt)
	if target.Records.WatchesCustomers() {
		target.Records.RecordCustomer(CustomerArrival{
			Attempt: attempt, At: time.Now(), Customer: request.CustomerName(call.Header.Get(web.HeaderCustomer)), HasKey: call.Header.Get(web.HeaderCustomerKey) != "",
		})
	}
	if behaviour.Repeat == request.Once {
		target.Records.RecordRun(Action{Kind: behaviour.Kind, Key: request.IdempotencyKey(call.Header.Get(KeyHeader))})
	}
	if behaviour.DropConnections {
		panic(http.ErrAbortHandler)
	}
	serviceTime := target.sampleServiceTime(behaviour.ServiceTime)
	if !target.spendServiceTime(ctx, attempt, serviceTime/2) {
		http.Error(writer, "the request was cancelled", http.StatusServiceUnavailable)
		return
	}
	for _, next := range behaviour.Calls {
		if err := target.callService(ctx, call, next); err != nil {
			http.Error(writer, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if !target.spendServiceTime(ctx, attempt, serviceTime-serviceTime/2) {
		http.Error(writer, "the request was cancelled", http.StatusServiceUnavailable)
		return
	}
	target.reply(writer, call, behaviour)
}

func (target *Target) spendServiceTime(ctx context.Context, attempt AttemptName, duration time.Duration) bool {
	begin := time.Now()
	done := wait.For(ctx, duration)
	target.Records.RecordWork(attempt, time.Since(begin))
	return done
}

func (target *Target) reply(writer http.ResponseWriter, call *http.Request, behaviour Behaviour) {
	body := answer.Encode(nonceOf(call), behaviour.AnswerBytes)
	writer.Header().Set("Content-Type", "text/plain")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

// callService calls a further service through the node and checks the complete
// answer.
func (target *Target) callService(ctx context.Context, parent *http.Request, next Call) error {
	outgoing, err := http.NewRequestWithContext(ctx, next.Method, "http://"+target.OutboundAddress+next.Path, http.NoBody)
	if err != nil {
		return err
	}
	outgoing.Host = string(next.Service)
	nonce := nonceOf(parent)
	outgoing.Header.Set(NonceHeader, nonce)
	outgoing.Header.Set(AttemptHeader, parent.Header.Get(AttemptHeader))
	outgoing.Header.Set(TraceHeader, target.childTraceparent(parent.Header.Get(TraceHeader)))
	if next.Repeat == request.Once {
		outgoing.Header.Set(KeyHeader, parent.Header.Get(KeyHeader)+"/"+string(next.Service))
	}
	if deadline, ok := ctx.Deadline(); ok {
		outgoing.Header.Set(DeadlineHeader, time.Until(deadline).String())
	}
	response, err := target.client.Do(outgoing)
	if err != nil {
		return fmt.Errorf("calling %s: %w", next.Service, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", next.Service, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d %s: %s", next.Service, response.StatusCode, response.Header.Get(web.HeaderCode), body)
	}
	return answer.Check(body, nonce)
}

// nonceOf returns the nonce of a call, or "-" for a call without one.
func nonceOf(call *http.Request) string {
	if nonce := call.Header.Get(NonceHeader); nonce != "" {
		return nonce
	}
	return "-"
}

// childTraceparent keeps the trace id and sets a new parent id, as a tracing
// client does.
func (target *Target) childTraceparent(traceparent string) string {
	const traceIDEnd = len("00-") + 32
	if len(traceparent) < traceIDEnd {
		return traceparent
	}
	target.mu.Lock()
	span := target.random.Uint64() | 1
	target.mu.Unlock()
	return fmt.Sprintf("%s-%016x-01", traceparent[:traceIDEnd], span)
}

// withDeadline bounds the context of a request by its deadline header.
func withDeadline(call *http.Request) (context.Context, context.CancelFunc) {
	timeLeft, err := time.ParseDuration(call.Header.Get(DeadlineHeader))
	if err != nil {
		return context.WithCancel(call.Context())
	}
	return context.WithTimeout(call.Context(), timeLeft)
}
