package admission

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// runningCalls holds the calls that the target works on.
type runningCalls struct {
	started map[request.CallID]startedCall
	// ageSum is the sum of the calls' ages at changedAt.
	ageSum    time.Duration
	changedAt time.Time
}

// startedCall is a call that the target works on.
type startedCall struct {
	startedAt time.Time
	// fullPeriod is the result of [headroomTuner.fullPeriod] when the call
	// started.
	fullPeriod int
}

func (calls *runningCalls) start(now time.Time) {
	calls.started = make(map[request.CallID]startedCall)
	calls.changedAt = now
}

func (calls *runningCalls) size() int {
	return len(calls.started)
}

func (calls *runningCalls) add(now time.Time, call request.CallID, fullPeriod int) {
	calls.ageSum = calls.ageSumAt(now)
	calls.changedAt = now
	calls.started[call] = startedCall{startedAt: now, fullPeriod: fullPeriod}
}

func (calls *runningCalls) remove(now time.Time, call request.CallID) (fullPeriod int, ok bool) {
	removed, ok := calls.started[call]
	if !ok {
		return 0, false
	}
	calls.ageSum = calls.ageSumAt(now) - now.Sub(removed.startedAt)
	calls.changedAt = now
	delete(calls.started, call)
	return removed.fullPeriod, true
}

// meanAge is how long the calls have been running on average.
func (calls *runningCalls) meanAge(now time.Time) time.Duration {
	if len(calls.started) == 0 {
		return 0
	}
	return calls.ageSumAt(now) / time.Duration(len(calls.started))
}

func (calls *runningCalls) ageSumAt(now time.Time) time.Duration {
	return calls.ageSum + time.Duration(len(calls.started))*now.Sub(calls.changedAt)
}
