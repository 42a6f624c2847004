package node

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
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

// sendToTarget sends a call to the local target and applies what the response says about
// the target.
func (node *Node) sendToTarget(ctx context.Context, local LocalTarget, call web.TargetCall) (*http.Response, error) {
	node.countSent(time.Now(), local)
	// A call may wait for a connection before it is written.
	handedAt, setHeaders := time.Time{}, call.BeforeWrite
	call.BeforeWrite = func(headers http.Header) {
		handedAt = time.Now()
		if setHeaders != nil {
			setHeaders(headers)
		}
	}
	response, err := node.Target.Send(ctx, call)
	if err == nil {
		node.applyTargetStatus(local, handedAt, node.Dialect.TargetStatus(response))
	}
	return response, err
}

// sendHealthCheck sends a health check to the local target. A response that states no
// limit does not end one: targets need to state it in the answers to calls only.
func (node *Node) sendHealthCheck(ctx context.Context, local LocalTarget, path string) (*http.Response, error) {
	node.admissionControl.spendRate(time.Now())
	node.countSent(time.Now(), local)
	response, err := node.Target.Send(ctx, web.TargetCall{Method: http.MethodGet, Path: path, Host: string(local.Service), Headers: http.Header{}})
	if err != nil {
		return nil, err
	}
	if reported := node.Dialect.TargetStatus(response); node.concernsRun(local, reported) {
		node.applyLeaving(local, reported)
		if reported.Limited {
			node.recordRate(local, admission.RateStatement{Limited: true, Limit: reported.Limit})
		}
	}
	return response, nil
}

// applyTargetStatus applies what the answer to a call says about a run of the target.
func (node *Node) applyTargetStatus(local LocalTarget, handedAt time.Time, reported web.TargetStatus) {
	if !node.concernsRun(local, reported) {
		return
	}
	node.logTargetStatus(local, reported)
	node.applyLeaving(local, reported)
	if reported.Limited || reported.Unreadable == "" {
		node.recordRate(local, admission.RateStatement{Limited: reported.Limited, Limit: reported.Limit, HandedAt: handedAt})
	}
}

// recordRate applies what a run of the target states about its rate limit, unless another
// run has become the current one meanwhile.
func (node *Node) recordRate(local LocalTarget, stated admission.RateStatement) {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	if node.LocalTarget().sameRun(local) {
		node.admissionControl.recordRate(time.Now(), stated)
	}
}

// concernsRun reports whether a response to a run of the target is from that run, and the
// run is the current one.
func (node *Node) concernsRun(local LocalTarget, reported web.TargetStatus) bool {
	otherInstance := reported.OtherInstance || reported.Instance != "" && reported.Instance != local.Instance
	return !otherInstance && node.LocalTarget().sameRun(local)
}

func (node *Node) applyLeaving(local LocalTarget, reported web.TargetStatus) {
	if reported.Leaving {
		node.recordLeaving(local, "stated in an answer")
	}
}

// recordLeaving stops calls to a run of the target that is leaving.
func (node *Node) recordLeaving(local LocalTarget, reason string) {
	if !node.markLeaving(local) {
		return
	}
	if node.Logger != nil {
		node.Logger.Info().Str("instance", string(local.Instance)).Str("reason", reason).Msg("target: is leaving and gets no more calls")
	}
	if node.OnTargetLeaving != nil {
		go node.OnTargetLeaving(local)
	}
}

// adoptKnownStatus applies what the target told a caller's node before this node started.
func (node *Node) adoptKnownStatus(known *peerpb.TargetStatus) {
	local := LocalTarget{Instance: request.InstanceID(known.GetInstance()), StartMillis: presence.StartMillis(known.GetStartMs())}
	if known == nil || !node.LocalTarget().sameRun(local) {
		return
	}
	// Runs without a name cannot be told apart, and a later one does not leave.
	if known.GetLeaving() && local.Instance != "" {
		node.recordLeaving(local, "reported by a caller's node")
	}
	if known.GetLimited() && known.GetLimit() >= 0 {
		node.adoptRate(local, request.Rate(known.GetLimit()))
	}
}

func (node *Node) adoptRate(local LocalTarget, limit request.Rate) {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	if node.LocalTarget().sameRun(local) {
		node.admissionControl.adoptRate(time.Now(), limit)
	}
}

// knownStatus is the status of the local target for the caller's node, or nil where it is
// neither limited nor leaving and the caller's node does not believe that it is.
func (inbound *inboundCall) knownStatus() *peerpb.TargetStatus {
	local, rate := inbound.node.LocalTarget(), inbound.node.admissionControl.rate(time.Now())
	believed := inbound.peerCall.Header.GetKnownTarget()
	if !rate.Limited && !local.Leaving && (believed == nil || !rate.Heard) {
		return nil
	}
	return &peerpb.TargetStatus{
		Instance: string(local.Instance),
		StartMs:  int64(local.StartMillis),
		Leaving:  local.Leaving,
		Limited:  rate.Limited,
		Limit:    float64(rate.Limit),
	}
}

// RestrictedTarget returns the restriction that the local target states, or nil.
func (node *Node) RestrictedTarget(now time.Time) *distribution.RestrictedTarget {
	local, rate := node.LocalTarget(), node.admissionControl.rate(now)
	if !rate.Limited && !local.Leaving {
		return nil
	}
	return &distribution.RestrictedTarget{
		Leaving: local.Leaving,
		Limited: rate.Limited,
		Limit:   rate.Limit,
		Age:     rate.Age,
		Refused: node.counters.targetRefusals[request.RateLimited].Get(),
	}
}

// addTargetGauges adds the metrics of what the local target states about itself.
func (node *Node) addTargetGauges() {
	rate := func() admission.RateState { return node.admissionControl.rate(time.Now()) }
	node.counters.set.NewGauge("magnoliawall_target_rate_limit", func() float64 {
		if state := rate(); state.Limited {
			return float64(state.Limit)
		}
		return math.Inf(1)
	})
	node.counters.set.NewGauge("magnoliawall_target_rate_limit_age_seconds", func() float64 { return rate().Age.Seconds() })
	node.counters.set.NewGauge("magnoliawall_target_leaving", func() float64 {
		if node.LocalTarget().Leaving {
			return 1
		}
		return 0
	})
}

// countSent counts a call to the target. While a rate limit is in force, it logs the number
// of calls in each second with some.
func (node *Node) countSent(now time.Time, local LocalTarget) {
	node.counters.targetCalls.Inc()
	status := &node.statusLog
	status.lock.Lock()
	defer status.lock.Unlock()
	if second := now.Unix(); second != status.second {
		node.logCallsUnderLimit(now, local, status)
		status.second, status.sent = second, 0
	}
	status.sent++
}

func (node *Node) logCallsUnderLimit(now time.Time, local LocalTarget, status *targetStatusLog) {
	gate := node.admissionControl.state(now, "")
	if !gate.rate.Limited {
		return
	}
	if line := node.Decisions.Line(decision.CallsUnderLimit); line != nil {
		line.Str("instance", string(local.Instance)).Float64("limit", float64(gate.rate.Limit)).Int("sent", status.sent).
			Bool("stated", status.last.Limited).Float64("stated-limit", float64(status.last.Limit)).
			Int("places", gate.effectiveLimit).Int("running", gate.running).Int("waiting", gate.waiting).Dur("wait", gate.rate.Wait).
			Msg("target: calls of one second under a rate limit")
	}
}

// logTargetStatus counts and logs what a response says about the target.
func (node *Node) logTargetStatus(local LocalTarget, reported web.TargetStatus) {
	node.counters.countReport(reported)
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
