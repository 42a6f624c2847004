package target

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Action names one action that may not be repeated.
type Action struct {
	Kind request.KindName
	Key  request.IdempotencyKey
}

// AttemptName names one attempt of a caller, which all work below it is
// counted to.
type AttemptName string

// Records is what the stand-in targets of a mesh did, kept outside the system
// under test.
type Records struct {
	mu    sync.Mutex
	runs  map[Action]int
	work  map[AttemptName]time.Duration
	calls map[AttemptName]int
}

// NewRecords gives empty records.
func NewRecords() *Records {
	return &Records{
		runs:  make(map[Action]int),
		work:  make(map[AttemptName]time.Duration),
		calls: make(map[AttemptName]int),
	}
}

// Ran counts the start of an action.
func (records *Records) Ran(action Action) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.runs[action]++
}

// Runs tells how often an action was started.
func (records *Records) Runs(action Action) int {
	records.mu.Lock()
	defer records.mu.Unlock()
	return records.runs[action]
}

// Repeated counts the actions that were started more than once.
func (records *Records) Repeated() int {
	records.mu.Lock()
	defer records.mu.Unlock()
	repeated := 0
	for _, runs := range records.runs {
		if runs > 1 {
			repeated++
		}
	}
	return repeated
}

// Spent adds the time that a slot was worked in for an attempt.
func (records *Records) Spent(attempt AttemptName, work time.Duration) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.work[attempt] += work
}

// Called counts a call that reached a target for an attempt.
func (records *Records) Called(attempt AttemptName) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.calls[attempt]++
}

// Calls gives how many calls reached targets, by attempt.
func (records *Records) Calls() map[AttemptName]int {
	records.mu.Lock()
	defer records.mu.Unlock()
	return copyOf(records.calls)
}

// Work gives the time that slots were worked in, by attempt.
func (records *Records) Work() map[AttemptName]time.Duration {
	records.mu.Lock()
	defer records.mu.Unlock()
	return copyOf(records.work)
}

func copyOf[Key comparable, Value any](from map[Key]Value) map[Key]Value {
	to := make(map[Key]Value, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}
