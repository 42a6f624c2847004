package target

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Action identifies one action that may not be repeated.
type Action struct {
	Kind request.KindName
	Key  request.IdempotencyKey
}

// AttemptName identifies one attempt of a caller. All work that the attempt causes
// is attributed to it.
type AttemptName string

// Records counts what the stand-in targets of a mesh did, independently of the
// system under test. It is safe for concurrent use.
type Records struct {
	mu         sync.Mutex
	runCounts  map[Action]int
	workTimes  map[AttemptName]time.Duration
	callCounts map[AttemptName]int

	watchesCustomers bool
	customerArrivals []CustomerArrival
}

// CustomerArrival is what a call that reached a target said of its customer.
type CustomerArrival struct {
	Attempt  AttemptName
	At       time.Time
	Customer request.CustomerName
	// HasKey says that the call had the key of a customer.
	HasKey bool
}

// WatchCustomers begins to record the customers of calls.
func (records *Records) WatchCustomers() {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.watchesCustomers = true
}

// WatchesCustomers reports whether the customers of calls are recorded.
func (records *Records) WatchesCustomers() bool {
	records.mu.Lock()
	defer records.mu.Unlock()
	return records.watchesCustomers
}

// RecordCustomer records the customer of a call.
func (records *Records) RecordCustomer(arrival CustomerArrival) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.customerArrivals = append(records.customerArrivals, arrival)
}

// CustomerArrivals returns the recorded customers of calls.
func (records *Records) CustomerArrivals() []CustomerArrival {
	records.mu.Lock()
	defer records.mu.Unlock()
	return slices.Clone(records.customerArrivals)
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		runCounts:  make(map[Action]int),
		workTimes:  make(map[AttemptName]time.Duration),
		callCounts: make(map[AttemptName]int),
	}
}

// RecordRun counts a start of an action.
func (records *Records) RecordRun(action Action) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.runCounts[action]++
}

// RunCount returns how many times an action was started.
func (records *Records) RunCount(action Action) int {
	records.mu.Lock()
	defer records.mu.Unlock()
	return records.runCounts[action]
}

// RepeatedCount returns how many actions were started more than once.
func (records *Records) RepeatedCount() int {
	records.mu.Lock()
	defer records.mu.Unlock()
	repeated := 0
	for _, runs := range records.runCounts {
		if runs > 1 {
			repeated++
		}
	}
	return repeated
}

// RecordWork adds the time that a slot worked for an attempt.
func (records *Records) RecordWork(attempt AttemptName, work time.Duration) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.workTimes[attempt] += work
}

// RecordCall counts a call that reached a target for an attempt.
func (records *Records) RecordCall(attempt AttemptName) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.callCounts[attempt]++
}

// CallCounts returns the number of calls that reached targets, by attempt.
func (records *Records) CallCounts() map[AttemptName]int {
	records.mu.Lock()
	defer records.mu.Unlock()
	return cloneMap(records.callCounts)
}

// WorkTimes returns the time that slots worked, by attempt.
func (records *Records) WorkTimes() map[AttemptName]time.Duration {
	records.mu.Lock()
	defer records.mu.Unlock()
	return cloneMap(records.workTimes)
}

func cloneMap[Key comparable, Value any](from map[Key]Value) map[Key]Value {
	to := make(map[Key]Value, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}
