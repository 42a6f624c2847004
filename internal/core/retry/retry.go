// Package retry decides whether a call that did not succeed is sent again, and
// bounds the retries behind one root request.
//
// A root request starts with an allowance of R retries. The node of each
// target that works on the request keeps the request's part of the allowance
// in an [Account]. It hands over a share to each call that the target makes
// and takes back what the answer says was not spent. The shares of a tree never
// add up to more than R, so neither depth nor fan-out multiplies retries. A
// share whose answer is lost counts as spent.
//
// On top of it, an [Edge] holds the retries from one caller to one service to
// a share of recent successes, so that a service that answers nothing gets
// almost none, or to a share of the calls of a sliding window, where a budget of
// the whole fleet is given in that way. docs/design/retries.md compares the alternatives.
//
// The package does no I/O, reads no clock and starts no goroutine. Its values
// are not safe for concurrent use; an owner guards each by a lock.
//
// # Usage
//
//	account := &retry.Account{Left: share}   // from the inbound call
//	edge := &retry.Edge{Share: 0.1}          // one per service called
//	policy := &retry.Policy{Random: random}  // one per node
//
//	handed := account.HandOver()             // travels with each attempt
//	answer := send(call, handed)
//	account.Return(handed, answer.Unspent)   // not when the answer was lost
//	decision := policy.Decide(now, retry.Attempt{...}, account, edge)
//	if decision.Reason == retry.Allowed {
//		// wait decision.Backoff, then send to another target
//	}
//
// The answer to the inbound call carries [Account.Close] as its unspent part.
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

// Attempt is one ended attempt of an outbound call.
type Attempt struct {
	Rule request.RepeatRule
	// Retries is the number of retries that the call's kind may use.
	Retries int
	// Used is the number of retries that the call has used so far.
	Used int
	// Code is how the attempt ended.
	Code request.Code
	// Outcome is what is known of the action. Zero takes it from Code.
	Outcome request.Outcome
	// Important says that the call may use the reserve of its edge.
	Important bool
	// BodyLost says that the body cannot be sent again.
	BodyLost bool
	// Expected is the least time that another attempt takes.
	Expected time.Duration
	Deadline time.Time
}

// Decision tells whether to retry, and after which time.
type Decision struct {
	Reason  Reason
	Backoff time.Duration
}

// Policy decides on retries. The fields are set before its first use.
type Policy struct {
	// Backoff is the longest wait before the first retry; it doubles with each
	// further one up to MaxBackoff. Zero is 5 ms and 100 ms. The wait is drawn
	// evenly between zero and that bound.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Random draws the waits. A policy without it waits the whole bound.
	Random *rand.Rand
}

// Decide tells whether an attempt is followed by another one, and takes the
// retry from account and edge if so. A nil account belongs to a call that is
// tied to no root request, which has no allowance.
func (policy *Policy) Decide(now time.Time, attempt Attempt, account *Account, edge *Edge) Decision {
	if reason := attempt.forbidden(); reason != Allowed {
		return Decision{Reason: reason}
	}
	backoff := policy.backoff(attempt.Used)
	if now.Add(backoff + attempt.Expected).After(attempt.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	if account == nil || account.Left == 0 {
		return Decision{Reason: AllowanceSpent}
	}
	if !edge.take(now, attempt.Important) {
		return Decision{Reason: EdgeSpent}
	}
	account.Left--
	return Decision{Reason: Allowed, Backoff: backoff}
}

// forbidden names what in the attempt itself rules out another one.
func (attempt Attempt) forbidden() Reason {
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
	case attempt.Rule == request.Once && outcome != request.NotRun:
		return MayHaveRun
	case !row.Elsewhere:
		return NoHelpElsewhere
	case attempt.BodyLost:
		return BodyLost
	case attempt.Used >= attempt.Retries:
		return KindLimit
	}
	return Allowed
}

func (policy *Policy) backoff(used int) time.Duration {
	bound := policy.Backoff
	if bound == 0 {
		bound = defaultBackoff
	}
	longest := policy.MaxBackoff
	if longest == 0 {
		longest = defaultMaxBackoff
	}
	for range used {
		if bound >= longest {
			break
		}
		bound *= 2
	}
	bound = min(bound, longest)
	if policy.Random == nil {
		return bound
	}
	return time.Duration(policy.Random.Int64N(int64(bound) + 1))
}
