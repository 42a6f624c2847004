// Package claim runs non-idempotent requests at most once, on the side of the
// node. For each request it proposes a claim on the request's kind and
// idempotency key to the ledger, lets the node send the request to the target
// only once the claim is granted, and records the outcome in the ledger.
//
// The outcome that a caller is told covers every attempt at the action, not only
// its own:
//
//   - not-run only while this attempt holds the claim and will not run the
//     action, since then no other attempt ran or can run it;
//   - ran if the action is known to have run;
//   - unknown otherwise. That includes the case that no quorum answers, since an
//     earlier attempt with the same key may have run the action.
//
// A [Coordinator] does no I/O and reads no clock. One goroutine owns it, passes
// events with their time to it, and carries out the actions that it returns.
//
// # Usage
//
//	coordinator := &claim.Coordinator{Node: "n1", ClaimRetryInterval: 100 * time.Millisecond, ...}
//	for _, action := range coordinator.Arrive(now, request) {
//		switch action.Type {
//		case claim.ProposeClaim:  // propose action.Command, then call Claimed
//		case claim.Run:           // send to the target, then call Answered, NotStarted or Lost
//		case claim.Reply:         // answer action.Call with action.Answer
//		case claim.Refuse:        // refuse action.Call with action.Code and action.Outcome
//		case claim.ProposeRecord: // propose action.Command, then call Recorded
//		}
//	}
//
// Call [Coordinator.Tick] at the time that [Coordinator.NextWake] returns. The
// coordinator proposes each command again until its result arrives, so the caller
// does not retry. Before the process exits, wait for a bounded time until
// [Coordinator.Pending] is zero.
package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Answer is the complete answer of a target.
type Answer = ledgerpb.Answer

// Request is one call of a non-idempotent kind whose body was read completely.
type Request struct {
	Call request.CallID
	// Attempt is a new random id. It is used unless the call joins an attempt
	// that is already in progress.
	Attempt  request.AttemptID
	Kind     request.KindName
	Key      request.IdempotencyKey
	Digest   ledger.BodyDigest
	Deadline time.Time
	// MaxKeptAnswerBytes is the size of the largest answer body that is kept for
	// retries.
	MaxKeptAnswerBytes int64
	// AnswerRetention is how long the answer is kept for retries.
	AnswerRetention time.Duration
	// RecordRetention is how long the record that the action ran is kept.
	RecordRetention time.Duration
}

// ActionType says what the node has to do.
type ActionType uint8

// The types of action.
const (
	// ProposeClaim proposes a claim command to the ledger.
	ProposeClaim ActionType = iota + 1
	// Run sends the request of the attempt to the target.
	Run
	// Reply answers a call with the answer of the target.
	Reply
	// Refuse refuses a call.
	Refuse
	// ProposeRecord proposes a finish or release command to the ledger.
	ProposeRecord
)

// Action is one thing that the node has to do. The fields that apply depend on
// its type.
type Action struct {
	Type    ActionType
	Attempt request.AttemptID
	Call    request.CallID
	Code    request.Code
	Outcome request.Outcome
	Answer  *Answer
	// Command is an encoded command of the ledger.
	Command []byte
}

// Coordinator handles the non-idempotent requests of one node. Set the exported
// fields, except Conflicts, before the first event. It is not safe for concurrent
// use.
type Coordinator struct {
	Node request.NodeID
	// ClaimRetryInterval is the interval at which an unanswered claim is proposed
	// again.
	ClaimRetryInterval time.Duration
	// ClaimTimeout is the time after which an unanswered claim is abandoned and
	// released.
	ClaimTimeout time.Duration
	// StoreTimeout is how long an answer is held back until its record is stored;
	// after that time the callers get it without the record.
	StoreTimeout time.Duration
	// RecordRetryInterval is the time after which a record is first proposed
	// again. The time doubles with each proposal, at most [maxRecordDoublings]
	// times, so that a node that was cut off from the quorum does not flood it
	// afterwards.
	RecordRetryInterval time.Duration
	// MaxPendingAttempts is the maximum number of attempts whose outcome is not
	// recorded yet. At this number, requests that need a new attempt are refused.
	MaxPendingAttempts int

	age      ledger.Age
	attempts []*claimAttempt
	actions  []Action
	// Conflicts counts the outcomes that the ledger did not store because the
	// attempt no longer held its claim, since an operator had settled it.
	Conflicts uint64
}

