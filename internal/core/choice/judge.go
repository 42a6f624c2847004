package choice

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// judge ends a call at the target and takes in what its answer tells.
func (p *pool) judge(now time.Time, judged *entry, call Call, answer Answer) {
	if judged.inFlight > 0 {
		judged.inFlight--
	}
	probed := judged.probing
	judged.probing = false
	switch answer.Result {
	case Succeeded:
		judged.report(now, answer.Load, answer.Lag)
		judged.measure(now, answer.Latency)
		p.compare(call.Kind, judged, answer)
		p.measure(answer.Latency)
		judged.failures -= judged.failures * failureGain
		p.readmit(now, judged)
	case Refused:
		judged.report(now, answer.Load, answer.Lag)
		judged.refuse(now.Add(p.chooser.RefusalHold), now, call.Priority)
		p.readmit(now, judged)
	case Late:
		if float64(answer.Latency) > lateFactor*p.typical {
			p.fail(now, judged, probed)
		}
	case Failed:
		p.fail(now, judged, probed)
	case Died:
		p.eject(now, judged, probed)
	case Unreachable:
		judged.lose(now)
		p.eject(now, judged, probed)
	case Left:
		judged.leftUntil = now.Add(leftTime)
	case Neutral:
	}
}

// fail counts a failure and ejects a target that fails too often.
func (p *pool) fail(now time.Time, judged *entry, probed bool) {
	judged.failures += (1 - judged.failures) * failureGain
	if probed || judged.failures > ejectionFailureShare {
		p.eject(now, judged, probed)
	}
}

// refuse keeps the highest priority that was refused while the hold lasts.
func (e *entry) refuse(until, now time.Time, priority request.Priority) {
	if now.Before(e.refusedUntil) {
		priority = max(priority, e.refusedPriority)
	}
	e.refusedPriority = priority
	e.refusedUntil = until
}

// lose notes since when the target is out of reach.
func (e *entry) lose(now time.Time) {
	if !e.unreachable {
		e.lostAt = now
	}
	e.unreachable = true
}

// eject leaves the target out for a time that doubles with each failed probe.
func (p *pool) eject(now time.Time, failed *entry, probed bool) {
	if failed.ejected && !probed && now.Before(failed.ejectUntil) {
		return
	}
	failed.ejection = min(max(2*failed.ejection, p.chooser.Ejection), p.chooser.MaxEjection)
	if !failed.ejected {
		p.ejected++
	}
	failed.ejected = true
	failed.ejectUntil = now.Add(failed.ejection)
}

// readmit takes an ejected target back with a share that grows.
func (p *pool) readmit(now time.Time, recovered *entry) {
	recovered.unreachable = false
	if !recovered.ejected {
		if now.Sub(recovered.ejectUntil) > p.chooser.MaxEjection {
			recovered.ejection = 0
		}
		return
	}
	recovered.ejected = false
	p.ejected--
	recovered.failures = 0
	recovered.warmFrom = now
	recovered.warmTime = DefaultReadmitTime
}
