package schedlag_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/schedlag"
)

const interval = 10 * time.Millisecond

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newPunctualMonitor returns a monitor whose ticks were on time until noon.
func newPunctualMonitor() *schedlag.Monitor {
	monitor := &schedlag.Monitor{Interval: interval}
	for at := -10 * interval; at <= 0; at += interval {
		monitor.RecordTick(noon.Add(at))
	}
	return monitor
}

func TestNoLagWhileTicksAreOnTime(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	expect((&schedlag.Monitor{Interval: interval}).Lag(noon)).To(gomega.BeZero(), "before the first tick")
	expect(newPunctualMonitor().Lag(noon.Add(interval))).To(gomega.BeZero())
}

func TestOverdueTickCountsAsLag(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	monitor := newPunctualMonitor()
	expect(monitor.Lag(noon.Add(interval + 300*time.Millisecond))).To(gomega.Equal(300 * time.Millisecond))
	monitor.RecordTick(noon.Add(interval + 400*time.Millisecond))
	expect(monitor.Lag(noon.Add(interval + 400*time.Millisecond))).To(gomega.Equal(400 * time.Millisecond))
}

// A process that permanently lacks processor time has a lasting lag. After a single
// pause the lag must be gone soon.
func TestLagLastsWhileTicksAreLate(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	monitor, now := newPunctualMonitor(), noon
	for range 20 {
		now = now.Add(interval + 200*time.Millisecond)
		monitor.RecordTick(now)
		expect(monitor.Lag(now)).To(gomega.BeNumerically(">=", 200*time.Millisecond))
	}
	now = now.Add(4 * time.Second)
	for range 12 {
		monitor.RecordTick(now)
		now = now.Add(interval)
	}
	expect(monitor.Lag(now)).To(gomega.BeNumerically("<", 100*time.Millisecond), "a tenth of a second after a pause of four seconds")
}