// Pending returns the number of attempts whose outcome is not recorded yet.
func (coordinator *Coordinator) Pending() int {
	return len(coordinator.attempts)
}

func (coordinator *Coordinator) resetActions() {
	coordinator.actions = coordinator.actions[:0]
}

// Arrive handles a new request. It joins an attempt in progress with the same
// kind, key and body, or starts a new one. The returned actions, like those of
// all events, are valid until the next event.
func (coordinator *Coordinator) Arrive(now time.Time, arrived Request) []Action {
	coordinator.resetActions()
	attempt := coordinator.findJoinable(arrived.Kind, arrived.Key)
	switch {
	case attempt == nil:
		coordinator.startAttempt(now, arrived)
	case attempt.request.Digest == arrived.Digest:
		coordinator.joinAttempt(attempt, arrived)
	case attempt.state == attemptRunning || attempt.state == attemptFinishing:
		coordinator.refuse(arrived.Call, request.KeyReusedOtherBody, request.NotRun)
	default:
		coordinator.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
	}
	return coordinator.actions
}

func (coordinator *Coordinator) startAttempt(now time.Time, arrived Request) {
	if !now.Before(arrived.Deadline) || len(coordinator.attempts) >= coordinator.MaxPendingAttempts {
		coordinator.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
		return
	}
	attempt := &claimAttempt{
		request:       arrived,
		state:         attemptClaiming,
		callers:       []caller{{arrived.Call, arrived.Deadline}},
		finishWithin:  arrived.Deadline.Sub(now),
		seenAge:       coordinator.age,
		claimDeadline: earlier(arrived.Deadline, now.Add(coordinator.ClaimTimeout)),
	}
	coordinator.attempts = append(coordinator.attempts, attempt)
	coordinator.proposeClaim(now, attempt)
}

func (coordinator *Coordinator) joinAttempt(attempt *claimAttempt, arrived Request) {
	switch {
	case attempt.lost:
		coordinator.refuse(arrived.Call, request.OutcomeUnknown, request.Unknown)
	case attempt.replied:
		coordinator.reply(arrived.Call, attempt.answer)
	default:
		attempt.callers = append(attempt.callers, caller{arrived.Call, arrived.Deadline})
	}
}

// Claimed handles the ledger's result of a claim command.
func (coordinator *Coordinator) Claimed(now time.Time, attemptID request.AttemptID, result ledger.ClaimResult) []Action {
	coordinator.resetActions()
	coordinator.age = max(coordinator.age, result.Age)
	attempt := coordinator.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptClaiming {
		return coordinator.actions
	}
	switch result.State {
	case ledger.ClaimGranted:
		coordinator.runOrRelease(now, attempt)
	case ledger.ClaimTooOld:
		coordinator.proposeClaimAgain(now, attempt)
	case ledger.ClaimFinished:
		coordinator.replyFinished(attempt, result.Answer)
	case ledger.ClaimOtherBody:
		coordinator.refuseAndRemove(attempt, request.KeyReusedOtherBody, request.NotRun)
	case ledger.ClaimInDoubt:
		coordinator.refuseAndRemove(attempt, request.OutcomeUnknown, request.Unknown)
	case ledger.ClaimsFull:
		coordinator.refuseAndRemove(attempt, request.ClaimUnavailable, request.NotRun)
	default:
		coordinator.refuseAndRemove(attempt, request.ClaimRunning, request.Unknown)
	}
	return coordinator.actions
}

