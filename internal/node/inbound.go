package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// loadUnit is the load of a target that is just full, as peers report it.
const loadUnit = 1000

// arrival is a call from a peer for the local target.
type arrival struct {
	node    *Node
	inbound *peer.Inbound
	kind    *configuration.CompiledKind
	local   LocalTarget
	// objective is the time within which the answer is worth most, or zero.
	objective time.Duration
	work      request.Work
	root      *root
	// fingerprint names the request where it crashes targets.
	fingerprint request.Fingerprint
	unspent     retry.Allowance
	left        bool
	// onceBody is the body of a call that may not be repeated.
	onceBody []byte
}

// serveCall serves one call of a peer.
func (no *Node) serveCall(ctx context.Context, inbound *peer.Inbound) {
	now := time.Now()
	no.counters.inbound.Inc()
	ar, refusal := no.arrive(inbound, now)
	if refusal != nil {
		ar.refuse(refusal)
		return
	}
	if code := no.Drain.Enter(drain.Ticket(ar.work.Call)); code != request.OK {
		ar.refuse(web.NewRefusal(code, ""))
		return
	}
	defer no.Drain.Leave(drain.Ticket(ar.work.Call))
	ctx, cancel := context.WithDeadline(ctx, ar.work.Deadline)
	defer cancel()
	ar.root = no.roots.enter(ar.work, inbound.Header.GetDepth(), retry.Allowance(inbound.Header.GetAllowance()), now)
	defer ar.leave()
	if ar.kind.Repeat == request.Once && !ar.kind.Unkeyed {
		ar.serveOnce(ctx)
		return
	}
	ar.serveRepeatable(ctx)
}

func (no *Node) arrive(inbound *peer.Inbound, now time.Time) (*arrival, *web.Refusal) {
	header := inbound.Header
	no.hear(configuration.Version(header.GetConfigurationVersion()))
	ar := &arrival{node: no, inbound: inbound, unspent: retry.Allowance(header.GetAllowance())}
	local := no.Local()
	if request.ServiceName(header.GetService()) != local.Service {
		return ar, web.NewRefusal(request.TargetUnreachable, "this node has no target of "+header.GetService())
	}
	current := no.Configuration.Current()
	if current.Version == 0 {
		return ar, web.NewRefusal(request.NotReady, "")
	}
	if !local.Serving {
		return ar, web.NewRefusal(request.Draining, "the target has not announced itself, or leaves")
	}
	if no.lags(now) {
		return ar, web.NewRefusal(request.Overloaded, "work at this node waits too long for the processor")
	}
	kind, ok := kindOf(current.Matcher, header)
	if !ok {
		return ar, web.NewRefusal(request.UnknownKind, header.GetKind())
	}
	ar.kind, ar.local = kind, local
	ar.objective = time.Duration(header.GetObjectiveUs()) * time.Microsecond
	if kind.Routed {
		no.doors.arrive(kind.Name, request.ServiceName(header.GetCallerService()))
	}
	ar.work = request.Work{
		Call:     no.nextCall(),
		RootKind: request.KindName(header.GetRootKind()),
		Kind:     kind.Name,
		Priority: request.Priority(min(header.GetPriority(), uint32(request.MaxPriority))),
		Spent:    time.Duration(header.GetSpentUs()) * time.Microsecond,
		Deadline: now.Add(time.Duration(header.GetRemainingUs()) * time.Microsecond),
		Patience: time.Duration(header.GetPatienceUs()) * time.Microsecond,
	}
	copy(ar.work.Root[:], header.GetRoot())
	ar.fingerprint = request.Fingerprint(header.GetFingerprint())
	return ar, nil
}

// kindOf gives the terms of a call: those of its kind, or for a call that a
// route matched, those that came with it, so that nodes at different versions
// agree on them.
func kindOf(matcher *configuration.Matcher, header *peerpb.CallHeader) (*configuration.CompiledKind, bool) {
	if !header.GetRouted() {
		return matcher.Kind(request.KindName(header.GetKind()))
	}
	kind := &configuration.CompiledKind{
		Name:    request.KindName(header.GetKind()),
		Service: request.ServiceName(header.GetService()),
		Routed:  true,
		Unkeyed: header.GetUnkeyed(),
	}
	if header.GetUnkeyed() {
		kind.Repeat = request.Once
	}
	return kind, true
}

