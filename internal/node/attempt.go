package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// maxBufferedAnswerBytes is the largest answer that is buffered whole before any of
// it is passed on, so that an answer that is cut off can still be replaced by a
// refusal.
const maxBufferedAnswerBytes = peer.MaxBodyPartBytes

// attempt is one attempt to send a call to one target.
type attempt struct {
	choice    balancer.Choice
	allowance retry.Allowance
	started   time.Time
	exchange  *peer.Exchange
	header    *peerpb.AnswerHeader
	buffered  []byte
	// complete says that buffered holds the whole answer.
	complete bool
	refusal  *web.Refusal
}

// send sends a call and writes its answer. A resend of a call in flight shares that
// call's outcome.
func (node *Node) send(ctx context.Context, writer http.ResponseWriter, outbound *outboundCall) {
	if !outbound.hasKey || outbound.kind.Repeat != request.Repeatable || outbound.body.large() {
		node.finishCall(ctx, writer, outbound, node.tryTargets(ctx, outbound))
		return
	}
	key := sharedCallKey{customer: outbound.work.Customer, fingerprint: outbound.fingerprint}
	shared, started := node.sharedCalls.joinOrStart(key)
	// The stop of this node may end the call in flight before its answer.
	joined := !started && node.refuseBeforeStop(time.Now(), outbound) == nil
	if joined {
		node.counters.joinedCalls.Inc()
	}
	if joined && shared.await(ctx) {
		node.finishCall(ctx, writer, outbound, shared.outcome)
		return
	}
	outcome := node.tryTargets(ctx, outbound)
	if started {
		node.sharedCalls.finish(key, shared, outcome)
	}
	node.finishCall(ctx, writer, outbound, outcome)
}

// await waits for the shared call. It returns false when the call's outcome cannot be
// shared, or when ctx ends first.
func (shared *sharedCall) await(ctx context.Context) bool {
	select {
	case <-shared.done:
		return shared.outcome != nil
	case <-ctx.Done():
		return false
	}
}

// finishCall writes the outcome of a call to its caller.
func (node *Node) finishCall(ctx context.Context, writer http.ResponseWriter, outbound *outboundCall, attempt *attempt) {
	node.logCallEnd(outbound, attempt)
	if attempt.refusal != nil {
		node.recordDuration(outbound, attempt)
		node.refuse(writer, outbound.refusalForCaller(attempt.refusal))
		return
	}
	node.deliver(ctx, writer, outbound, attempt)
	node.recordDuration(outbound, attempt)
}

// maxMoves bounds how often a call is offered to another target after the node of one
// refused it before handing it over. Such an offer costs a target nothing, so it is
// not counted as a retry.
const maxMoves = 2

// mayMove reports whether a call may go to another target without a retry, because
// its target never got it.
func (outbound *outboundCall) mayMove(attempt *attempt) bool {
	refusal := attempt.refusal
	if !outbound.kind.Routed || refusal.SentToTarget || refusal.Outcome != request.NotRun || outbound.moves >= maxMoves {
		return false
	}
	if outbound.limitedEverywhere(attempt) {
		return false
	}
	return attempt.choice.Picked() && request.Describe(refusal.Code).RetryElsewhere && !outbound.body.cannotResend()
}

// limitedEverywhere reports whether a target refused the call by its rate limit and the
// others would do so as well.
func (outbound *outboundCall) limitedEverywhere(attempt *attempt) bool {
	return outbound.kind.Routed && attempt.refusal.Code == request.RateLimited && !attempt.choice.HasAlternative
}

