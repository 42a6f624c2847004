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
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// heldAnswer is the largest answer that is held until all of it is there, so
// that a cut one can still be refused.
const heldAnswer = peer.BodyPart

// attempt is one sending of a call to one target.
type attempt struct {
	choice   choice.Choice
	share    retry.Allowance
	started  time.Time
	exchange *peer.Exchange
	header   *peerpb.AnswerHeader
	held     []byte
	// whole says that held is the whole answer.
	whole   bool
	refusal *web.Refusal
}

// send sends a call, or joins the one in flight that it is a resend of, and
// writes the answer.
func (no *Node) send(ctx context.Context, writer http.ResponseWriter, og *outgoing) {
	if !og.keyed || og.kind.Repeat != request.Repeatable || og.body.large() {
		no.conclude(ctx, writer, og, no.attempts(ctx, og))
		return
	}
	current, first := no.flights.enter(og.fingerprint)
	if !first {
		no.counters.joins.Inc()
	}
	if !first && current.await(ctx) {
		no.conclude(ctx, writer, og, current.end)
		return
	}
	end := no.attempts(ctx, og)
	if first {
		no.flights.leave(og.fingerprint, current, end)
	}
	no.conclude(ctx, writer, og, end)
}

// await tells whether the call that was joined ended in a way that holds for
// all of its callers.
func (fi *flight) await(ctx context.Context) bool {
	select {
	case <-fi.done:
		return fi.end != nil
	case <-ctx.Done():
		return false
	}
}

// conclude tells the caller how the call ended.
func (no *Node) conclude(ctx context.Context, writer http.ResponseWriter, og *outgoing, at *attempt) {
	no.logEnd(og, at)
	if at.refusal != nil {
		no.refuse(writer, og.honest(at.refusal))
		return
	}
	no.deliver(ctx, writer, og, at)
}

// maxMoves is how often a call is offered to another target after one whose
// node did not hand it over. Such an offer costs its target nothing.
const maxMoves = 2

// mayMove tells whether a call goes to another target without a retry: its
// target never got it.
func (og *outgoing) mayMove(at *attempt) bool {
	refusal := at.refusal
	if !og.kind.Routed || refusal.Handed || refusal.Outcome != request.NotRun || og.moves >= maxMoves {
		return false
	}
	return at.choice.Picked() && request.Describe(refusal.Code).Elsewhere && !og.body.lost()
}

// attempts tries targets until one answers or no retry is left.
func (no *Node) attempts(ctx context.Context, og *outgoing) *attempt {
	og.edge = no.edges.of(og.kind.Service)
	began := time.Now()
	og.edge.called(began)
	if refusal := no.shed(began, og); refusal != nil {
		return &attempt{started: began, refusal: refusal}
	}
	og.wait(began)
	tried := make([]request.NodeID, 0, 4)
	for used := 0; ; used++ {
		at := no.try(ctx, og, tried)
		if at.refusal == nil {
			og.resume(time.Now(), nil)
			return at
		}
		if og.mayMove(at) && ctx.Err() == nil {
			og.moves++
			used--
			tried = append(tried, at.choice.Target.Node)
			continue
		}
		decision := no.mayRetry(og, at.refusal, used)
		count(no.counters.retries, decision.Reason)
		no.logRetry(og, at, used, decision)
		if decision.Reason != retry.Allowed || !wait.For(ctx, decision.Backoff) {
			no.ended(og, at.refusal)
			og.resume(time.Now(), at.refusal)
			return at
		}
		tried = append(tried, at.choice.Target.Node)
	}
}

func (no *Node) mayRetry(og *outgoing, refusal *web.Refusal, used int) retry.Decision {
	og.edge.lock.Lock()
	defer og.edge.lock.Unlock()
	og.root.lock.Lock()
	defer og.root.lock.Unlock()
	return no.retryPolicy.Decide(time.Now(), retry.Attempt{
		Rule:      og.kind.Repeat,
		Retries:   og.retries(),
		Used:      used,
		Important: og.kind.Routed || og.work.Priority.Importance() >= no.Configuration.Current().Half,
		Code:      refusal.Code,
		Outcome:   refusal.Outcome,
		BodyLost:  og.body.lost(),
		Deadline:  og.work.Deadline,
	}, &og.root.account, &og.edge.budget)
}

// ended notes a call of the local target that found no room, and tells a caller
// from outside when to come back.
func (no *Node) ended(og *outgoing, refusal *web.Refusal) {
	if !og.kind.Routed {
		return
	}
	now := time.Now()
	switch refusal.Code {
	case request.Overloaded, request.WaitedTooLong, request.DeadlinePassed, request.DeadlineTooClose, request.NoTarget:
		if !no.doors.entering(og.kind.Name) {
			no.doors.starve(now)
		}
	}
	if refusal.Outcome == request.NotRun {
		refusal.RetryAfter = og.comeBack(now)
	}
}

