// Package retry decides whether a failed call is sent again, and bounds the
// number of retries that one root request can cause.
//
// A root request starts with an allowance of R retries. The node of each target
// that works on the request keeps its part of the allowance in an [Account]. It
// hands over a share to each call that the target makes and takes back what the
// answer reports as unspent. The shares of a call tree never add up to more than
// R, so retries multiply neither with depth nor with fan-out. A share whose
// answer is lost counts as spent.
//
// In addition, [Budget] limits the retries from one caller to one service. It
// allows a share of recent successes, so that a service that answers nothing gets
// almost no retries. Where the budget is configured for the whole fleet, it allows
// a share of the calls of a sliding window instead. docs/design/retries.md
// compares the alternatives.
//
// The package does no I/O, reads no clock and starts no goroutine. Its values
// are not safe for concurrent use; the owner guards each with a lock.
//
// # Usage
//
//	account := &retry.Account{Remaining: share} // from the inbound call
//	budget := &retry.Budget{Share: 0.1}         // one per service called
//	policy := &retry.Policy{Random: random}     // one per node
//
//	attemptShare := account.TakeShare() // travels with each attempt
//	answer := send(call, attemptShare)
//	account.Return(attemptShare, answer.Unspent) // not if the answer was lost
//	decision := policy.Decide(now, retry.Attempt{...}, account, budget)
//	if decision.Reason == retry.Allowed {
//		// wait decision.Backoff, then send to another target
//	}
//
// The answer to the inbound call reports the result of [Account.Close] as
// unspent.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	defaultBackoff    = 5 * time.Millisecond
	defaultMaxBackoff = 100 * time.Millisecond
)

// Attempt describes an attempt of an outbound call that has ended.
type Attempt struct {
	RepeatRule request.RepeatRule
	// MaxRetries is the number of retries that the kind of the call allows.
	MaxRetries int
	// UsedRetries is the number of retries that the call has made so far.
	UsedRetries int
	// Code is the result code of the attempt.
	Code request.Code
	// Outcome tells whether the action ran, as far as is known. Zero means the
	// outcome that belongs to Code.
	Outcome request.Outcome
	// Important lets the call use the reserved part of the retry budget.
	Important bool
	// SpentBelow is the part of the retry budget that is spent at a service which the
	// targets of the call use. A retry makes its calls there again.
	SpentBelow float64
	// BodyLost means that the request body is no longer available.
	BodyLost bool
	// NoAlternative means that no other target would take the call.
	NoAlternative bool
	// MinDuration is the least time that another attempt takes.
	MinDuration time.Duration
	Deadline    time.Time
}

// Decision tells whether to retry a call, and how long to wait before.
type Decision struct {
	Reason  Reason
	Backoff time.Duration
}

// Policy decides on retries. Its fields must be set before the first use.
type Policy struct {
	// Backoff bounds the wait before the first retry. The bound doubles with each
	// further retry, up to MaxBackoff. Zero means 5 ms for Backoff and 100 ms for
	// MaxBackoff. The wait is drawn uniformly between zero and the bound (full
	// jitter).
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Random draws the waits. Without it each wait is the whole bound.
	Random *rand.Rand
}

// Decide tells whether an attempt is followed by another one. If so, it spends
// one retry of both account and budget. A call that belongs to no root request has
// no allowance and passes a nil account.
func (policy *Policy) Decide(now time.Time, attempt Attempt, account *Account, budget *Budget) Decision {
	if reason := attempt.blockingReason(); reason != Allowed {
		return Decision{Reason: reason}
	}
	backoff := policy.backoff(attempt.UsedRetries)
	if now.Add(backoff + attempt.MinDuration).After(attempt.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	if account == nil || account.Remaining == 0 {
		return Decision{Reason: AllowanceSpent}
	}
	if !budget.take(now, attempt) {
		return Decision{Reason: BudgetSpent}
	}
	account.Remaining--
	return Decision{Reason: Allowed, Backoff: backoff}
}

// blockingReason returns the reason in the attempt itself that rules out a retry,
// or Allowed.
func (attempt Attempt) blockingReason() Reason {
	row := request.Describe(attempt.Code)
	outcome := attempt.Outcome
	if outcome == 0 {
		outcome = row.Outcome
	}
	switch {
	case attempt.Code == request.OK:
		return Succeeded
	case attempt.Code == request.Quarantined:
		return Quarantined
	case attempt.RepeatRule == request.Once && outcome != request.NotRun:
		return MayHaveRun
	case !row.RetryElsewhere, attempt.NoAlternative:
		return NoHelpElsewhere
	case attempt.BodyLost:
		return BodyLost
	case attempt.UsedRetries >= attempt.MaxRetries:
		return KindLimit
	}
	return Allowed
}

func (policy *Policy) backoff(used int) time.Duration {
	bound := policy.Backoff
	if bound == 0 {
		bound = defaultBackoff
	}
	maxBound := policy.MaxBackoff
	if maxBound == 0 {
		maxBound = defaultMaxBackoff
	}
	for range used {
		if bound >= maxBound {
			break
		}
		bound *= 2
	}
	bound = min(bound, maxBound)
	if policy.Random == nil {
		return bound
	}
	return time.Duration(policy.Random.Int64N(int64(bound) + 1))
}