func (coordinator *Coordinator) runOrRelease(now time.Time, attempt *claimAttempt) {
	if !now.Before(attempt.request.Deadline) {
		coordinator.refuseAll(attempt, request.DeadlineTooClose, request.NotRun)
	}
	if len(attempt.callers) == 0 {
		coordinator.startRelease(now, attempt)
		return
	}
	attempt.state = attemptRunning
	coordinator.actions = append(coordinator.actions, Action{Type: Run, Attempt: attempt.request.Attempt})
}

func (coordinator *Coordinator) proposeClaimAgain(now time.Time, attempt *claimAttempt) {
	if attempt.seenAge < coordinator.age {
		attempt.seenAge = coordinator.age
		coordinator.proposeClaim(now, attempt)
	}
}

func (coordinator *Coordinator) replyFinished(attempt *claimAttempt, answer *Answer) {
	if answer == nil {
		coordinator.refuseAndRemove(attempt, request.AnswerNotKept, request.Ran)
		return
	}
	coordinator.replyAll(attempt, answer)
	coordinator.removeAttempt(attempt)
}

func (coordinator *Coordinator) refuseAndRemove(attempt *claimAttempt, code request.Code, outcome request.Outcome) {
	coordinator.refuseAll(attempt, code, outcome)
	coordinator.removeAttempt(attempt)
}

// CallerLeft handles a call whose caller disconnected. An action that is running
// continues, and its answer is kept for a retry. A claim that no caller waits
// for any more is released.
func (coordinator *Coordinator) CallerLeft(now time.Time, call request.CallID) []Action {
	coordinator.resetActions()
	for _, attempt := range slices.Clone(coordinator.attempts) {
		attempt.callers = slices.DeleteFunc(attempt.callers, func(waiting caller) bool { return waiting.call == call })
		if attempt.state == attemptClaiming && len(attempt.callers) == 0 {
			coordinator.startRelease(now, attempt)
		}
	}
	return coordinator.actions
}

// Answered handles the complete answer of the target.
func (coordinator *Coordinator) Answered(now time.Time, attemptID request.AttemptID, answer *Answer) []Action {
	coordinator.resetActions()
	attempt := coordinator.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return coordinator.actions
	}
	attempt.answer = answer
	attempt.replyBy = now.Add(coordinator.StoreTimeout)
	finish := attempt.finishCommand()
	if int64(len(answer.GetBody())) <= attempt.request.MaxKeptAnswerBytes {
		finish.Answer = answer
	}
	coordinator.startRecord(now, attempt, attemptFinishing, finish.Encode())
	return coordinator.actions
}

// NotStarted handles a request that certainly was not, and will not be, sent to
// the target.
func (coordinator *Coordinator) NotStarted(now time.Time, attemptID request.AttemptID, code request.Code) []Action {
	coordinator.resetActions()
	attempt := coordinator.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return coordinator.actions
	}
	coordinator.refuseAll(attempt, code, request.NotRun)
	coordinator.startRelease(now, attempt)
	return coordinator.actions
}

// Lost handles a request whose complete answer will never arrive, although the
// target may have run the action.
func (coordinator *Coordinator) Lost(now time.Time, attemptID request.AttemptID, code request.Code) []Action {
	coordinator.resetActions()
	attempt := coordinator.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return coordinator.actions
	}
	coordinator.refuseAll(attempt, code, request.Unknown)
	attempt.lost = true
	finish := attempt.finishCommand()
	finish.Lost = true
	coordinator.startRecord(now, attempt, attemptFinishing, finish.Encode())
	return coordinator.actions
}

// Recorded handles the ledger's result of a finish or release command.
func (coordinator *Coordinator) Recorded(_ time.Time, attemptID request.AttemptID, state ledger.RecordState) []Action {
	coordinator.resetActions()
	attempt := coordinator.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptFinishing && attempt.state != attemptReleasing {
		return coordinator.actions
	}
	if attempt.state == attemptFinishing && state == ledger.RecordClosed {
		coordinator.Conflicts++
	}
	coordinator.replyAll(attempt, attempt.answer)
	coordinator.removeAttempt(attempt)
	return coordinator.actions
}
