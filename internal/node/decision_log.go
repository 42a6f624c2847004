package node

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/decision"
)

// addCallFields adds what identifies a call, and the configuration version that
// matched it.
func (outbound *outboundCall) addCallFields(line *log.Entry, now time.Time) *log.Entry {
	if outbound.likelyParent != nil {
		line = line.Str("parent", outbound.likelyParent.id)
	}
	return line.Str("request", outbound.requestID).Str("from", outbound.remoteAddress).Str("kind", string(outbound.kind.Name)).Str("service", string(outbound.kind.Service)).
		Uint64("version", uint64(outbound.version)).Uint16("priority", uint16(outbound.work.Priority)).
		Dur("left", timeLeft(outbound.work.Deadline, now))
}

// timeLeft is the time until a deadline, or zero where a call was refused before its
// deadline was read: the difference to a zero time is the longest negative duration,
// which the logger cannot write.
func timeLeft(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// logCallEnd logs how a call ended for its caller.
func (node *Node) logCallEnd(outbound *outboundCall, attempt *attempt) {
	now := time.Now()
	if attempt.refusal != nil {
		if line := node.Decisions.Line(decision.CallRefused); line != nil {
			outbound.addCallFields(line, now).Str("target", string(attempt.choice.Target.Node)).Stringer("code", attempt.refusal.Code).
				Stringer("outcome", attempt.refusal.Outcome).Bool("handed", attempt.refusal.SentToTarget).Int("moves", outbound.moves).Float64("share", outbound.entryShare).
				Dur("retry-after", attempt.refusal.RetryAfter).Str("detail", attempt.refusal.Detail).Dur("took", now.Sub(attempt.started)).Msg("call: refused")
		}
		return
	}
	if line := node.Decisions.Line(decision.CallAnswered); line != nil {
		outbound.addCallFields(line, now).Str("target", string(attempt.choice.Target.Node)).Uint32("status", attempt.header.GetStatus()).
			Int("moves", outbound.moves).Dur("took", now.Sub(attempt.started)).Msg("call: answered")
	}
}

// noteDepartedCaller counts and logs a call whose caller had left before it was sent.
func (node *Node) noteDepartedCaller(ctx context.Context, outbound *outboundCall) {
	node.counters.departedCallers.Inc()
	line := node.Decisions.Line(decision.CallerLeft)
	if line == nil {
		return
	}
	now := time.Now()
	outbound.addCallFields(line, now).Dur("lag", node.lagMonitor.Lag(now)).Dur("read-before", now.Sub(outbound.readAt)).
		Dur("accepted-before", connectionAge(ctx, now)).Int("moves", outbound.moves).Bool("retried", outbound.retried).
		Msg("call: its caller has left")
}

// minLoggedTransit is the time above the fastest call from which a call that was under way
// is logged.
const minLoggedTransit = 100 * time.Millisecond

// noteTransit measures how long a call was under way to this node, and logs a late one when
// it is handed to the target.
func (inbound *inboundCall) noteTransit(now time.Time) {
	node, transit := inbound.node, inbound.peerCall.Waited
	node.counters.callTransit.Update(transit.Seconds())
	if transit < minLoggedTransit {
		return
	}
	line := node.Decisions.Line(decision.CallUnderWay)
	if line == nil {
		return
	}
	line.Str("request", inbound.peerCall.Header.GetRequestId()).Str("kind", inbound.peerCall.Header.GetKind()).Str("from", string(inbound.peerCall.Remote().Node)).
		Dur("transit", transit).Dur("queued", now.Sub(inbound.readAt)).Dur("lag", node.lagMonitor.Lag(now)).
		Bool("more-unread", inbound.peerCall.HasUnread()).Dur("left", timeLeft(inbound.work.Deadline, now)).
		Msg("target: call was under way for long")
}

// logNoTarget logs the state of all targets of a service when none of them could be
// chosen.
func (node *Node) logNoTarget(now time.Time, outbound *outboundCall) {
	line := node.Decisions.Line(decision.NoTarget)
	if line == nil {
		return
	}
	counts := node.Balancer.CountTargets(now, outbound.kind.Service, outbound.work.Priority)
	outbound.addCallFields(line, now).Int("known", counts.Known).Int("connected", counts.Connected).Int("leaving", counts.Draining).
		Int("unreachable", counts.Unreachable).Int("ejected", counts.Ejected).Int("warming", counts.WarmingUp).
		Int("refusing", counts.Refusing).Int("moves", outbound.moves).Msg("call: no target")
}

// logRetry logs a failed attempt and whether another follows, with the parts of the retry
// budget that are spent at the service and below it.
func (node *Node) logRetry(outbound *outboundCall, attempt *attempt, retriesUsed int, retryDecision retry.Decision) {
	if line := node.Decisions.Line(decision.CallRetried); line != nil {
		now := time.Now()
		spent, spentBelow := outbound.serviceRetries.spent(now)
		outbound.addCallFields(line, now).Str("target", string(attempt.choice.Target.Node)).Stringer("code", attempt.refusal.Code).
			Stringer("outcome", attempt.refusal.Outcome).Int("used", retriesUsed).Bool("repeat", outbound.inherited).
			Float64("budget-spent", spent).Float64("budget-spent-below", spentBelow).
			Stringer("decision", retryDecision.Reason).Msg("call: attempt failed")
	}
}

// logRefusal logs why the target's node refused a call, with the state of its gate.
func (inbound *inboundCall) logRefusal(refusal *web.Refusal) {
	line := inbound.node.Decisions.Line(decision.TargetRefused)
	if line == nil {
		return
	}
	now := time.Now()
	gate := inbound.node.admissionControl.state(now, inbound.work.RootKind)
	header := inbound.peerCall.Header
	line.Str("request", header.GetRequestId()).Str("kind", header.GetKind()).Str("instance", string(inbound.local.Instance)).
		Stringer("code", refusal.Code).Stringer("outcome", refusal.Outcome).Bool("handed", refusal.SentToTarget).
		Str("detail", refusal.Detail).Dur("transit", inbound.peerCall.Waited).Dur("ran", inbound.ran(now)).Uint16("priority", uint16(inbound.work.Priority)).Dur("spent", inbound.work.Spent).
		Dur("left", timeLeft(inbound.work.Deadline, now)).Int("limit", gate.limit).Int("places", gate.effectiveLimit).
		Int("running", gate.running).Int("waiting", gate.waiting).Uint16("level", uint16(gate.level.Level)).
		Bool("rate-limited", gate.rate.Limited).Float64("rate-limit", float64(gate.rate.Limit)).Dur("rate-wait", gate.rate.Wait).
		Msg("target: refused")
}

// ran is how long ago the call was handed to the target, or zero if it was not.
func (inbound *inboundCall) ran(now time.Time) time.Duration {
	if inbound.handedAt.IsZero() {
		return 0
	}
	return now.Sub(inbound.handedAt)
}

// logHeadroom logs a change in the number of the target's slots that are kept free.
func (node *Node) logHeadroom(before, after headroom) {
	if line := node.Decisions.Line(decision.HeadroomChanged); line != nil {
		line.Str("instance", string(node.LocalTarget().Instance)).Int("slots", after.slots).Int("free", after.free).Int("free-before", before.free).
			Msg("target: headroom changed")
	}
}

// logAnswerCut logs why an answer that had begun did not reach the caller's node
// whole.
func (inbound *inboundCall) logAnswerCut(reason error) {
	if line := inbound.node.Decisions.Line(decision.AnswerCut); line != nil {
		line.Str("request", inbound.peerCall.Header.GetRequestId()).Str("kind", string(inbound.kind.Name)).
			Str("instance", string(inbound.local.Instance)).Err(reason).Msg("target: answer cut")
	}
}

// logAnswer logs that the target answered a call.
func (inbound *inboundCall) logAnswer(status int, took time.Duration) {
	if line := inbound.node.Decisions.Line(decision.TargetAnswered); line != nil {
		line.Str("request", inbound.peerCall.Header.GetRequestId()).Str("kind", string(inbound.kind.Name)).
			Str("instance", string(inbound.local.Instance)).Int("status", status).Dur("took", took).Msg("target: answered")
	}
}
