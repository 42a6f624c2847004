package pulse_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/pulse"
)

const interval = 10 * time.Millisecond

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// beating gives a pulse that has been in time until noon.
func beating() *pulse.Pulse {
	beats := &pulse.Pulse{Interval: interval}
	for at := -10 * interval; at <= 0; at += interval {
		beats.Beat(noon.Add(at))
	}
	return beats
}

func TestAPulseInTimeHasNoLag(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	expect((&pulse.Pulse{Interval: interval}).Lag(noon)).To(gomega.BeZero(), "before the first beat")
	expect(beating().Lag(noon.Add(interval))).To(gomega.BeZero())
}

// A beat that is due shows the lag before it comes.
func TestALagShowsBeforeTheBeat(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	beats := beating()
	expect(beats.Lag(noon.Add(interval + 300*time.Millisecond))).To(gomega.Equal(300 * time.Millisecond))
	beats.Beat(noon.Add(interval + 400*time.Millisecond))
	expect(beats.Lag(noon.Add(interval + 400*time.Millisecond))).To(gomega.Equal(400 * time.Millisecond))
}

// The pattern: a process whose processor is taken for good beats late each time; one
// that was stopped once is in time again soon.
func TestALagLastsWhileBeatsAreLate(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	beats, now := beating(), noon
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
	expect(beats.Lag(now)).To(gomega.BeNumerically("<", 100*time.Millisecond), "a tenth of a second after a pause of four")
}