// tryTargets sends the call to one target after another until one answers or no retry
// is allowed.
func (node *Node) tryTargets(ctx context.Context, outbound *outboundCall) *attempt {
	outbound.serviceRetries = node.retryTable.forService(outbound.kind.Service)
	began := time.Now()
	node.noteCall(outbound, began)
	if refusal := node.shedAtEntry(began, outbound); refusal != nil {
		return &attempt{started: began, refusal: refusal}
	}
	if refusal := node.takeQuota(ctx, outbound); refusal != nil {
		return &attempt{started: began, refusal: refusal}
	}
	outbound.beginWait(began)
	tried := make([]request.NodeID, 0, 4)
	for retriesUsed := 0; ; retriesUsed++ {
		outbound.retried = retriesUsed > 0
		attempt := node.tryTarget(ctx, outbound, tried)
		if attempt.refusal == nil {
			outbound.endWait(time.Now(), nil)
			return attempt
		}
		outbound.mayHaveRun = outbound.mayHaveRun || attempt.refusal.Outcome != request.NotRun
		if outbound.mayMove(attempt) && ctx.Err() == nil {
			outbound.moves++
			retriesUsed--
			tried = append(tried, attempt.choice.Target.Node)
			continue
		}
		decision := node.mayRetry(outbound, attempt, retriesUsed)
		increment(node.counters.retryDecisions, decision.Reason)
		node.logRetry(outbound, attempt, retriesUsed, decision)
		if decision.Reason != retry.Allowed || !wait.For(ctx, decision.Backoff) {
			node.noteFailure(outbound, attempt.refusal)
			outbound.endWait(time.Now(), attempt.refusal)
			return attempt
		}
		tried = append(tried, attempt.choice.Target.Node)
	}
}

// noteCall counts a call in the retry budget of its service. The call of a repeated
// request repeats that request's call there.
func (node *Node) noteCall(outbound *outboundCall, now time.Time) {
	if !outbound.kind.Routed || !node.entry.fromTargets(outbound.kind.Name) {
		outbound.serviceRetries.noteCall(now)
		return
	}
	outbound.serviceRetries.noteUse(now)
	outbound.inherited = node.inheritsRepeat(outbound)
	if outbound.inherited {
		node.counters.repeatedCalls.Inc()
		outbound.serviceRetries.noteInherited(now)
		return
	}
	outbound.serviceRetries.noteCall(now)
}

func (node *Node) mayRetry(outbound *outboundCall, attempt *attempt, retriesUsed int) retry.Decision {
	outbound.serviceRetries.lock.Lock()
	defer outbound.serviceRetries.lock.Unlock()
	outbound.root.lock.Lock()
	defer outbound.root.lock.Unlock()
	now := time.Now()
	return node.retryPolicy.Decide(now, retry.Attempt{
		RepeatRule:  outbound.kind.Repeat,
		MaxRetries:  outbound.maxRetries(),
		UsedRetries: retriesUsed,
		Important:   outbound.kind.Routed || outbound.work.Priority.Importance() >= node.Configuration.Current().UpperHalf,
		Code:        attempt.refusal.Code,
		Outcome:     attempt.refusal.Outcome,
		BodyLost:    outbound.body.cannotResend(),
		SpentBelow:  outbound.serviceRetries.currentSpentBelow(now),
		Deadline:    outbound.work.Deadline,

		NoAlternative: outbound.limitedEverywhere(attempt),
	}, &outbound.root.allowance, &outbound.serviceRetries.budget)
}

// noteFailure records that a call of the local target found no capacity, and sets the
// Retry-After of a routed call that did not run.
func (node *Node) noteFailure(outbound *outboundCall, refusal *web.Refusal) {
	if !outbound.kind.Routed {
		return
	}
	now := time.Now()
	switch refusal.Code {
	case request.Overloaded, request.WaitedTooLong, request.DeadlinePassed, request.DeadlineTooClose, request.NoTarget, request.RateLimited:
		if !node.entry.fromOutside(outbound.kind.Name) {
			node.entry.noteShortage(now)
		}
	}
	if refusal.Outcome != request.NotRun {
		return
	}
	drawn := outbound.retryAfter(now)
	switch refusal.Code {
	case request.RateLimited:
		// There is no room sooner than that.
		drawn = max(drawn, refusal.RetryAfter)
	case request.Stopping:
		drawn += refusal.RetryAfter
	}
	refusal.RetryAfter = drawn
}

// refusalForCaller returns the refusal as the caller may see it. That this attempt
// did not start does not prove that an earlier one with the same idempotency key did
// not run, so the outcome of an action that may run only once is unknown.
func (outbound *outboundCall) refusalForCaller(refusal *web.Refusal) *web.Refusal {
	if outbound.kind.Repeat != request.Once || outbound.kind.Unkeyed || refusal.IsActionOutcome || refusal.Outcome != request.NotRun {
		return refusal
	}
	shown := *refusal
	shown.Outcome = request.Unknown
	shown.Detail = "this attempt was not started; whether an earlier one ran is learned by sending it again with the same " + web.HeaderIdempotencyKey
	return &shown
}