// leave ends the root's call here, once.
func (ar *arrival) leave() {
	if ar.left || ar.root == nil {
		return
	}
	ar.left = true
	ar.unspent = ar.node.roots.leave(ar.root)
}

// report is what goes back with each answer.
func (ar *arrival) report() *peerpb.Report {
	ar.leave()
	current := ar.node.traffic.gauge(time.Now(), ar.work.RootKind)
	report := &peerpb.Report{
		Level:      uint32(current.level.Level),
		LevelAgeUs: current.level.Age.Microseconds(),
		Load:       uint32((current.running + current.waiting) * loadUnit / max(current.limit, 1)),
		Unspent:    uint32(ar.unspent),
		Draining:   ar.node.draining(),
		LagUs:      ar.node.pulse.Lag(time.Now()).Microseconds(),

		ConfigurationVersion: uint64(ar.node.Configuration.Current().Version),
	}
	if ar.kind != nil && ar.kind.Routed {
		ar.node.doors.tell(time.Now(), ar.kind.Name, report)
	}
	return report
}

func (ar *arrival) refuse(refusal *web.Refusal) {
	count(ar.node.counters.below, refusal.Code)
	ar.logRefusal(refusal)
	header := &peerpb.AnswerHeader{
		Status:       uint32(request.Describe(refusal.Code).Status),
		Code:         uint32(refusal.Code),
		Outcome:      uint32(refusal.Outcome),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Claimed:      refusal.Claimed,
		Handed:       refusal.Handed,
	}
	_ = ar.inbound.Answer(header, nil, ar.report)
}

func (ar *arrival) serveRepeatable(ctx context.Context) {
	if refusal := ar.admitAll(ctx); refusal != nil {
		ar.refuse(refusal)
		return
	}
	ar.finishSuspect(ar.run(ctx))
}

// admitAll asks the gate and, for a place at the target, the guard. The call is
// in flight at the target only after both.
func (ar *arrival) admitAll(ctx context.Context) *web.Refusal {
	if refusal := ar.admit(ctx); refusal != nil {
		return refusal
	}
	refusal := ar.admitSuspect(ctx)
	if refusal != nil {
		ar.node.traffic.cancel(time.Now(), ar.work.Call)
	}
	return refusal
}

// admit waits for the gate's consent.
func (ar *arrival) admit(ctx context.Context) *web.Refusal {
	traffic := ar.node.traffic
	decision, wake := traffic.arrive(time.Now(), ar.work)
	if decision.Verdict == admission.Wait {
		select {
		case decision = <-wake:
		case <-ctx.Done():
			traffic.cancel(time.Now(), ar.work.Call)
			return leftRefusal(ctx)
		}
	}
	if decision.Verdict == admission.Admit {
		return nil
	}
	refusal := web.NewRefusal(decision.Code, "")
	if decision.RetryAfter > 0 {
		refusal.RetryAfter = decision.RetryAfter
	}
	return refusal
}

// leftRefusal names why a call ended before it was handed to the target.
func leftRefusal(ctx context.Context) *web.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return web.NewRefusal(request.DeadlineTooClose, "")
	}
	return web.NewRefusal(request.CallerLeft, "")
}

