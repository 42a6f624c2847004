package node

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// counters are the node's metrics: one for each refusal and retry reason among
// them.
type counters struct {
	set      *metrics.Set
	calls    *metrics.Counter
	answers  *metrics.Counter
	inbound  *metrics.Counter
	deaths   *metrics.Counter
	joins    *metrics.Counter
	tied     *metrics.Counter
	duration *metrics.Histogram
	refusals map[request.Code]*metrics.Counter
	below    map[request.Code]*metrics.Counter
	retries  map[retry.Reason]*metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	co := &counters{
		set:      set,
		calls:    set.NewCounter("magnoliawall_calls_total"),
		answers:  set.NewCounter("magnoliawall_answers_total"),
		joins:    set.NewCounter("magnoliawall_joined_calls_total"),
		tied:     set.NewCounter("magnoliawall_tied_calls_total"),
		deaths:   set.NewCounter("magnoliawall_target_deaths_total"),
		inbound:  set.NewCounter("magnoliawall_inbound_calls_total"),
		duration: set.NewHistogram("magnoliawall_call_duration_seconds"),
		refusals: make(map[request.Code]*metrics.Counter),
		below:    make(map[request.Code]*metrics.Counter),
		retries:  make(map[retry.Reason]*metrics.Counter),
	}
	for _, row := range request.Rows {
		co.refusals[row.Code] = set.NewCounter(refusalName("magnoliawall_refusals_total", row))
		co.below[row.Code] = set.NewCounter(refusalName("magnoliawall_target_refusals_total", row))
	}
	for reason := range retry.ReasonCount {
		co.retries[reason] = set.NewCounter(`magnoliawall_retry_decisions_total{reason="` + reason.String() + `"}`)
	}
	return co
}

func refusalName(metric string, row request.Row) string {
	return metric + `{code="` + strconv.Itoa(int(row.Code)) + `",reason="` + row.Name + `"}`
}

func count[Key comparable](counters map[Key]*metrics.Counter, key Key) {
	if counter, ok := counters[key]; ok {
		counter.Inc()
	}
}
