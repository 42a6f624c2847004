package quarantine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	poison   request.Fingerprint = 666
	innocent request.Fingerprint = 1
	bystand  request.Fingerprint = 2
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newGuard(node request.NodeID, domain request.DomainName) *quarantine.Guard {
	return &quarantine.Guard{Crash: quarantine.Crash{Node: node, Domain: domain, Incarnation: 1}}
}

func crash(node request.NodeID, domain request.DomainName, members ...request.Fingerprint) quarantine.Report {
	return quarantine.Report{
		Event:        quarantine.Crashed,
		Crash:        quarantine.Crash{Node: node, Domain: domain, Incarnation: 1},
		Fingerprints: members,
	}
}

func TestOnlyCommonMemberOfTwoCrashesIsRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("sender", "norte-1")
	guard.Apply(start, crash("a", "norte-1", poison, innocent))
	guard.Apply(start, crash("a", "norte-1", poison, innocent))
	expect.Expect(guard.Judge(start, poison).Verdict).To(gomega.Equal(quarantine.Alone))
	guard.Apply(start, crash("b", "norte-1", poison, bystand))
	expect.Expect(guard.Judge(start, poison).Verdict).To(gomega.Equal(quarantine.Refused))
	expect.Expect(guard.Judge(start, innocent).Verdict).To(gomega.Equal(quarantine.Alone))
	expect.Expect(guard.Judge(start, bystand).Verdict).To(gomega.Equal(quarantine.Alone))
	expect.Expect(guard.Judge(start, 3).Verdict).To(gomega.Equal(quarantine.Free))
}

func TestSeveralCommonMembersAreToldApartElsewhere(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("sender", "norte-1")
	guard.Apply(start, crash("a", "norte-1", poison, innocent))
	guard.Apply(start, crash("b", "norte-1", poison, innocent))
	ruling := guard.Judge(start, poison)
	expect.Expect(ruling.Verdict).To(gomega.Equal(quarantine.Elsewhere))
	expect.Expect(ruling.Domains).To(gomega.ConsistOf(request.DomainName("norte-1")))
	guard.Apply(start, quarantine.Report{Event: quarantine.Finished, Fingerprints: []request.Fingerprint{innocent}})
	expect.Expect(guard.Judge(start, innocent).Verdict).To(gomega.Equal(quarantine.Free))
	expect.Expect(guard.Judge(start, poison).Verdict).To(gomega.Equal(quarantine.Refused))
}

func TestThirdCrashElsewhereSettlesWhoItWas(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("sender", "norte-1")
	guard.Apply(start, crash("a", "norte-1", poison, innocent))
	guard.Apply(start, crash("b", "norte-1", poison, innocent))
	guard.Apply(start, crash("c", "norte-2", poison))
	expect.Expect(guard.Judge(start, poison).Verdict).To(gomega.Equal(quarantine.Refused))
	expect.Expect(guard.Judge(start, innocent).Verdict).To(gomega.Equal(quarantine.Elsewhere))
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("b", "norte-1")
	guard.Apply(start, crash("a", "norte-1", poison, innocent))
	expect.Expect(guard.Admit(start, innocent, 1)).To(gomega.Equal(quarantine.Run))
	expect.Expect(guard.Admit(start, poison, 2)).To(gomega.Equal(quarantine.Wait))
	expect.Expect(guard.Admit(start, bystand, 3)).To(gomega.Equal(quarantine.Run))
	expect.Expect(guard.Finish(start, 3, true)).To(gomega.BeEmpty())
	expect.Expect(guard.Finish(start, 1, true)).To(gomega.ConsistOf(quarantine.Ticket(2)))
	expect.Expect(guard.Judge(start, innocent).Verdict).To(gomega.Equal(quarantine.Free))
	expect.Expect(guard.Reports()).To(gomega.HaveLen(1))
	expect.Expect(guard.Admit(start, poison, 2)).To(gomega.Equal(quarantine.Run))
	expect.Expect(guard.Admit(start, poison, 4)).To(gomega.Equal(quarantine.Wait))
	report, _ := guard.TargetDied(start, 2)
	expect.Expect(report.Fingerprints).To(gomega.ConsistOf(poison))
	expect.Expect(guard.Waiting()).To(gomega.ConsistOf(quarantine.Ticket(4)))
	expect.Expect(guard.Admit(start, poison, 4)).To(gomega.Equal(quarantine.Refuse))
	expect.Expect(guard.Finish(start, 2, false)).To(gomega.BeEmpty())
}

