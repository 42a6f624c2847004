package target

import "time"

// Load is what a target says of itself at its load endpoint.
type Load struct {
	InFlight int  `json:"in-flight"`
	Waiting  int  `json:"waiting"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// Lie says how a report misleads.
type Lie uint8

// The lies.
const (
	Honest Lie = iota
	AlwaysIdle
	AlwaysFull
)

// Report is the load report of a target: late by Lag and bent by Lie.
type Report struct {
	Lag time.Duration
	Lie Lie

	seen []observation
}

type observation struct {
	at   time.Time
	load Load
}

// Observe takes the true load at a time; times do not go back.
func (report *Report) Observe(now time.Time, load Load) {
	report.forget(now)
	report.seen = append(report.seen, observation{at: now, load: load})
}

// Read gives the load as reported at a time: the newest observation that is
// at least Lag old.
func (report *Report) Read(now time.Time) Load {
	var load Load
	for _, entry := range report.seen {
		if entry.at.After(now.Add(-report.Lag)) {
			break
		}
		load = entry.load
	}
	return report.bend(load)
}

func (report *Report) bend(load Load) Load {
	switch report.Lie {
	case AlwaysIdle:
		load.InFlight, load.Waiting = 0, 0
	case AlwaysFull:
		load.InFlight = load.Slots
	}
	return load
}

// forget drops observations that no later Read can return.
func (report *Report) forget(now time.Time) {
	due := now.Add(-report.Lag)
	for len(report.seen) > 1 && !report.seen[1].at.After(due) {
		report.seen = report.seen[1:]
	}
}