// run hands the admitted call to the target and passes its answer on. It tells
// whether the target answered as a whole.
func (ar *arrival) run(ctx context.Context) bool {
	visit := ar.begin(ar.root)
	entry := ar.node.served.Enter(ar.work.Deadline, &served{id: ar.inbound.Header.GetRequestId(), work: ar.work, root: ar.root, begun: visit.started})
	defer ar.node.served.Leave(entry)
	response, err := ar.node.Target.Send(ctx, ar.targetCall())
	if err != nil {
		visit.end(admission.Failed)
		ar.refuse(ar.targetFailure(ctx, err))
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if refusal := ar.declined(response); refusal != nil {
		visit.end(admission.Shed)
		ar.refuse(refusal)
		return true
	}
	if refusal := ar.root.refusedBelow(response.StatusCode); refusal != nil && !ar.kind.Routed {
		visit.end(admission.Failed)
		ar.refuse(refusal)
		return true
	}
	header := &peerpb.AnswerHeader{
		Status:     uint32(response.StatusCode),
		Headers:    web.EncodeHeaders(response.Header),
		BodyLength: response.ContentLength,
	}
	report := func() *peerpb.Report {
		visit.end(resultOf(response))
		report := ar.report()
		if resultOf(response) == admission.Succeeded {
			// How soon a target fails says nothing of its speed.
			report.OwnUs = visit.own.Microseconds()
		}
		return report
	}
	took := time.Since(visit.started)
	ar.logAnswer(response.StatusCode, took)
	if ar.kind.Routed {
		ar.node.doors.ended(time.Now(), ar.kind.Name, response.StatusCode, ar.objective > 0 && took > ar.objective)
	}
	err = ar.inbound.Answer(header, response.Body, report)
	visit.end(admission.Failed)
	if err != nil {
		ar.logCut(err)
	}
	return err == nil
}

// maxDeclined is how much of the body of an answer that declines a call is
// read, so that its connection can be used again.
const maxDeclined = 4 << 10

// declined gives the refusal for an answer in which the target states that it
// did not run the call.
func (ar *arrival) declined(response *http.Response) *web.Refusal {
	code := ar.node.Dialect.Declined(response)
	if code == request.OK {
		return nil
	}
	// The connection is closed when the rest does not come; nothing else hangs on it.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDeclined))
	refusal := web.NewRefusal(code, "")
	refusal.Outcome = request.NotRun
	refusal.Handed = true
	return refusal
}

// resultOf tells a target that sheds load by itself from one that fails.
func resultOf(response *http.Response) admission.Result {
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return admission.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return admission.Failed
	}
	return admission.Succeeded
}

// visit is the time of an admitted call at the target.
type visit struct {
	arrival     *arrival
	root        *root
	started     time.Time
	belowBefore time.Duration
	ended       bool
	// own is the target's time for the call without its waits, once it has ended.
	own time.Duration
}

func (ar *arrival) begin(root *root) *visit {
	now := time.Now()
	below, _ := root.waited(now)
	return &visit{arrival: ar, root: root, started: now, belowBefore: below}
}

// end frees the call's place at the target, once.
func (vi *visit) end(result admission.Result) {
	if vi.ended {
		return
	}
	vi.ended = true
	now := time.Now()
	below, refused := vi.root.waited(now)
	if result != admission.Succeeded && refused {
		result = admission.RefusedBelow
	}
	sample := admission.Sample{
		Kind:    vi.arrival.work.Kind,
		Latency: now.Sub(vi.started),
		Below:   below - vi.belowBefore,
		Result:  result,
	}
	vi.own = max(sample.Latency-sample.Below, time.Microsecond)
	vi.arrival.node.traffic.finish(now, vi.arrival.work.Call, sample)
}

func (ar *arrival) targetCall() web.TargetCall {
	header := ar.inbound.Header
	headers := make(http.Header, len(header.GetHeaders())+2)
	web.DecodeHeaders(headers, header.GetHeaders())
	ar.node.Dialect.Address(headers, web.TargetTerms{
		Root:      ar.work.Root,
		Call:      ar.work.Call,
		Remaining: time.Until(ar.work.Deadline),
		Caller:    request.ServiceName(header.GetCallerService()),
		Instance:  ar.local.Instance,
	})
	host := string(ar.local.Service)
	if ar.kind.Routed {
		host = header.GetHost()
	}
	return web.TargetCall{
		Method:     header.GetMethod(),
		Path:       header.GetPath(),
		Host:       host,
		Headers:    headers,
		Body:       ar.bodyReader(),
		BodyLength: header.GetBodyLength(),
	}
}

func (ar *arrival) targetFailure(ctx context.Context, err error) *web.Refusal {
	sent := &web.SentError{}
	if !errors.As(err, &sent) {
		if !time.Now().Before(ar.work.Deadline) {
			return web.NewRefusal(request.DeadlineTooClose, "")
		}
		if ctx.Err() != nil {
			return leftRefusal(ctx)
		}
		return web.NewRefusal(request.TargetUnreachable, "")
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return web.NewRefusal(request.DeadlinePassed, "")
	case ctx.Err() != nil:
		refusal := web.NewRefusal(request.CallerLeft, "")
		refusal.Outcome = request.Unknown
		return refusal
	}
	there := ar.node.checkTarget(ar.work.Call)
	if there && ar.kind.Repeat == request.Repeatable {
		return web.NewRefusal(request.AnswerBroken, "")
	}
	return web.NewRefusal(request.TargetDied, "")
}
