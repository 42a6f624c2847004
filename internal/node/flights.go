package node

import (
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// flights are the repeatable calls in flight that carry an idempotency key, so
// that a resend of the caller joins its first send.
type flights struct {
	lock  sync.Mutex
	calls map[request.Fingerprint]*flight
}

// flight is one call that others may join. The end is set before done closes.
type flight struct {
	done chan struct{}
	end  *attempt
}

// enter gives the flight of a call, and whether the caller is its first.
func (fl *flights) enter(name request.Fingerprint) (*flight, bool) {
	fl.lock.Lock()
	defer fl.lock.Unlock()
	if current, ok := fl.calls[name]; ok {
		return current, false
	}
	if fl.calls == nil {
		fl.calls = make(map[request.Fingerprint]*flight)
	}
	current := &flight{done: make(chan struct{})}
	fl.calls[name] = current
	return current, true
}

// leave ends a flight. Only an end that can be told to several callers counts.
func (fl *flights) leave(name request.Fingerprint, current *flight, end *attempt) {
	fl.lock.Lock()
	defer fl.lock.Unlock()
	delete(fl.calls, name)
	if end.whole || end.refusal != nil && end.refusal.Code != request.CallerLeft {
		current.end = end
	}
	close(current.done)
}