// maxRetries is the retry limit of the call's kind. A suspect is never retried.
func (outbound *outboundCall) maxRetries() int {
	if outbound.suspect {
		return 0
	}
	return outbound.kind.Retries
}

// errCallerLeft means that a call was not sent because its caller had left.
var errCallerLeft = errors.New("the caller has left")

// confirmCaller returns an error if the caller has closed its connection. Its end is read
// after the call, perhaps much later: it may have come while the call waited to be accepted,
// to be read, for a token, for a retry or for a connection to the target's node.
func (node *Node) confirmCaller(ctx context.Context, outbound *outboundCall) error {
	if !hasLeft(ctx) {
		return nil
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		return errStopped
	}
	node.noteDepartedCaller(ctx, outbound)
	return errCallerLeft
}

// tryTarget sends the call to one target and buffers a small answer.
func (node *Node) tryTarget(ctx context.Context, outbound *outboundCall, tried []request.NodeID) *attempt {
	attempt := &attempt{started: time.Now()}
	if !attempt.started.Before(outbound.work.Deadline) {
		// On a host without free processor time calls are read late, and contexts
		// expire late.
		attempt.refusal = web.NewRefusal(request.DeadlineTooClose, "")
		return attempt
	}
	if attempt.refusal = node.refuseBeforeStop(attempt.started, outbound); attempt.refusal != nil {
		return attempt
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		attempt.refusal = web.NewRefusal(request.CallerLeft, "")
		return attempt
	}
	if !outbound.kind.Routed && node.admissionControl.downstreamRefuses(attempt.started, outbound) {
		attempt.refusal = web.NewRefusal(request.OverloadedBelow, "")
		attempt.refusal.RetryAfter = admission.RetryAfter(outbound.work.Priority)
		return attempt
	}
	call := balancer.Call{
		Service:     outbound.kind.Service,
		Kind:        outbound.kind.Name,
		AllTiers:    outbound.kind.Routed,
		BodyBytes:   max(outbound.body.length, 0),
		Priority:    outbound.work.Priority,
		Repeatable:  outbound.kind.Repeat == request.Repeatable,
		Unimportant: outbound.avoidsFullLink(node.Configuration.Current().UpperHalf),
		Exclude:     tried,
		Fingerprint: outbound.fingerprint,
	}
	if attempt.refusal = node.restrictSuspect(attempt.started, outbound, &call); attempt.refusal != nil {
		return attempt
	}
	random := randomPool.Get().(*rand.Rand)
	picked, code := node.Balancer.Pick(attempt.started, random, call)
	randomPool.Put(random)
	if code == request.UnknownService {
		code = request.NoTarget
	}
	if code != request.OK {
		node.logNoTarget(attempt.started, outbound)
		attempt.refusal = web.NewRefusal(code, "")
		return attempt
	}
	attempt.choice = picked
	node.Balancer.Sent(picked)
	node.runExchange(ctx, outbound, attempt)
	node.reportToBalancer(ctx, outbound, attempt, call)
	return attempt
}

// runExchange sends the call and reads the header of its answer, and the whole body
// when it is small.
func (node *Node) runExchange(ctx context.Context, outbound *outboundCall, attempt *attempt) {
	attempt.allowance = outbound.takeAllowance()
	header := node.callHeader(outbound, attempt)
	address := peer.Address(attempt.choice.Target.Address)
	exchange, answer, err := node.Transport.Call(ctx, address, peer.Outbound{
		Call:    node.nextCallID(),
		Header:  header,
		Body:    outbound.body.reader(),
		Confirm: func() error { return node.confirmCaller(ctx, outbound) },
	})
	if err != nil {
		attempt.refusal = callFailure(ctx, outbound, err)
		return
	}
	if err := web.CheckAnswer(answer); err != nil {
		exchange.Abort()
		attempt.refusal = web.NewRefusal(request.BrokenFrame, err.Error())
		return
	}
	attempt.exchange = exchange
	attempt.header = answer
	node.peerTargets.record(attempt.choice.Target.Node, answer.GetTarget())
	if answer.GetCode() == 0 && !isSmall(answer) {
		return
	}
	attempt.buffered, err = peer.ReadBody(exchange.Body(), answer.GetBodyLength(), maxBufferedAnswerBytes)
	if err != nil {
		exchange.Abort()
		attempt.refusal = callFailure(ctx, outbound, err)
		return
	}
	if len(attempt.buffered) > maxBufferedAnswerBytes {
		return
	}
	attempt.complete = true
	node.applyReport(outbound, attempt)
	if answer.GetCode() != 0 {
		attempt.refusal = refusalOf(answer)
		correctCallerLeft(ctx, outbound, attempt.refusal)
	}
}

