package pulse_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/pulse"
)

const interval = 10 * time.Millisecond

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newPunctualPulse returns a pulse whose beats were on time until noon.
func newPunctualPulse() *pulse.Pulse {
	beats := &pulse.Pulse{Interval: interval}
	for at := -10 * interval; at <= 0; at += interval {
		beats.Beat(noon.Add(at))
	}
	return beats
}

func TestNoLagWhileBeatsAreOnTime(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	expect((&pulse.Pulse{Interval: interval}).Lag(noon)).To(gomega.BeZero(), "before the first beat")
	expect(newPunctualPulse().Lag(noon.Add(interval))).To(gomega.BeZero())
}

func TestOverdueBeatCountsAsLag(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	beats := newPunctualPulse()
	expect(beats.Lag(noon.Add(interval + 300*time.Millisecond))).To(gomega.Equal(300 * time.Millisecond))
	beats.Beat(noon.Add(interval + 400*time.Millisecond))
	expect(beats.Lag(noon.Add(interval + 400*time.Millisecond))).To(gomega.Equal(400 * time.Millisecond))
}

// A process that permanently lacks processor time has a lasting lag. After a single
// pause the lag must be gone soon.
func TestLagLastsWhileBeatsAreLate(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	beats, now := newPunctualPulse(), noon
	for range 20 {
		now = now.Add(interval + 200*time.Millisecond)
		beats.Beat(now)
		expect(beats.Lag(now)).To(gomega.BeNumerically(">=", 200*time.Millisecond))
	}
	now = now.Add(4 * time.Second)
	for range 12 {
		beats.Beat(now)
		now = now.Add(interval)
	}
	expect(beats.Lag(now)).To(gomega.BeNumerically("<", 100*time.Millisecond), "a tenth of a second after a pause of four seconds")
}
