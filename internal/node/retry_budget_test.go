package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// retriesLeft uses up the retries that a budget allows and counts them.
func retriesLeft(retries *serviceRetries) int {
	policy, account := retry.Policy{}, retry.Account{Remaining: 1000}
	now := time.Unix(1_000, 0)
	attempt := retry.Attempt{MaxRetries: 1, Important: true, Code: request.Overloaded, Deadline: now.Add(time.Minute)}
	count := 0
	for policy.Decide(now, attempt, &account, &retries.budget).Reason == retry.Allowed {
		count++
	}
	return count
}

// Successful calls earn retries at the share of the configuration in force, not at
// the default of the retry package.
func TestRetryBudgetUsesConfiguredShare(t *testing.T) {
	g := gomega.NewWithT(t)
	retries := &serviceRetries{}
	retriesLeft(retries)
	for range 8 {
		retries.noteSuccess(0.5)
	}
	g.Expect(retriesLeft(retries)).To(gomega.Equal(4))
}

// windowedTable is a table whose budget allows ten repeats of a hundred calls.
func windowedTable() *retryTable {
	return &retryTable{budget: retry.Budget{Share: 0.1, Burst: 0.001, Window: 10 * time.Second}}
}

// The calls that the local target makes for a repeated request are counted as repeats of
// the service that they go to, and its callers are told how much is spent.
func TestCallsOfRepeatedRequestsSpendTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	node := &Node{retryTable: *windowedTable(), counters: newCounters()}
	lookup := &configuration.CompiledKind{Name: "route/lookup", Service: "consumo", Routed: true}
	node.entry.reportedEntryKinds = map[request.KindName]bool{lookup.Name: false}
	call := func(parent *activeRequest) *outboundCall {
		outbound := &outboundCall{kind: lookup, likelyParent: parent, serviceRetries: node.retryTable.forService("consumo")}
		node.noteCall(outbound, now)
		return outbound
	}
	for range 100 {
		g.Expect(call(&activeRequest{}).inherited).To(gomega.BeFalse())
	}
	g.Expect(node.retryTable.spentByTarget(now)).To(gomega.BeZero())
	for range 5 {
		g.Expect(call(&activeRequest{repeat: true}).inherited).To(gomega.BeTrue())
	}
	g.Expect(node.retryTable.spentByTarget(now)).To(gomega.BeNumerically("~", 0.5, 0.01))
}

// A call without a likely parent counts as a repeat as often as the requests that the
// target works on are repeats.
func TestCallWithoutParentInheritsByShare(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{}
	leaveFirst := node.repeats.enter(true)
	g.Expect(node.inheritsRepeat(&outboundCall{})).To(gomega.BeTrue(), "all requests are repeats")
	leaveSecond := node.repeats.enter(false)
	g.Expect(node.repeats.share()).To(gomega.Equal(0.5))
	leaveFirst()
	g.Expect(node.inheritsRepeat(&outboundCall{})).To(gomega.BeFalse(), "none is")
	leaveSecond()
	g.Expect(node.repeats.share()).To(gomega.BeZero())
}

// What a service reports as spent below it holds back retries to it, until the report is
// old. Only the services that the local target uses count for what this node reports.
func TestSpentBudgetIsPassedUpTheTree(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	table := windowedTable()
	used, other := table.forService("evidencia"), table.forService("agenda")
	used.noteUse(now)
	used.noteSpentBelow(now, 0.7)
	other.noteSpentBelow(now, 0.9)
	g.Expect(table.spentByTarget(now)).To(gomega.BeNumerically("~", 0.63, 0.001))
	g.Expect(used.currentSpentBelow(now)).To(gomega.Equal(0.7))
	later := now.Add(3 * time.Second)
	g.Expect(used.currentSpentBelow(later)).To(gomega.BeZero())
	used.noteSpentBelow(later, 0.7)
	g.Expect(table.spentByTarget(later)).To(gomega.BeZero(), "the target has not called the service lately")
}

// Two services whose targets call each other pass on what the other reports. Once their
// own budgets have recovered, the value must decay.
func TestReportedBudgetDecaysInCycle(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	tables := [2]*retryTable{windowedTable(), windowedTable()}
	spent := 1.0
	for exchange := range 100 {
		now = now.Add(10 * time.Millisecond)
		retries := tables[exchange%2].forService("other")
		retries.noteUse(now)
		retries.noteSpentBelow(now, spent)
		spent = tables[exchange%2].spentByTarget(now)
	}
	g.Expect(spent).To(gomega.BeNumerically("<", 0.001))
}

// A node that refuses a call before it knows its kind reports nothing of that kind. What
// the caller's node has learned of the kind stays.
func TestReportOfEarlyRefusalIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	node := &Node{retryTable: *windowedTable()}
	visit := &configuration.CompiledKind{Name: "route/visit", Service: "agenda", Routed: true}
	outbound := &outboundCall{kind: visit, serviceRetries: node.retryTable.forService("agenda")}
	node.learnReport(now, outbound, &peerpb.Report{Routed: true, Enters: true, RepeatsSpent: 600})
	node.learnReport(now, outbound, &peerpb.Report{Draining: true})
	g.Expect(node.entry.fromOutside(visit.Name)).To(gomega.BeTrue())
	g.Expect(node.entry.fromTargets(visit.Name)).To(gomega.BeFalse())
	g.Expect(outbound.serviceRetries.currentSpentBelow(now)).To(gomega.Equal(0.6))
}