// correctCallerLeft replaces caller-left by what ended the call, if that was its deadline or
// the stop of this node: the target's node sees a closed stream in all cases.
func correctCallerLeft(ctx context.Context, outbound *outboundCall, refusal *web.Refusal) {
	switch {
	case refusal.Code != request.CallerLeft:
	case !time.Now().Before(outbound.work.Deadline):
		refusal.Code = request.DeadlinePassed
	case errors.Is(context.Cause(ctx), errStopped):
		refusal.Code = request.Stopping
	}
}

// isSmall reports whether the answer may fit the buffer. An answer of unknown length
// is read until it proves larger.
func isSmall(answer *peerpb.AnswerHeader) bool {
	return answer.GetBodyLength() <= maxBufferedAnswerBytes
}

func refusalOf(answer *peerpb.AnswerHeader) *web.Refusal {
	return &web.Refusal{
		Code:            request.Code(answer.GetCode()),
		Outcome:         request.Outcome(answer.GetOutcome()),
		RetryAfter:      peer.StatedTime(answer.GetRetryAfterMs(), time.Millisecond),
		IsActionOutcome: answer.GetClaimed(),
		SentToTarget:    answer.GetHanded(),
	}
}

func (node *Node) callHeader(outbound *outboundCall, attempt *attempt) *peerpb.CallHeader {
	return &peerpb.CallHeader{
		Service:              string(outbound.kind.Service),
		Kind:                 string(outbound.kind.Name),
		Method:               outbound.method,
		Path:                 outbound.path,
		Headers:              outbound.headers,
		Root:                 outbound.work.Root[:],
		RootKind:             string(outbound.work.RootKind),
		Priority:             uint32(outbound.work.Priority),
		RemainingUs:          outbound.work.Deadline.Sub(attempt.started).Microseconds(),
		SpentUs:              outbound.work.Spent.Microseconds(),
		Allowance:            uint32(attempt.allowance),
		BodyLength:           outbound.body.length,
		AwaitContinue:        outbound.body.large(),
		ConfigurationVersion: uint64(outbound.version),
		Depth:                outbound.depth,
		Fingerprint:          uint64(outbound.fingerprint),
		Routed:               outbound.kind.Routed,
		Unkeyed:              outbound.kind.Unkeyed,
		Host:                 outbound.host,
		CallerService:        string(node.LocalTarget().Service),
		RequestId:            outbound.requestID,
		Customer:             string(outbound.work.Customer),
		ObjectiveUs:          outbound.kind.Objective.Microseconds(),
		PatienceUs:           node.patience(attempt.started, outbound).Microseconds(),
		Repeat:               outbound.retried || outbound.inherited,
		KnownTarget:          node.peerTargets.find(attempt.choice.Target.Node),
		Movable:              outbound.kind.Routed && outbound.moves < maxMoves && attempt.choice.HasAlternative && !outbound.body.cannotResend(),
	}
}