// honest is what the caller is told. That one attempt was not started does not
// tell that an earlier one with the same key did not run.
func (og *outgoing) honest(refusal *web.Refusal) *web.Refusal {
	if og.kind.Repeat != request.Once || og.kind.Unkeyed || refusal.Claimed || refusal.Outcome != request.NotRun {
		return refusal
	}
	told := *refusal
	told.Outcome = request.Unknown
	told.Detail = "this attempt was not started; whether an earlier one ran is learned by sending it again with the same " + web.HeaderIdempotencyKey
	return &told
}

// retries is the bound of the call's kind. A suspect is not retried.
func (og *outgoing) retries() int {
	if og.suspect {
		return 0
	}
	return og.kind.Retries
}

// lookLag is the lag from which it is looked, before a call is sent, whether its caller
// has left: the call, or the answer to its last attempt, was read late, and what the
// caller did since is read later still. Below it the look would cost each call a system
// call for nothing.
const lookLag = 50 * time.Millisecond

// try sends the call to one target and holds a small answer.
func (no *Node) try(ctx context.Context, og *outgoing, tried []request.NodeID) *attempt {
	at := &attempt{started: time.Now()}
	if !at.started.Before(og.work.Deadline) {
		// On a host without free processor time calls are read late, and contexts end late.
		at.refusal = web.NewRefusal(request.DeadlineTooClose, "")
		return at
	}
	if no.pulse.Lag(at.started) > lookLag && hasLeft(ctx) {
		at.refusal = web.NewRefusal(request.CallerLeft, "")
		return at
	}
	if !og.kind.Routed && no.traffic.refuses(at.started, og) {
		at.refusal = web.NewRefusal(request.OverloadedBelow, "")
		at.refusal.RetryAfter = admission.RetryAfter(og.work.Priority)
		return at
	}
	call := choice.Call{
		Service:     og.kind.Service,
		Kind:        og.kind.Name,
		Anywhere:    og.kind.Routed,
		Bytes:       max(og.body.length, 0),
		Priority:    og.work.Priority,
		Repeatable:  og.kind.Repeat == request.Repeatable,
		Sparing:     og.sparing(no.Configuration.Current().Half),
		Exclude:     tried,
		Fingerprint: og.fingerprint,
	}
	if at.refusal = no.judgeSuspect(at.started, og, &call); at.refusal != nil {
		return at
	}
	random := randomPool.Get().(*rand.Rand)
	picked, code := no.Chooser.Pick(at.started, random, call)
	randomPool.Put(random)
	if code == request.UnknownService {
		code = request.NoTarget
	}
	if code != request.OK {
		no.logTargets(at.started, og)
		at.refusal = web.NewRefusal(code, "")
		return at
	}
	at.choice = picked
	no.Chooser.Sent(picked)
	no.exchange(ctx, og, at)
	no.judge(ctx, og, at, call)
	return at
}

// exchange runs the call up to the header of its answer, and to the end of a
// small one.
func (no *Node) exchange(ctx context.Context, og *outgoing, at *attempt) {
	at.share = og.handOver()
	header := no.callHeader(og, at)
	address := peer.Address(at.choice.Target.Address)
	exchange, answer, err := no.Transport.Call(ctx, address, no.nextCall(), header, og.body.reader())
	if err != nil {
		at.refusal = callFailure(ctx, og, err)
		return
	}
	at.exchange = exchange
	at.header = answer
	if answer.GetCode() == 0 && !isSmall(answer) {
		return
	}
	at.held, err = peer.ReadBody(exchange.Body(), answer.GetBodyLength(), heldAnswer)
	if err != nil {
		exchange.Abort()
		at.refusal = callFailure(ctx, og, err)
		return
	}
	if len(at.held) > heldAnswer {
		return
	}
	at.whole = true
	no.settle(og, at)
	if answer.GetCode() != 0 {
		at.refusal = refusalOf(answer)
		nameDeadline(og, at.refusal)
	}
}

// nameDeadline tells a call that ended at its deadline from one whose caller
// left: to the target's node both are a stream that closed.
func nameDeadline(og *outgoing, refusal *web.Refusal) {
	if refusal.Code == request.CallerLeft && !time.Now().Before(og.work.Deadline) {
		refusal.Code = request.DeadlinePassed
	}
}

// isSmall tells whether the answer may fit what is held; an answer of unknown
// length is read until it proves larger.
func isSmall(answer *peerpb.AnswerHeader) bool {
	return answer.GetBodyLength() <= heldAnswer
}

func refusalOf(answer *peerpb.AnswerHeader) *web.Refusal {
	return &web.Refusal{
		Code:       request.Code(answer.GetCode()),
		Outcome:    request.Outcome(answer.GetOutcome()),
		RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
		Claimed:    answer.GetClaimed(),
		Handed:     answer.GetHanded(),
	}
}

