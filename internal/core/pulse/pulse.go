// Package pulse measures the scheduling delay of a process: how long work waits
// for a processor.
//
// One goroutine calls [Pulse.Beat] at a fixed interval. If the process has more
// work than its processors can do, the calls come as late as all other work. That
// lateness is a delay for each call that the process handles, and does not show
// in the number of calls at the target.
//
// # Usage
//
//	beats := &pulse.Pulse{Interval: 10 * time.Millisecond}
//	for now := range ticks {
//		beats.Beat(now)     // with the time at which the goroutine runs
//	}
//	lag := beats.Lag(now)
//
// Values are safe for concurrent use, and read no clock.
package pulse

import (
	"sync"
	"time"
)

// lagDecay is the part of a lag that remains after each beat that is on time.
// After a pause of some seconds, as when a process was stopped, the lag is gone
// within a tenth of a second.
const lagDecay = 0.7

// Pulse tracks the lateness of its beats. Interval is set before the first use.
type Pulse struct {
	// Interval is the time between two beats.
	Interval time.Duration

	lock     sync.Mutex
	lastBeat time.Time
	lag      time.Duration
}

// Beat records a beat.
func (pulse *Pulse) Beat(now time.Time) {
	pulse.lock.Lock()
	defer pulse.lock.Unlock()
	pulse.lag = max(pulse.overdue(now), time.Duration(lagDecay*float64(pulse.lag)))
	pulse.lastBeat = now
}

// Lag is how late beats are, including one that is overdue now. It is zero before
// the first beat.
func (pulse *Pulse) Lag(now time.Time) time.Duration {
	pulse.lock.Lock()
	defer pulse.lock.Unlock()
	return max(pulse.overdue(now), pulse.lag)
}

func (pulse *Pulse) overdue(now time.Time) time.Duration {
	if pulse.lastBeat.IsZero() {
		return 0
	}
	return max(0, now.Sub(pulse.lastBeat)-pulse.Interval)
}
