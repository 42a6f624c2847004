package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// busyGate has all slots taken and some calls waiting, with levels heard from
// every service of the target size.
func busyGate() (*admission.Gate, *loop) {
	levels := &admission.Levels{}
	for _, name := range serviceNames {
		levels.Learn(name, "agenda/checklist", 10, epoch)
	}
	gate := &admission.Gate{Slots: 50, Warm: true, Below: levels}
	traffic := &loop{gate: gate, levels: levels, now: epoch}
	for range 60 {
		traffic.arrive()
	}
	for range 4096 {
		traffic.turn()
	}
	return gate, traffic
}

// loop keeps a gate at a steady load: each turn ends one call and brings one.
type loop struct {
	gate    *admission.Gate
	levels  *admission.Levels
	now     time.Time
	next    request.CallID
	running []request.CallID
	notices []admission.Notice
}

func (l *loop) arrive() {
	l.next++
	work := request.Work{
		Call:     l.next,
		RootKind: "agenda/checklist",
		Kind:     "agenda/checklist",
		Priority: request.NewPriority(2, request.Bucket(l.next%request.BucketCount)),
		Deadline: l.now.Add(time.Second),
	}
	decision, notices := l.gate.Arrive(l.now, work, l.notices[:0])
	if decision.Verdict == admission.Admit {
		l.running = append(l.running, l.next)
	}
	l.keep(notices)
}

func (l *loop) keep(notices []admission.Notice) {
	l.notices = notices
	for _, notice := range notices {
		if notice.Decision.Verdict == admission.Admit {
			l.running = append(l.running, notice.Call)
		}
	}
}

func (l *loop) turn() {
	l.now = l.now.Add(200 * time.Microsecond)
	if len(l.running) > 0 {
		ended := l.running[0]
		l.running = append(l.running[:0], l.running[1:]...)
		sample := admission.Sample{Latency: 10 * time.Millisecond, Result: admission.Succeeded}
		l.keep(l.gate.Finish(l.now, ended, sample, l.notices[:0]))
	}
	l.arrive()
	if l.next%50 == 0 {
		l.keep(l.gate.Tick(l.now, l.notices[:0]))
	}
	_ = l.gate.Level("agenda/checklist", l.now)
	l.levels.Learn(serviceNames[l.next%20], "agenda/checklist", 10, l.now)
	_ = l.levels.Refuses(serviceNames[l.next%20], request.Work{RootKind: "agenda/checklist"}, l.now)
}

var serviceNames = names(110)

func names(count int) []request.ServiceName {
	made := make([]request.ServiceName, count)
	for index := range made {
		made[index] = request.ServiceName("service-" + string(rune('a'+index/26)) + string(rune('a'+index%26)))
	}
	return made
}

func TestDecisionsAllocateNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, traffic := busyGate()
	expect.Expect(testing.AllocsPerRun(2000, traffic.turn)).To(gomega.BeZero())
}

// BenchmarkCall takes all decisions on admission of one call, and every 50
// calls a tick.
func BenchmarkCall(b *testing.B) {
	_, traffic := busyGate()
	b.ReportAllocs()
	for b.Loop() {
		traffic.turn()
	}
}

// BenchmarkLevels asks and learns at a node that calls every service.
func BenchmarkLevels(b *testing.B) {
	_, traffic := busyGate()
	work := request.Work{RootKind: "agenda/checklist", Priority: 300}
	index := 0
	b.ReportAllocs()
	for b.Loop() {
		index = (index + 1) % len(serviceNames)
		traffic.levels.Learn(serviceNames[index], work.RootKind, 10, traffic.now)
		_ = traffic.levels.Refuses(serviceNames[index], work, traffic.now)
	}
}