// callFailure returns the refusal for a call whose exchange with the target's node
// failed.
func callFailure(ctx context.Context, outbound *outboundCall, err error) *web.Refusal {
	switch {
	case outbound.body.tooLarge():
		refusal := web.NewRefusal(request.BodyTooLarge, "")
		refusal.Outcome = request.Unknown
		return refusal
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return withSentOutcome(web.NewRefusal(request.DeadlinePassed, ""), err)
	case errors.Is(context.Cause(ctx), errStopped):
		return withSentOutcome(web.NewRefusal(request.Stopping, "the time to finish calls is over"), err)
	case ctx.Err() != nil, errors.Is(err, errCallerLeft):
		return withSentOutcome(web.NewRefusal(request.CallerLeft, ""), err)
	case errors.Is(err, peer.ErrIncompatible):
		return web.NewRefusal(request.PeerIncompatible, "")
	case errors.Is(err, peer.ErrNoTimeLeft):
		return web.NewRefusal(request.DeadlineTooClose, "")
	case !peer.MayHaveBeenSent(err):
		return web.NewRefusal(request.TargetUnreachable, "")
	case errors.Is(err, peer.ErrFrameChecksum), errors.Is(err, peer.ErrFrameKind),
		errors.Is(err, peer.ErrFrameTooLong), errors.Is(err, peer.ErrCallMismatch), errors.Is(err, peer.ErrUnexpectedFrame):
		return web.NewRefusal(request.BrokenFrame, "")
	}
	return web.NewRefusal(request.AnswerCut, "")
}

func withSentOutcome(refusal *web.Refusal, err error) *web.Refusal {
	refusal.Outcome = request.NotRun
	if peer.MayHaveBeenSent(err) {
		refusal.Outcome = request.Unknown
	}
	return refusal
}

// applyReport takes over what the report of an answer says: the unspent retry
// allowance, the peer's configuration version and its admission level.
func (node *Node) applyReport(outbound *outboundCall, attempt *attempt) {
	report := attempt.exchange.Report()
	attempt.exchange.Finish()
	if report == nil {
		return
	}
	node.notePeerVersion(configuration.Version(report.GetConfigurationVersion()))
	node.peerTargets.record(attempt.choice.Target.Node, report.GetTarget())
	outbound.root.lock.Lock()
	outbound.root.allowance.Return(attempt.allowance, retry.Allowance(report.GetUnspent()))
	outbound.root.lock.Unlock()
	node.learnReport(time.Now(), outbound, report)
	node.admissionControl.learnLevel(time.Now(), outbound, admission.LevelReport{
		Level: request.Level(report.GetLevel()),
		Age:   peer.StatedTime(report.GetLevelAgeUs(), time.Microsecond),
	})
}

// learnReport takes over what a report says of the kind of a routed call. The report of a
// node that refused the call before it knew the kind says nothing of it.
func (node *Node) learnReport(now time.Time, outbound *outboundCall, report *peerpb.Report) {
	if !outbound.kind.Routed || !report.GetRouted() {
		return
	}
	node.entry.learn(now, outbound, report)
	outbound.serviceRetries.noteSpentBelow(now, float64(report.GetRepeatsSpent())/spentUnit)
}

// reportToBalancer tells the balancer how the attempt ended and the load that its
// target reported.
func (node *Node) reportToBalancer(ctx context.Context, outbound *outboundCall, attempt *attempt, call balancer.Call) {
	now := time.Now()
	answer := balancer.Answer{Result: balancer.Succeeded, Latency: now.Sub(attempt.started), Bytes: max(outbound.body.length, 0) + int64(len(attempt.buffered))}
	if attempt.refusal != nil {
		answer.Result = balancer.ResultOf(attempt.refusal.Code)
	}
	if attempt.refusal != nil && (errors.Is(ctx.Err(), context.Canceled) || attempt.refusal.Code == request.CallerLeft) {
		answer.Result = balancer.Neutral
	}
	if attempt.exchange != nil {
		if report := attempt.exchange.Report(); report != nil {
			answer.Load = balancer.Load(report.GetLoad()) / loadUnit
			answer.OwnTime = peer.StatedTime(report.GetOwnUs(), time.Microsecond)
			answer.ProcessorLag = peer.StatedTime(report.GetLagUs(), time.Microsecond)
			answer.RateLimited = report.GetTarget().GetLimited()
			answer.RateWait = peer.StatedTime(report.GetRateWaitUs(), time.Microsecond)
		}
	}
	node.Balancer.Answered(now, attempt.choice, call, answer)
	if answer.Result == balancer.Succeeded {
		outbound.serviceRetries.noteSuccess(node.Configuration.Current().Document.Retry.EdgeShare)
	}
}
