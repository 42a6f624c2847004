package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Gate is the baseline of admission.Gate: it admits calls up to the number of
// connections.
type Gate struct {
	// Connections is the number of concurrent calls that the target accepts.
	Connections int

	running map[request.CallID]struct{}
}

// Arrive admits the call unless all connections are in use.
func (gate *Gate) Arrive(_ time.Time, work request.Work, notices []admission.Notice) (admission.Decision, []admission.Notice) {
	if gate.running == nil {
		gate.running = make(map[request.CallID]struct{})
	}
	if len(gate.running) >= gate.Connections {
		return admission.Decision{Verdict: admission.Refuse, Code: request.ConnectionsFull}, notices
	}
	gate.running[work.Call] = struct{}{}
	return admission.Decision{Verdict: admission.Admit}, notices
}

// Finish frees the call's connection.
func (gate *Gate) Finish(_ time.Time, call request.CallID, _ admission.Sample, notices []admission.Notice) []admission.Notice {
	delete(gate.running, call)
	return notices
}

// Cancel does nothing: the target completes the call.
func (gate *Gate) Cancel(_ time.Time, _ request.CallID, notices []admission.Notice) []admission.Notice {
	return notices
}

// Tick does nothing.
func (gate *Gate) Tick(_ time.Time, notices []admission.Notice) []admission.Notice {
	return notices
}

// Level returns the lowest level, so that calls of any priority are admitted.
func (gate *Gate) Level(request.KindName, time.Time) request.Level {
	return 0
}
