package target

import "time"

// Load is the answer of a target's load endpoint.
type Load struct {
	InFlight int  `json:"in-flight"`
	Waiting  int  `json:"waiting"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// Distortion is a systematic error of a load report.
type Distortion uint8

// The distortions of a load report.
const (
	Undistorted Distortion = iota
	AlwaysIdle
	AlwaysFull
)

// LoadReport is the load report of a target, delayed by Lag and changed by
// Distortion. It is not safe for concurrent use.
type LoadReport struct {
	Lag        time.Duration
	Distortion Distortion

	observations []observation
}

type observation struct {
	at   time.Time
	load Load
}

// Observe adds the true load at a time. Times must not decrease.
func (report *LoadReport) Observe(now time.Time, load Load) {
	report.dropOutdated(now)
	report.observations = append(report.observations, observation{at: now, load: load})
}

// Read returns the load as reported at a time: the newest observation that is
// at least Lag old, or a zero load if there is none.
func (report *LoadReport) Read(now time.Time) Load {
	var load Load
	for _, entry := range report.observations {
		if entry.at.After(now.Add(-report.Lag)) {
			break
		}
		load = entry.load
	}
	return report.distort(load)
}

func (report *LoadReport) distort(load Load) Load {
	switch report.Distortion {
	case AlwaysIdle:
		load.InFlight, load.Waiting = 0, 0
	case AlwaysFull:
		load.InFlight = load.Slots
	}
	return load
}

// dropOutdated drops observations that no later Read can return.
func (report *LoadReport) dropOutdated(now time.Time) {
	visibleUntil := now.Add(-report.Lag)
	for len(report.observations) > 1 && !report.observations[1].at.After(visibleUntil) {
		report.observations = report.observations[1:]
	}
}
