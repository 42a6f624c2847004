// Package schedlag measures the scheduling delay of a process: how long work waits
// for a processor.
//
// One goroutine calls [Monitor.RecordTick] at a fixed interval. If the process has
// more work than its processors can do, the calls come as late as all other work.
// That lateness is a delay for each call that the process handles, and does not
// show in the number of calls at the target.
//
// # Usage
//
//	monitor := &schedlag.Monitor{Interval: 10 * time.Millisecond}
//	for now := range ticks {
//		monitor.RecordTick(now) // with the time at which the goroutine runs
//	}
//	lag := monitor.Lag(now)
//
// Values are safe for concurrent use, and read no clock.
package schedlag

import (
	"sync"
	"time"
)

// lagDecay is the part of a lag that remains after each tick that is on time.
// After a pause of some seconds, as when a process was stopped, the lag is gone
// within a tenth of a second.
const lagDecay = 0.7

// Monitor tracks the lateness of its ticks. Interval is set before the first use.
type Monitor struct {
	// Interval is the time between two ticks.
	Interval time.Duration

	lock     sync.Mutex
	lastTick time.Time
	lag      time.Duration
}

// RecordTick records a tick.
func (monitor *Monitor) RecordTick(now time.Time) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	monitor.lag = max(monitor.overdue(now), time.Duration(lagDecay*float64(monitor.lag)))
	monitor.lastTick = now
}

// Lag is how late ticks are, including one that is overdue now. It is zero before
// the first tick.
func (monitor *Monitor) Lag(now time.Time) time.Duration {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	return max(monitor.overdue(now), monitor.lag)
}

func (monitor *Monitor) overdue(now time.Time) time.Duration {
	if monitor.lastTick.IsZero() {
		return 0
	}
	return max(0, now.Sub(monitor.lastTick)-monitor.Interval)
}