func (no *Node) callHeader(og *outgoing, at *attempt) *peerpb.CallHeader {
	return &peerpb.CallHeader{
		Service:              string(og.kind.Service),
		Kind:                 string(og.kind.Name),
		Method:               og.method,
		Path:                 og.path,
		Headers:              og.headers,
		Root:                 og.work.Root[:],
		RootKind:             string(og.work.RootKind),
		Priority:             uint32(og.work.Priority),
		RemainingUs:          og.work.Deadline.Sub(at.started).Microseconds(),
		SpentUs:              og.work.Spent.Microseconds(),
		Allowance:            uint32(at.share),
		BodyLength:           og.body.length,
		AwaitContinue:        og.body.large(),
		ConfigurationVersion: uint64(og.version),
		Depth:                og.depth,
		Fingerprint:          uint64(og.fingerprint),
		Routed:               og.kind.Routed,
		Unkeyed:              og.kind.Unkeyed,
		Host:                 og.host,
		CallerService:        string(no.Local().Service),
		RequestId:            og.id,
		ObjectiveUs:          og.kind.Objective.Microseconds(),
		PatienceUs:           no.patience(og).Microseconds(),
	}
}

// enteringPatience is the part of its objective that a call from outside may
// wait for a slot, so that its own time is left. A call of a target may wait
// for all of it: the tree above it has begun, and is lost without it.
const enteringPatience = 0.6

// patience is how long the call may wait for a slot, or zero where its kind has
// no objective.
func (no *Node) patience(og *outgoing) time.Duration {
	if no.doors.entering(og.kind.Name) {
		return time.Duration(enteringPatience * float64(og.kind.Objective))
	}
	return og.kind.Objective
}

// callFailure names what became of a call whose exchange broke.
func callFailure(ctx context.Context, og *outgoing, err error) *web.Refusal {
	switch {
	case og.body.tooLarge():
		refusal := web.NewRefusal(request.BodyTooLarge, "")
		refusal.Outcome = request.Unknown
		return refusal
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return withOutcome(web.NewRefusal(request.DeadlinePassed, ""), err)
	case ctx.Err() != nil:
		return withOutcome(web.NewRefusal(request.CallerLeft, ""), err)
	case errors.Is(err, peer.ErrIncompatible):
		return web.NewRefusal(request.PeerIncompatible, "")
	case !peer.WasSent(err):
		return web.NewRefusal(request.TargetUnreachable, "")
	case errors.Is(err, peer.ErrFrameChecksum), errors.Is(err, peer.ErrFrameKind),
		errors.Is(err, peer.ErrFrameTooLong), errors.Is(err, peer.ErrOtherCall), errors.Is(err, peer.ErrUnexpectedFrame):
		return web.NewRefusal(request.BrokenFrame, "")
	}
	return web.NewRefusal(request.AnswerCut, "")
}

func withOutcome(refusal *web.Refusal, err error) *web.Refusal {
	refusal.Outcome = request.NotRun
	if peer.WasSent(err) {
		refusal.Outcome = request.Unknown
	}
	return refusal
}

// handOver takes the share of the root's allowance that goes with an attempt.
func (og *outgoing) handOver() retry.Allowance {
	og.root.lock.Lock()
	defer og.root.lock.Unlock()
	return og.root.account.HandOver()
}

// settle takes back what the answer did not spend and learns its level.
func (no *Node) settle(og *outgoing, at *attempt) {
	report := at.exchange.Report()
	at.exchange.Finish()
	if report == nil {
		return
	}
	no.hear(configuration.Version(report.GetConfigurationVersion()))
	og.root.lock.Lock()
	og.root.account.Return(at.share, retry.Allowance(report.GetUnspent()))
	og.root.lock.Unlock()
	if og.kind.Routed {
		no.doors.follow(time.Now(), og, report)
	}
	no.traffic.learn(time.Now(), og, admission.LevelNotice{
		Level: request.Level(report.GetLevel()),
		Age:   time.Duration(report.GetLevelAgeUs()) * time.Microsecond,
	})
}

// judge tells the chooser what the answer says of its target.
func (no *Node) judge(ctx context.Context, og *outgoing, at *attempt, call choice.Call) {
	now := time.Now()
	answer := choice.Answer{Result: choice.Succeeded, Latency: now.Sub(at.started), Bytes: max(og.body.length, 0) + int64(len(at.held))}
	if at.refusal != nil {
		answer.Result = choice.ResultOf(at.refusal.Code)
	}
	if at.refusal != nil && errors.Is(ctx.Err(), context.Canceled) {
		answer.Result = choice.Neutral
	}
	if at.exchange != nil {
		if report := at.exchange.Report(); report != nil {
			answer.Load = choice.Load(report.GetLoad()) / loadUnit
			answer.Own = time.Duration(report.GetOwnUs()) * time.Microsecond
			answer.Lag = time.Duration(report.GetLagUs()) * time.Microsecond
		}
	}
	no.Chooser.Answered(now, at.choice, call, answer)
	if answer.Result == choice.Succeeded {
		og.edge.success(no.Configuration.Current().Document.Retry.EdgeShare)
	}
}
