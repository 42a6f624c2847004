package node

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// counters are the node's metrics, with one counter for each refusal code and each
// retry decision.
type counters struct {
	set            *metrics.Set
	outboundCalls  *metrics.Counter
	answers        *metrics.Counter
	inboundCalls   *metrics.Counter
	targetDeaths   *metrics.Counter
	joinedCalls    *metrics.Counter
	inheritedCalls *metrics.Counter
	repeatedCalls  *metrics.Counter
	callDuration   *metrics.Histogram
	quotaWait      *metrics.Histogram
	// departedCallers counts calls whose callers had left before they were sent, and
	// callTransit measures how much longer calls were under way between two nodes than the
	// fastest.
	departedCallers *metrics.Counter
	callTransit     *metrics.Histogram
	// targetCalls counts the calls that were handed to the target, and the others the
	// answers in which it reported about itself.
	targetCalls      *metrics.Counter
	limitedAnswers   *metrics.Counter
	leavingAnswers   *metrics.Counter
	unreadableLimits *metrics.Counter
	refusals         map[request.Code]*metrics.Counter
	targetRefusals   map[request.Code]*metrics.Counter
	retryDecisions   map[retry.Reason]*metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	counters := &counters{
		set:            set,
		outboundCalls:  set.NewCounter("magnoliawall_calls_total"),
		answers:        set.NewCounter("magnoliawall_answers_total"),
		joinedCalls:    set.NewCounter("magnoliawall_joined_calls_total"),
		inheritedCalls: set.NewCounter("magnoliawall_tied_calls_total"),
		repeatedCalls:  set.NewCounter("magnoliawall_calls_of_repeats_total"),
		targetDeaths:   set.NewCounter("magnoliawall_target_deaths_total"),
		inboundCalls:   set.NewCounter("magnoliawall_inbound_calls_total"),
		callDuration:   set.NewHistogram("magnoliawall_call_duration_seconds"),
		quotaWait:      set.NewHistogram("magnoliawall_quota_wait_seconds"),

		departedCallers: set.NewCounter("magnoliawall_departed_callers_total"),
		callTransit:     set.NewHistogram("magnoliawall_call_transit_seconds"),

		targetCalls:      set.NewCounter("magnoliawall_target_calls_total"),
		limitedAnswers:   set.NewCounter(`magnoliawall_target_reports_total{report="limited"}`),
		leavingAnswers:   set.NewCounter(`magnoliawall_target_reports_total{report="leaving"}`),
		unreadableLimits: set.NewCounter(`magnoliawall_target_reports_total{report="unreadable"}`),

		refusals:       make(map[request.Code]*metrics.Counter),
		targetRefusals: make(map[request.Code]*metrics.Counter),
		retryDecisions: make(map[retry.Reason]*metrics.Counter),
	}
	for _, row := range request.Codes {
		counters.refusals[row.Code] = set.NewCounter(refusalMetric("magnoliawall_refusals_total", row))
		counters.targetRefusals[row.Code] = set.NewCounter(refusalMetric("magnoliawall_target_refusals_total", row))
	}
	for reason := range retry.ReasonCount {
		counters.retryDecisions[reason] = set.NewCounter(`magnoliawall_retry_decisions_total{reason="` + reason.String() + `"}`)
	}
	return counters
}

// countReport counts what a target reported about itself in an answer.
func (counters *counters) countReport(reported web.TargetStatus) {
	if reported.Limited {
		counters.limitedAnswers.Inc()
	}
	if reported.Leaving {
		counters.leavingAnswers.Inc()
	}
	if reported.Unreadable != "" {
		counters.unreadableLimits.Inc()
	}
}

func refusalMetric(metric string, row request.CodeDescription) string {
	return metric + `{code="` + strconv.Itoa(int(row.Code)) + `",reason="` + row.Name + `"}`
}

func increment[Key comparable](counters map[Key]*metrics.Counter, key Key) {
	if counter, ok := counters[key]; ok {
		counter.Inc()
	}
}
