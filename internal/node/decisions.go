package node

import (
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/decision"
)

// describe adds what a call is and which version matched it.
func (og *outgoing) describe(line *log.Entry, now time.Time) *log.Entry {
	if og.parent != nil {
		line = line.Str("parent", og.parent.id)
	}
	return line.Str("request", og.id).Str("from", og.from).Str("kind", string(og.kind.Name)).Str("service", string(og.kind.Service)).
		Uint64("version", uint64(og.version)).Uint16("priority", uint16(og.work.Priority)).
		Dur("left", timeLeft(og.work.Deadline, now))
}

// timeLeft is the time until a deadline; zero where a call was refused before
// its deadline was read. The logger cannot write the longest negative duration,
// which the difference would be.
func timeLeft(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// logEnd writes how a call ended for its caller.
func (no *Node) logEnd(og *outgoing, at *attempt) {
	now := time.Now()
	if at.refusal != nil {
		if line := no.Decisions.Line(decision.CallRefused); line != nil {
			og.describe(line, now).Str("target", string(at.choice.Target.Node)).Stringer("code", at.refusal.Code).
				Stringer("outcome", at.refusal.Outcome).Bool("handed", at.refusal.Handed).Int("moves", og.moves).Float64("share", og.share).
				Dur("retry-after", at.refusal.RetryAfter).Str("detail", at.refusal.Detail).Dur("took", now.Sub(at.started)).Msg("call: refused")
		}
		return
	}
	if line := no.Decisions.Line(decision.CallAnswered); line != nil {
		og.describe(line, now).Str("target", string(at.choice.Target.Node)).Uint32("status", at.header.GetStatus()).
			Int("moves", og.moves).Dur("took", now.Sub(at.started)).Msg("call: answered")
	}
}

// logTargets writes what is thought of the targets of a service for which no
// target was found.
func (no *Node) logTargets(now time.Time, og *outgoing) {
	line := no.Decisions.Line(decision.NoTarget)
	if line == nil {
		return
	}
	census := no.Chooser.Census(now, og.kind.Service, og.work.Priority)
	og.describe(line, now).Int("known", census.Known).Int("connected", census.Connected).Int("leaving", census.Leaving).
		Int("unreachable", census.Unreachable).Int("ejected", census.Ejected).Int("warming", census.Warming).
		Int("refusing", census.Refusing).Int("moves", og.moves).Msg("call: no target")
}

// logRetry writes whether an attempt that failed is followed by another.
func (no *Node) logRetry(og *outgoing, at *attempt, used int, decided retry.Decision) {
	if line := no.Decisions.Line(decision.CallRetried); line != nil {
		og.describe(line, time.Now()).Str("target", string(at.choice.Target.Node)).Stringer("code", at.refusal.Code).
			Stringer("outcome", at.refusal.Outcome).Int("used", used).Stringer("decision", decided.Reason).Msg("call: attempt failed")
	}
}

// logRefusal writes why the node of a target turned a call away, with the state
// of its gate.
func (ar *arrival) logRefusal(refusal *web.Refusal) {
	line := ar.node.Decisions.Line(decision.TargetRefused)
	if line == nil {
		return
	}
	now := time.Now()
	gate := ar.node.traffic.gauge(now, ar.work.RootKind)
	header := ar.inbound.Header
	line.Str("request", header.GetRequestId()).Str("kind", header.GetKind()).Str("instance", string(ar.local.Instance)).
		Stringer("code", refusal.Code).Stringer("outcome", refusal.Outcome).Bool("handed", refusal.Handed).
		Str("detail", refusal.Detail).Uint16("priority", uint16(ar.work.Priority)).Dur("spent", ar.work.Spent).
		Dur("left", timeLeft(ar.work.Deadline, now)).Int("limit", gate.limit).Int("places", gate.places).
		Int("running", gate.running).Int("waiting", gate.waiting).Uint16("level", uint16(gate.level.Level)).
		Msg("target: refused")
}

// logHeadroom writes that another number of the target's slots stays free.
func (no *Node) logHeadroom(before, now headroom) {
	if line := no.Decisions.Line(decision.HeadroomChanged); line != nil {
		line.Str("instance", string(no.Local().Instance)).Int("slots", now.slots).Int("free", now.free).Int("free-before", before.free).
			Msg("target: headroom changed")
	}
}

// logCut writes why an answer that had begun did not reach the caller's node.
func (ar *arrival) logCut(reason error) {
	if line := ar.node.Decisions.Line(decision.AnswerCut); line != nil {
		line.Str("request", ar.inbound.Header.GetRequestId()).Str("kind", string(ar.kind.Name)).
			Str("instance", string(ar.local.Instance)).Err(reason).Msg("target: answer cut")
	}
}

// logAnswer writes that the target answered a call.
func (ar *arrival) logAnswer(status int, took time.Duration) {
	if line := ar.node.Decisions.Line(decision.TargetAnswered); line != nil {
		line.Str("request", ar.inbound.Header.GetRequestId()).Str("kind", string(ar.kind.Name)).
			Str("instance", string(ar.local.Instance)).Int("status", status).Dur("took", took).Msg("target: answered")
	}
}
