package choice

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// judge ends a call at the target and takes in what its answer tells.
func (p *pool) judge(now time.Time, judged *entry, priority request.Priority, answer Answer) {
	if judged.inFlight > 0 {
		judged.inFlight--
	}
	probed := judged.probing
	judged.probing = false
	switch answer.Result {
	case Succeeded:
		judged.report(now, answer.Load)
		judged.measure(now, answer.Latency)
		p.measure(answer.Latency)
		judged.failures -= judged.failures * failureGain
		p.chooser.readmit(now, judged)
	case Refused:
		judged.report(now, answer.Load)
		judged.refuse(now.Add(p.chooser.RefusalHold), now, priority)
		p.chooser.readmit(now, judged)
	case Failed:
		judged.failures += (1 - judged.failures) * failureGain
		if probed || judged.failures > ejectionFailureShare {
			p.chooser.eject(now, judged, probed)
		}
	case Died:
		p.chooser.eject(now, judged, probed)
	case Unreachable:
		judged.unreachable = true
		p.chooser.eject(now, judged, probed)
	case Left:
		judged.left = true
	case Neutral:
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

// eject leaves the target out for a time that doubles with each failed probe.
func (c *Chooser) eject(now time.Time, failed *entry, probed bool) {
	if failed.ejected && !probed && now.Before(failed.ejectUntil) {
		return
	}
	failed.ejection = min(max(2*failed.ejection, c.Ejection), c.MaxEjection)
	failed.ejected = true
	failed.ejectUntil = now.Add(failed.ejection)
}

// readmit takes an ejected target back with a share that grows.
func (c *Chooser) readmit(now time.Time, recovered *entry) {
	recovered.unreachable = false
	if !recovered.ejected {
		if now.Sub(recovered.ejectUntil) > c.MaxEjection {
			recovered.ejection = 0
		}
		return
	}
	recovered.ejected = false
	recovered.failures = 0
	recovered.warmFrom = now
	recovered.warmTime = DefaultReadmitTime
}
