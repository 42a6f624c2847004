package node

import (
	"context"
	"errors"
	"fmt"
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

// inboundCall is a call from a peer to the local target.
type inboundCall struct {
	node     *Node
	peerCall *peer.Inbound
	kind     *configuration.CompiledKind
	local    LocalTarget
	// objective is the time within which the answer is worth most, or zero.
	objective time.Duration
	work      request.Work
	root      *root
	// fingerprint identifies the request if it crashes targets.
	fingerprint request.Fingerprint
	unspent     retry.Allowance
	leftRoot    bool
	// readAt is when the call was read, and handedAt when it was handed to the target, unless
	// it runs by a claim.
	readAt, handedAt time.Time
	// claimedBody is the buffered body of a call that may run only once.
	claimedBody []byte
}

// serveCall serves one call of a peer.
func (node *Node) serveCall(ctx context.Context, peerCall *peer.Inbound) {
	now := time.Now()
	node.counters.inboundCalls.Inc()
	inbound, refusal := node.acceptCall(peerCall, now)
	if refusal != nil {
		inbound.refuse(refusal)
		return
	}
	if code := node.Drain.Enter(drain.Ticket(inbound.work.Call)); code != request.OK {
		inbound.refuse(web.NewRefusal(code, ""))
		return
	}
	defer node.Drain.Leave(drain.Ticket(inbound.work.Call))
	ctx, cancel := context.WithDeadline(ctx, inbound.work.Deadline)
	defer cancel()
	inbound.root = node.roots.enter(inbound.work, peerCall.Header.GetDepth(), retry.Allowance(peerCall.Header.GetAllowance()), now)
	defer inbound.leaveRoot()
	if inbound.kind.Repeat == request.Once && !inbound.kind.Unkeyed {
		inbound.serveClaimed(ctx)
		return
	}
	inbound.serveUnclaimed(ctx)
}

func (node *Node) acceptCall(peerCall *peer.Inbound, now time.Time) (*inboundCall, *web.Refusal) {
	header := peerCall.Header
	node.notePeerVersion(configuration.Version(header.GetConfigurationVersion()))
	node.adoptKnownStatus(header.GetKnownTarget())
	inbound := &inboundCall{node: node, peerCall: peerCall, readAt: now, unspent: retry.Allowance(header.GetAllowance())}
	local := node.LocalTarget()
	if request.ServiceName(header.GetService()) != local.Service {
		return inbound, web.NewRefusal(request.TargetUnreachable, "this node has no target of "+header.GetService())
	}
	current := node.Configuration.Current()
	if current.Version == 0 {
		return inbound, web.NewRefusal(request.NotReady, "")
	}
	if !local.Serving {
		return inbound, web.NewRefusal(request.Draining, "the target has not announced itself, or is leaving")
	}
	if node.overLagLimit(now) {
		return inbound, web.NewRefusal(request.Overloaded, "processor lag at this node is over its limit")
	}
	kind, ok := kindOf(current.Matcher, header)
	if !ok {
		return inbound, web.NewRefusal(request.UnknownKind, header.GetKind())
	}
	inbound.kind, inbound.local = kind, local
	inbound.objective = peer.StatedTime(header.GetObjectiveUs(), time.Microsecond)
	if kind.Routed {
		node.entry.noteCaller(kind.Name, request.ServiceName(header.GetCallerService()))
	}
	inbound.work = request.Work{
		Call:     node.nextCallID(),
		RootKind: request.KindName(header.GetRootKind()),
		Kind:     kind.Name,
		Customer: request.CustomerName(header.GetCustomer()),
		Priority: request.Priority(min(header.GetPriority(), uint32(request.MaxPriority))),
		Spent:    peer.StatedTime(header.GetSpentUs(), time.Microsecond),
		// The time left is as of the moment of sending.
		Deadline: now.Add(peer.StatedTime(header.GetRemainingUs(), time.Microsecond) - peerCall.Waited),
		Patience: peer.StatedTime(header.GetPatienceUs(), time.Microsecond),
		Movable:  header.GetMovable(),
	}
	copy(inbound.work.Root[:], header.GetRoot())
	inbound.fingerprint = request.Fingerprint(header.GetFingerprint())
	return inbound, nil
}

// kindOf returns the rules of a call. A call that a route matched carries its rules,
// so that nodes with different configuration versions agree on them.
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

// leaveRoot removes the call from its root. Only the first use counts.
func (inbound *inboundCall) leaveRoot() {
	if inbound.leftRoot || inbound.root == nil {
		return
	}
	inbound.leftRoot = true
	inbound.unspent = inbound.node.roots.leave(inbound.root)
}

// report returns the report that goes back with each answer.
func (inbound *inboundCall) report() *peerpb.Report {
	inbound.leaveRoot()
	gate := inbound.node.admissionControl.state(time.Now(), inbound.work.RootKind)
	report := &peerpb.Report{
		Level:      uint32(gate.level.Level),
		LevelAgeUs: gate.level.Age.Microseconds(),
		Load:       uint32(gate.load() * loadUnit),
		Unspent:    uint32(inbound.unspent),
		Draining:   inbound.node.draining(),
		LagUs:      inbound.node.lagMonitor.Lag(time.Now()).Microseconds(),

		ConfigurationVersion: uint64(inbound.node.Configuration.Current().Version),

		Target:     inbound.knownStatus(),
		RateWaitUs: gate.rate.Wait.Microseconds(),
	}
	if inbound.kind != nil && inbound.kind.Routed {
		inbound.node.entry.fillReport(time.Now(), inbound.kind.Name, report)
		report.Routed = true
		report.RepeatsSpent = uint32(inbound.node.retryTable.spentByTarget(time.Now()) * spentUnit)
	}
	return report
}

func (inbound *inboundCall) refuse(refusal *web.Refusal) {
	increment(inbound.node.counters.targetRefusals, refusal.Code)
	inbound.logRefusal(refusal)
	header := &peerpb.AnswerHeader{
		Status:       uint32(request.Describe(refusal.Code).Status),
		Code:         uint32(refusal.Code),
		Outcome:      uint32(refusal.Outcome),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Claimed:      refusal.IsActionOutcome,
		Handed:       refusal.SentToTarget,
	}
	_ = inbound.peerCall.Answer(header, nil, inbound.report)
}

func (inbound *inboundCall) serveUnclaimed(ctx context.Context) {
	if refusal := inbound.admit(ctx); refusal != nil {
		inbound.refuse(refusal)
		return
	}
	inbound.finishSuspect(inbound.runAtTarget(ctx))
}

// admit asks the gate for a slot at the target, whether time is left to run the call, and
// then the quarantine guard. The call counts as in flight at the target only after all
// agreed.
func (inbound *inboundCall) admit(ctx context.Context) *web.Refusal {
	if refusal := inbound.admitAtGate(ctx); refusal != nil {
		return refusal
	}
	refusal := inbound.refuseBeforeStop(time.Now())
	if refusal == nil {
		refusal = inbound.admitSuspect(ctx)
	}
	if refusal != nil {
		inbound.node.admissionControl.cancel(time.Now(), inbound.work.Call)
	}
	return refusal
}

// admitAtGate waits for the decision of the admission gate.
func (inbound *inboundCall) admitAtGate(ctx context.Context) *web.Refusal {
	control := inbound.node.admissionControl
	decision, wake := control.arrive(time.Now(), inbound.work, inbound.node.Configuration.Current().customerWeight(inbound.work.Customer))
	if decision.Verdict == admission.Wait {
		select {
		case decision = <-wake:
		case <-ctx.Done():
			control.cancel(time.Now(), inbound.work.Call)
			return abandonedRefusal(ctx)
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

// abandonedRefusal returns the refusal for a call that ended before it was handed to
// the target.
func abandonedRefusal(ctx context.Context) *web.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return web.NewRefusal(request.DeadlineTooClose, "")
	}
	return web.NewRefusal(request.CallerLeft, "")
}

// runAtTarget hands the admitted call to the target and passes its answer on. It
// reports whether the target answered completely.
func (inbound *inboundCall) runAtTarget(ctx context.Context) bool {
	run := inbound.beginRun(inbound.root)
	entry := inbound.node.activeRequests.Enter(inbound.work.Deadline, &activeRequest{id: inbound.peerCall.Header.GetRequestId(), work: inbound.work, root: inbound.root, started: run.started, repeat: inbound.peerCall.Header.GetRepeat()})
	defer inbound.node.activeRequests.Leave(entry)
	defer inbound.node.repeats.enter(inbound.peerCall.Header.GetRepeat())()
	call := inbound.targetCall()
	call.Confirm = func() error { return inbound.confirm(ctx) }
	response, err := inbound.node.sendToTarget(ctx, inbound.local, call)
	if err != nil {
		run.end(admission.Failed)
		inbound.refuse(inbound.targetFailure(ctx, err))
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if refusal := inbound.declinedRefusal(response); refusal != nil {
		run.end(admission.Shed)
		inbound.refuse(refusal)
		return true
	}
	if refusal := inbound.root.downstreamRefusal(response.StatusCode); refusal != nil && !inbound.kind.Routed {
		run.end(admission.Failed)
		inbound.refuse(refusal)
		return true
	}
	header := &peerpb.AnswerHeader{
		Status:     uint32(response.StatusCode),
		Headers:    web.EncodeHeaders(response.Header),
		BodyLength: response.ContentLength,
		Target:     inbound.knownStatus(),
	}
	report := func() *peerpb.Report {
		run.end(admissionResult(response))
		report := inbound.report()
		if admissionResult(response) == admission.Succeeded {
			// The time to an error says nothing of the target's speed.
			report.OwnUs = run.ownTime.Microseconds()
		}
		return report
	}
	took := time.Since(run.started)
	inbound.logAnswer(response.StatusCode, took)
	if inbound.kind.Routed {
		inbound.node.entry.noteEnd(time.Now(), inbound.kind.Name, response.StatusCode, inbound.objective > 0 && took > inbound.objective)
	}
	err = inbound.peerCall.Answer(header, response.Body, report)
	run.end(admission.Failed)
	if err != nil {
		inbound.logAnswerCut(err)
	}
	return err == nil
}

// maxDeclinedBodyBytes is how much of the body of an answer that declines a call is
// read, and maxDeclinedBodyTime for how long, so that the target's connection can be used
// again. The call waits that long.
const (
	maxDeclinedBodyBytes = 4 << 10
	maxDeclinedBodyTime  = 50 * time.Millisecond
)

// declinedRefusal returns the refusal for an answer in which the target states that
// it did not run the call, and nil for any other answer.
func (inbound *inboundCall) declinedRefusal(response *http.Response) *web.Refusal {
	code := inbound.node.Dialect.NotExecutedCode(response)
	if code == request.OK {
		return nil
	}
	web.DiscardBody(response, maxDeclinedBodyBytes, maxDeclinedBodyTime)
	refusal := web.NewRefusal(code, "")
	refusal.Outcome = request.NotRun
	refusal.SentToTarget = true
	return refusal
}

// admissionResult classifies an answer: the target sheds load by itself, fails, or
// succeeds.
func admissionResult(response *http.Response) admission.Result {
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return admission.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return admission.Failed
	}
	return admission.Succeeded
}

// targetRun measures the time of an admitted call at the target.
type targetRun struct {
	inbound              *inboundCall
	root                 *root
	started              time.Time
	downstreamWaitBefore time.Duration
	ended                bool
	// ownTime is the target's time for the call without its waits for other services.
	// It is set by end.
	ownTime time.Duration
}

func (inbound *inboundCall) beginRun(root *root) *targetRun {
	now := time.Now()
	downstreamWait, _ := root.waitedDownstream(now)
	return &targetRun{inbound: inbound, root: root, started: now, downstreamWaitBefore: downstreamWait}
}

// end releases the call's slot at the target. Only the first use counts.
func (run *targetRun) end(result admission.Result) {
	if run.ended {
		return
	}
	run.ended = true
	now := time.Now()
	downstreamWait, refused := run.root.waitedDownstream(now)
	if result != admission.Succeeded && refused {
		result = admission.RefusedDownstream
	}
	sample := admission.Sample{
		Kind:           run.inbound.work.Kind,
		Latency:        now.Sub(run.started),
		DownstreamTime: downstreamWait - run.downstreamWaitBefore,
		Result:         result,
	}
	run.ownTime = max(sample.Latency-sample.DownstreamTime, time.Microsecond)
	if result == admission.Succeeded {
		run.inbound.node.recentRuns.Record(now, run.inbound.kind.Name, sample.Latency)
	}
	run.inbound.node.admissionControl.finish(now, run.inbound.work.Call, sample)
}

func (inbound *inboundCall) targetCall() web.TargetCall {
	header := inbound.peerCall.Header
	headers := make(http.Header, len(header.GetHeaders())+2)
	web.DecodeHeaders(headers, header.GetHeaders())
	host := string(inbound.local.Service)
	if inbound.kind.Routed {
		host = header.GetHost()
	}
	return web.TargetCall{
		Method:      header.GetMethod(),
		Path:        header.GetPath(),
		Host:        host,
		Headers:     headers,
		BeforeWrite: inbound.setTargetHeaders,
		Body:        inbound.bodyReader(),
		BodyLength:  header.GetBodyLength(),
	}
}

// confirm returns an error if the call has ended at its caller's node.
func (inbound *inboundCall) confirm(ctx context.Context) error {
	if err := inbound.peerCall.Confirm(ctx); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	if err := inbound.confirmTarget(); err != nil {
		return err
	}
	inbound.handedAt = time.Now()
	inbound.noteTransit(inbound.handedAt)
	return nil
}

// errTargetGone means that a call was not handed to the target for which it was admitted.
var errTargetGone = errors.New("the target takes no more calls, or another run has replaced it")

// confirmTarget returns an error if the target takes no more calls. It may have begun to
// leave, or another run may have taken its place, while the call waited for a connection.
func (inbound *inboundCall) confirmTarget() error {
	if local := inbound.node.LocalTarget(); !local.Serving || !local.sameRun(inbound.local) {
		return errTargetGone
	}
	return nil
}

// setTargetHeaders sets the headers that the target expects. The time left is that of
// the moment at which the call is written: it may have waited for a connection.
func (inbound *inboundCall) setTargetHeaders(headers http.Header) {
	inbound.node.Dialect.SetTargetHeaders(headers, web.TargetMetadata{
		Root:      inbound.work.Root,
		Call:      inbound.work.Call,
		Remaining: time.Until(inbound.work.Deadline),
		Caller:    request.ServiceName(inbound.peerCall.Header.GetCallerService()),
		Customer:  inbound.work.Customer,
		Instance:  inbound.local.Instance,
	})
}

func (inbound *inboundCall) targetFailure(ctx context.Context, err error) *web.Refusal {
	sentErr := &web.SentError{}
	if !errors.As(err, &sentErr) {
		if !time.Now().Before(inbound.work.Deadline) {
			return web.NewRefusal(request.DeadlineTooClose, "")
		}
		if ctx.Err() != nil {
			return abandonedRefusal(ctx)
		}
		if errors.Is(err, errCallerLeft) {
			return web.NewRefusal(request.CallerLeft, err.Error())
		}
		if errors.Is(err, errTargetGone) {
			return web.NewRefusal(request.Draining, errTargetGone.Error())
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
	targetUp := inbound.node.probeTarget(inbound.work.Call)
	if targetUp && inbound.kind.Repeat == request.Repeatable {
		return web.NewRefusal(request.AnswerBroken, "")
	}
	return web.NewRefusal(request.TargetDied, "")
}
