package quarantine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const poison request.Fingerprint = 666

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newGuard(node request.NodeID, domain request.DomainName) *quarantine.Guard {
	return &quarantine.Guard{Crash: quarantine.Crash{Node: node, Domain: domain, Incarnation: 1}}
}

func newCrashReport(node request.NodeID, domain request.DomainName, fingerprints ...request.Fingerprint) quarantine.Report {
	return quarantine.Report{
		Event:        quarantine.TargetCrashed,
		Crash:        quarantine.Crash{Node: node, Domain: domain, Incarnation: 1},
		Fingerprints: fingerprints,
	}
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	guard := newGuard("a", "norte-1")
	guard.Apply(start, newCrashReport("b", "norte-1", poison))
	ticket := quarantine.Ticket(0)
	b.ReportAllocs()
	for b.Loop() {
		ticket++
		fingerprint := request.Fingerprint(ticket)
		guard.Decide(start, fingerprint)
		guard.Admit(start, fingerprint, ticket)
		guard.Finish(start, ticket, true)
	}
}

func TestUnrestrictedRequestDoesNotAllocate(t *testing.T) {
	guard := newGuard("a", "norte-1")
	guard.Apply(start, newCrashReport("b", "norte-1", poison))
	ticket := quarantine.Ticket(0)
	run := func() {
		ticket++
		guard.Decide(start, request.Fingerprint(ticket))
		guard.Admit(start, request.Fingerprint(ticket), ticket)
		guard.Finish(start, ticket, true)
	}
	for range 40000 {
		run()
	}
	gomega.NewWithT(t).Expect(testing.AllocsPerRun(1000, run)).To(gomega.BeZero())
}
