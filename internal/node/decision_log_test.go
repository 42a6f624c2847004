package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A refusal before the deadline of a call was read is logged like any other: the zero
// deadline must not give a duration that the logger cannot write.
func TestRefusalWithoutDeadlineIsLogged(t *testing.T) {
	output := &bytes.Buffer{}
	node := &Node{
		Decisions:        &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}}},
		admissionControl: newAdmissionControl(1),
	}
	inbound := &inboundCall{node: node, peerCall: &peer.Inbound{Header: &peerpb.CallHeader{RequestId: "r-1"}}}
	inbound.logRefusal(web.NewRefusal(request.Draining, ""))
	gomega.NewWithT(t).Expect(output.String()).To(gomega.ContainSubstring(`"request":"r-1"`))
}

// Each change of the headroom is logged once, with the number before it.
func TestHeadroomChangeIsLoggedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	output := &bytes.Buffer{}
	node := &Node{
		Decisions:        &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}}},
		admissionControl: newAdmissionControl(20),
	}
	for range 3 {
		node.tickGate(time.Unix(1_000, 0))
	}
	g.Expect(strings.Count(output.String(), "\n")).To(gomega.Equal(1))
	g.Expect(output.String()).To(gomega.ContainSubstring(`"slots":20,"free":1,"free-before":0`))
}

// The log line of a call names its likely parent only if there is one.
func TestCallLogNamesLikelyParent(t *testing.T) {
	g := gomega.NewWithT(t)
	output := &bytes.Buffer{}
	node := &Node{Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}}}}
	outbound := &outboundCall{requestID: "r-2", kind: &configuration.CompiledKind{}}
	failed := &attempt{refusal: web.NewRefusal(request.Overloaded, "")}
	node.logCallEnd(outbound, failed)
	g.Expect(output.String()).NotTo(gomega.ContainSubstring("parent"))
	outbound.likelyParent = &activeRequest{id: "r-1"}
	node.logCallEnd(outbound, failed)
	g.Expect(output.String()).To(gomega.ContainSubstring(`"parent":"r-1"`))
}

// A failed attempt is logged with what is spent of the retry budget, at the service and
// below it, since both decide whether it is repeated.
func TestFailedAttemptIsLoggedWithSpentBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	output := &bytes.Buffer{}
	node := &Node{Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}}}, retryTable: *windowedTable()}
	outbound := &outboundCall{kind: &configuration.CompiledKind{Name: "route/lookup"}, serviceRetries: node.retryTable.forService("consumo")}
	outbound.serviceRetries.noteSpentBelow(time.Now(), 0.25)
	failed := &attempt{refusal: web.NewRefusal(request.Overloaded, "")}
	node.logRetry(outbound, failed, 0, retry.Decision{Reason: retry.BudgetSpent})
	g.Expect(output.String()).To(gomega.ContainSubstring(`"budget-spent":0,"budget-spent-below":0.25,"decision":"edge-spent"`))
}

// A call that was under way for long is logged when it is handed to the target, and one
// that was not is only measured.
func TestLateCallIsLogged(t *testing.T) {
	output := &bytes.Buffer{}
	node := &Node{
		Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}}},
		counters:  newCounters(),
	}
	for _, transit := range []time.Duration{minLoggedTransit - 1, minLoggedTransit} {
		inbound := &inboundCall{node: node, peerCall: &peer.Inbound{Header: &peerpb.CallHeader{RequestId: transit.String()}, Waited: transit}}
		inbound.noteTransit(time.Now())
	}
	g := gomega.NewWithT(t)
	g.Expect(strings.Count(output.String(), "\n")).To(gomega.Equal(1))
	g.Expect(output.String()).To(gomega.ContainSubstring(`"transit":100`))
	metrics := &bytes.Buffer{}
	node.counters.set.WritePrometheus(metrics)
	g.Expect(metrics.String()).To(gomega.ContainSubstring("magnoliawall_call_transit_seconds_count 2"))
}
