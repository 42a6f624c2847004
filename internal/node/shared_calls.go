package node

import (
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// sharedCalls are the repeatable calls in flight that carry an idempotency key. A
// resend joins the call in flight instead of being sent again.
type sharedCalls struct {
	lock     sync.Mutex
	inFlight map[sharedCallKey]*sharedCall
}

// sharedCallKey identifies calls that may share an answer. Customers never share one.
type sharedCallKey struct {
	customer    request.CustomerName
	fingerprint request.Fingerprint
}

// sharedCall is one call in flight. outcome is set before done closes, and stays nil
// where it cannot be shared.
type sharedCall struct {
	done    chan struct{}
	outcome *attempt
}

// joinOrStart returns the call in flight with a key, and true if it started
// it.
func (calls *sharedCalls) joinOrStart(key sharedCallKey) (*sharedCall, bool) {
	calls.lock.Lock()
	defer calls.lock.Unlock()
	if shared, ok := calls.inFlight[key]; ok {
		return shared, false
	}
	if calls.inFlight == nil {
		calls.inFlight = make(map[sharedCallKey]*sharedCall)
	}
	shared := &sharedCall{done: make(chan struct{})}
	calls.inFlight[key] = shared
	return shared, true
}

// finish ends a shared call. The outcome is shared only if it holds for several
// callers: an answer that is buffered whole, or a refusal other than caller-left.
func (calls *sharedCalls) finish(key sharedCallKey, shared *sharedCall, outcome *attempt) {
	calls.lock.Lock()
	defer calls.lock.Unlock()
	delete(calls.inFlight, key)
	if outcome.complete || outcome.refusal != nil && outcome.refusal.Code != request.CallerLeft {
		shared.outcome = outcome
	}
	close(shared.done)
}
