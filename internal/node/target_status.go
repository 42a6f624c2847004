package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxUnknownHeaders bounds the names of unknown headers that are remembered.
const maxUnknownHeaders = 16

// targetStatusLog is the last status that the local target reported, and what happened
// under it. It is kept for the log alone.
type targetStatusLog struct {
	lock     sync.Mutex
	instance request.InstanceID
	last     web.TargetStatus
	// second numbers the current second of the clock, in which sent calls went to the
	// target.
	second         int64
	sent           int
	unknownHeaders []string
}

// sendToTarget sends a call to the local target and records what the response says about
// the target.
func (node *Node) sendToTarget(ctx context.Context, local LocalTarget, call web.TargetCall) (*http.Response, error) {
	node.countSent(time.Now(), local)
	response, err := node.Target.Send(ctx, call)
	if err == nil {
		node.recordTargetStatus(local, node.Dialect.TargetStatus(response.Header))
	}
	return response, err
}

// countSent counts a call to the target. While the target states a rate limit, it logs
// the number of calls in each second.
func (node *Node) countSent(now time.Time, local LocalTarget) {
	node.counters.targetCalls.Inc()
	status := &node.statusLog
	status.lock.Lock()
	defer status.lock.Unlock()
	if second := now.Unix(); second != status.second {
		node.logCallsUnderLimit(local, status)
		status.second, status.sent = second, 0
	}
	status.sent++
}

func (node *Node) logCallsUnderLimit(local LocalTarget, status *targetStatusLog) {
	if !status.last.Limited {
		return
	}
	if line := node.Decisions.Line(decision.CallsUnderLimit); line != nil {
		gate := node.admissionControl.state(time.Now(), "")
		line.Str("instance", string(local.Instance)).Float64("limit", float64(status.last.Limit)).Int("sent", status.sent).
			Int("places", gate.effectiveLimit).Int("running", gate.running).Int("waiting", gate.waiting).
			Msg("target: calls of one second under a rate limit")
	}
}

// recordTargetStatus counts and logs what a response says about the target.
func (node *Node) recordTargetStatus(local LocalTarget, reported web.TargetStatus) {
	if reported.Limited {
		node.counters.limitedAnswers.Inc()
	}
	if reported.Leaving {
		node.counters.leavingAnswers.Inc()
	}
	if reported.Unreadable != "" {
		node.counters.unreadableLimits.Inc()
	}
	status := &node.statusLog
	status.lock.Lock()
	defer status.lock.Unlock()
	node.logUnknownHeaders(local, status.addUnknown(reported.UnknownHeaders))
	last := status.last
	changed := local.Instance != status.instance || reported.Leaving != last.Leaving || reported.Limited != last.Limited ||
		reported.Limit != last.Limit || reported.Unreadable != last.Unreadable
	if !changed {
		return
	}
	status.instance, status.last = local.Instance, reported
	if line := node.Decisions.Line(decision.TargetStatusChanged); line != nil {
		line.Str("instance", string(local.Instance)).Bool("leaving", reported.Leaving).Bool("limited", reported.Limited).
			Float64("limit", float64(reported.Limit)).Str("unreadable", reported.Unreadable).Int("sent", status.sent).
			Msg("target: reports another status in its answers")
	}
}

// addUnknown remembers the names of headers and returns those that are new.
func (status *targetStatusLog) addUnknown(names []string) []string {
	var added []string
	for _, name := range names {
		if len(status.unknownHeaders) < maxUnknownHeaders && !slices.Contains(status.unknownHeaders, name) {
			status.unknownHeaders = append(status.unknownHeaders, name)
			added = append(added, name)
		}
	}
	return added
}

func (node *Node) logUnknownHeaders(local LocalTarget, names []string) {
	if len(names) == 0 || node.Logger == nil {
		return
	}
	node.Logger.Warn().Str("instance", string(local.Instance)).Strs("headers", names).
		Msg("target: reports about itself in headers that are not known; nothing follows from them")
}
