package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// newBusyGate returns a gate with all slots taken, some calls queued and levels
// received from every service in serviceNames, and the load on it.
func newBusyGate() (*admission.Gate, *steadyLoad) {
	levels := &admission.Levels{}
	for _, name := range serviceNames {
		levels.RecordLevel(name, "agenda/checklist", 10, epoch)
	}
	gate := &admission.Gate{Slots: 50, Warm: true, Downstream: levels}
	load := &steadyLoad{gate: gate, levels: levels, now: epoch}
	for range 60 {
		load.arrive()
	}
	for range 4096 {
		load.replaceCall()
	}
	return gate, load
}

// steadyLoad keeps a gate at a steady load: each call that ends is replaced by a
// new one.
type steadyLoad struct {
	gate     *admission.Gate
	levels   *admission.Levels
	now      time.Time
	lastCall request.CallID
	running  []request.CallID
	notices  []admission.Notice
}

func (load *steadyLoad) arrive() {
	load.lastCall++
	work := request.Work{
		Call:     load.lastCall,
		RootKind: "agenda/checklist",
		Kind:     "agenda/checklist",
		Priority: request.NewPriority(2, request.Bucket(load.lastCall%request.BucketCount)),
		Deadline: load.now.Add(time.Second),
	}
	decision, notices := load.gate.Arrive(load.now, work, load.notices[:0])
	if decision.Verdict == admission.Admit {
		load.running = append(load.running, load.lastCall)
	}
	load.applyNotices(notices)
}

func (load *steadyLoad) applyNotices(notices []admission.Notice) {
	load.notices = notices
	for _, notice := range notices {
		if notice.Decision.Verdict == admission.Admit {
			load.running = append(load.running, notice.Call)
		}
	}
}

func (load *steadyLoad) replaceCall() {
	load.now = load.now.Add(200 * time.Microsecond)
	if len(load.running) > 0 {
		ended := load.running[0]
		load.running = append(load.running[:0], load.running[1:]...)
		sample := admission.Sample{Latency: 10 * time.Millisecond, Result: admission.Succeeded}
		load.applyNotices(load.gate.Finish(load.now, ended, sample, load.notices[:0]))
	}
	load.arrive()
	if load.lastCall%50 == 0 {
		load.applyNotices(load.gate.Tick(load.now, load.notices[:0]))
	}
	_ = load.gate.Level("agenda/checklist", load.now)
	load.levels.RecordLevel(serviceNames[load.lastCall%20], "agenda/checklist", 10, load.now)
	_ = load.levels.Refuses(serviceNames[load.lastCall%20], request.Work{RootKind: "agenda/checklist"}, load.now)
}

var serviceNames = makeServiceNames(110)

func makeServiceNames(count int) []request.ServiceName {
	names := make([]request.ServiceName, count)
	for index := range names {
		names[index] = request.ServiceName("service-" + string(rune('a'+index/26)) + string(rune('a'+index%26)))
	}
	return names
}

func TestDecisionsAllocateNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, load := newBusyGate()
	expect.Expect(testing.AllocsPerRun(2000, load.replaceCall)).To(gomega.BeZero())
}

// BenchmarkCall measures all admission decisions for one call, with a tick every
// 50 calls.
func BenchmarkCall(b *testing.B) {
	_, load := newBusyGate()
	b.ReportAllocs()
	for b.Loop() {
		load.replaceCall()
	}
}

// BenchmarkLevels measures recording and checking a level on a node that calls
// every service.
func BenchmarkLevels(b *testing.B) {
	_, load := newBusyGate()
	work := request.Work{RootKind: "agenda/checklist", Priority: 300}
	index := 0
	b.ReportAllocs()
	for b.Loop() {
		index = (index + 1) % len(serviceNames)
		load.levels.RecordLevel(serviceNames[index], work.RootKind, 10, load.now)
		_ = load.levels.Refuses(serviceNames[index], work, load.now)
	}
}
