// Package pulse measures how long work waits for the processor of its process.
//
// One goroutine beats at a fixed interval. Where the process has more to do than its
// processor gets done, a beat comes as late as all other work does. That lateness is a
// delay which each call meets, and which no count of calls at the target shows.
//
// # Usage
//
//	beats := &pulse.Pulse{Interval: 10 * time.Millisecond}
//	for now := range ticks {
//		beats.Beat(now)     // at the time at which the goroutine really runs
//	}
//	lag := beats.Lag(now)
//
// Values are safe for concurrent use, and read no clock.
package pulse

import (
	"sync"
	"time"
)

// fading is what is left of a lag with each beat that is in time: after a pause of
// some seconds, as when a process was stopped, it is gone within a tenth of a second.
const fading = 0.7

// Pulse follows the lateness of its beats. Interval is set before the first use.
type Pulse struct {
	// Interval is the time between two beats.
	Interval time.Duration

	lock sync.Mutex
	last time.Time
	lag  time.Duration
}

// Beat notes a beat.
func (pu *Pulse) Beat(now time.Time) {
	pu.lock.Lock()
	defer pu.lock.Unlock()
	pu.lag = max(pu.overdue(now), time.Duration(fading*float64(pu.lag)))
	pu.last = now
}

// Lag is how late beats are, with the one that is due.
func (pu *Pulse) Lag(now time.Time) time.Duration {
	pu.lock.Lock()
	defer pu.lock.Unlock()
	return max(pu.overdue(now), pu.lag)
}

func (pu *Pulse) overdue(now time.Time) time.Duration {
	if pu.last.IsZero() {
		return 0
	}
	return max(0, now.Sub(pu.last)-pu.Interval)
}
