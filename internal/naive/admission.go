package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Gate admits every call up to the number of connections.
type Gate struct {
	// Connections is the number of calls that the target takes at once.
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

// Cancel does nothing: the target works on to the end.
func (gate *Gate) Cancel(_ time.Time, _ request.CallID, notices []admission.Notice) []admission.Notice {
	return notices
}

// Tick does nothing.
func (gate *Gate) Tick(_ time.Time, notices []admission.Notice) []admission.Notice {
	return notices
}

// Level takes every priority.
func (gate *Gate) Level(request.KindName, time.Time) request.Level {
	return 0
}
