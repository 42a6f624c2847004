package node

import (
	"cmp"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// errStopped is the cause of the end of the calls that are in flight when the time that a
// stop leaves them is over.
var errStopped = errors.New("the node stops")

// endedCallMargin is the part of stopMargin in which the calls that a stop has ended are
// answered.
const endedCallMargin = 200 * time.Millisecond

// endCallsAt ends all calls of callers at a time. They get a refusal that says whether they
// may have run, which a closed connection does not tell.
func (node *Node) endCallsAt(deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() { node.endCalls(errStopped) })
}

// callClass is a class of calls that take about as long: those of one kind to one service.
type callClass struct {
	kind    request.KindName
	service request.ServiceName
}

func (outbound *outboundCall) class() callClass {
	return callClass{kind: outbound.kind.Name, service: outbound.kind.Service}
}

// recordDuration records how long the last attempt of a call took, if its target worked on
// it to the end or until the deadline.
func (node *Node) recordDuration(outbound *outboundCall, attempt *attempt) {
	if attempt.refusal != nil && attempt.refusal.Code != request.DeadlinePassed {
		return
	}
	now := time.Now()
	node.recentCalls.Record(now, outbound.class(), now.Sub(attempt.started))
}

// plannedStop holds the times of a stop that the grace time bounds.
type plannedStop struct {
	// lateFrom is when calls begin to be late: they must end before the stop by their
	// deadlines.
	lateFrom time.Time
	// end is when the calls in flight are ended.
	end time.Time
}

// planStop returns the times of a stop that was requested at a time.
func (node *Node) planStop(requested time.Time) *plannedStop {
	return &plannedStop{
		lateFrom: requested.Add(cmp.Or(node.ForecastTime, node.Linger)),
		end:      requested.Add(node.Grace - stopMargin),
	}
}

// isLate reports whether a call that was read at a time is late.
func (stop *plannedStop) isLate(readAt time.Time) bool {
	return !readAt.Before(stop.lateFrom)
}

// stopSlack returns how much longer than expected a call may take that begins now, before
// the stop ends it. The slack is negative if the stop will probably end the call, or might
// where the call is late.
func (node *Node) stopSlack(now time.Time, stop *plannedStop, outbound *outboundCall) time.Duration {
	repeatable := outbound.kind.Repeat == request.Repeatable
	forecast := drain.Forecast{
		Repeatable: repeatable,
		Late:       stop.isLate(outbound.readAt),
		Bound:      outbound.work.Deadline.Sub(now),
		Objective:  outbound.kind.Objective,
		Recent:     node.recentCalls.Estimate(now, outbound.class(), drain.LateShare(repeatable)),
	}
	return stop.end.Sub(now) - forecast.Duration()
}

// refuseBeforeStop refuses a call that the stop of this node might end. Its caller may send
// it again once the process is back. It has not run, unless an earlier attempt may have.
func (node *Node) refuseBeforeStop(now time.Time, outbound *outboundCall) *web.Refusal {
	stop := node.plannedStop.Load()
	if stop == nil || node.stopSlack(now, stop, outbound) >= 0 {
		return nil
	}
	refusal := web.NewRefusal(request.Stopping, "")
	refusal.RetryAfter = node.timeUntilRestarted(now, stop)
	if outbound.mayHaveRun {
		refusal.Outcome = request.Unknown
	}
	return refusal
}

// timeUntilRestarted returns when the next process will be ready at the latest, if the end
// of this one starts it: after the grace time, and the time that this one took to be ready.
func (node *Node) timeUntilRestarted(now time.Time, stop *plannedStop) time.Duration {
	return stop.end.Add(stopMargin).Sub(now) + time.Duration(node.readyAfter.Load())
}

// noteReady records how long the node took from its start until it was ready.
func (node *Node) noteReady(startedAt, now time.Time) {
	if node.readyAfter.Load() == 0 && node.Ready() {
		node.readyAfter.Store(int64(now.Sub(startedAt)))
	}
}

// refuseBeforeStop refuses an admitted call that the stop of this node might end
// while the target works on it. It may have waited for a slot, or for its claim, since the
// stop began, and goes to another target.
func (inbound *inboundCall) refuseBeforeStop(now time.Time) *web.Refusal {
	stop := inbound.node.plannedStop.Load()
	if stop == nil {
		return nil
	}
	repeatable := inbound.kind.Repeat == request.Repeatable
	forecast := drain.Forecast{
		Repeatable: repeatable,
		Late:       stop.isLate(inbound.readAt),
		Bound:      inbound.work.Deadline.Sub(now),
		Objective:  inbound.objective,
		Recent:     inbound.node.recentRuns.Estimate(now, inbound.kind.Name, drain.LateShare(repeatable)),
	}
	if forecast.Duration() <= stop.end.Sub(now) {
		return nil
	}
	return web.NewRefusal(request.Draining, "the node stops before the target would have answered")
}