func TestRequestThatJustCompletedIsNoSuspectOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("a", "norte-1")
	guard.Admit(start, innocent, 1)
	guard.Finish(start, 1, true)
	guard.Admit(start, innocent, 2)
	guard.Admit(start, poison, 3)
	report, _ := guard.TargetDied(start, 3)
	expect.Expect(report.Fingerprints).To(gomega.ConsistOf(poison))
	guard.Admit(start, innocent, 4)
	report, _ = guard.TargetDied(start, 4)
	expect.Expect(report.Fingerprints).To(gomega.ConsistOf(innocent))
}

func TestOneDeathIsCountedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("a", "norte-1")
	guard.Admit(start, poison, 1)
	guard.Admit(start, innocent, 2)
	_, first := guard.TargetDied(start, 1)
	guard.Admit(start, innocent, 3)
	_, second := guard.TargetDied(start, 2)
	expect.Expect(first).To(gomega.BeTrue())
	expect.Expect(second).To(gomega.BeFalse())
	expect.Expect(guard.Judge(start, innocent).Verdict).To(gomega.Equal(quarantine.Alone))
}

func TestRequestWithoutFingerprintIsNoSuspect(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("a", "norte-1")
	guard.Admit(start, 0, 1)
	report, ok := guard.TargetDied(start, 1)
	expect.Expect(ok).To(gomega.BeTrue())
	expect.Expect(report.Fingerprints).To(gomega.BeEmpty())
}

func TestReportThatComesAgainLengthensNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard := newGuard("sender", "norte-1")
	guard.SetHold(10 * time.Second)
	guard.Apply(start, crash("a", "norte-1", innocent))
	guard.Apply(start.Add(5*time.Second), crash("a", "norte-1", innocent))
	expect.Expect(guard.Judge(start.Add(10*time.Second-1), innocent).Verdict).To(gomega.Equal(quarantine.Alone))
	expect.Expect(guard.Judge(start.Add(10*time.Second), innocent).Verdict).To(gomega.Equal(quarantine.Free))
}

func TestResendKeepsTheHoldUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	guard, other := newGuard("sender", "norte-1"), newGuard("other", "norte-1")
	for _, node := range []*quarantine.Guard{guard, other} {
		node.Apply(start, crash("a", "norte-1", poison))
		node.Apply(start, crash("b", "norte-1", poison))
	}
	now := start
	for range 10 {
		now = now.Add(quarantine.DefaultHold - time.Second)
		expect.Expect(guard.Judge(now, poison).Verdict).To(gomega.Equal(quarantine.Refused))
		for _, report := range guard.Reports() {
			other.Apply(now, report)
		}
	}
	expect.Expect(other.Quarantined(now)).To(gomega.Equal(1))
	now = now.Add(quarantine.DefaultHold)
	guard.Expire(now)
	expect.Expect(guard.Judge(now, poison).Verdict).To(gomega.Equal(quarantine.Free))
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	guard := newGuard("a", "norte-1")
	guard.Apply(start, crash("b", "norte-1", poison))
	ticket := quarantine.Ticket(0)
	b.ReportAllocs()
	for b.Loop() {
		ticket++
		fingerprint := request.Fingerprint(ticket)
		guard.Judge(start, fingerprint)
		guard.Admit(start, fingerprint, ticket)
		guard.Finish(start, ticket, true)
	}
}

func TestFreeRequestAllocatesNothing(t *testing.T) {
	guard := newGuard("a", "norte-1")
	guard.Apply(start, crash("b", "norte-1", poison))
	ticket := quarantine.Ticket(0)
	run := func() {
		ticket++
		guard.Judge(start, request.Fingerprint(ticket))
		guard.Admit(start, request.Fingerprint(ticket), ticket)
		guard.Finish(start, ticket, true)
	}
	for range 40000 {
		run()
	}
	gomega.NewWithT(t).Expect(testing.AllocsPerRun(1000, run)).To(gomega.BeZero())
}
