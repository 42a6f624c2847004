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
// A [Core] does no I/O and reads no clock. One goroutine owns it, passes events
// with their time to it, and carries out the actions that it returns.
//
// # Usage
//
//	core := &claim.Core{Node: "n1", AskEvery: 100 * time.Millisecond, ...}
//	for _, action := range core.Arrive(now, request) {
//		switch action.Type {
//		case claim.Ask:     // propose action.Command, then call core.Claimed
//		case claim.Run:     // send to the target, then call core.Answered, NotStarted or Lost
//		case claim.Reply:   // answer action.Call with action.Answer
//		case claim.Refuse:  // refuse action.Call with action.Code and action.Outcome
//		case claim.Record:  // propose action.Command, then call core.Recorded
//		}
//	}
//
// Call [Core.Tick] at the time that [Core.NextWake] returns. The core proposes
// each command again until its result arrives, so the adapter does not retry.
// Before the process exits, wait for a bounded time until [Core.Pending] is zero.
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
	// KeptAnswer is the maximum size in bytes of the body of an answer that is
	// kept for retries.
	KeptAnswer int64
	// KeepAnswer is how long the answer is kept for retries.
	KeepAnswer time.Duration
	// KeepRecord is how long the record that the action ran is kept.
	KeepRecord time.Duration
}

// ActionType says what the node has to do.
type ActionType uint8

// The types of action.
const (
	// Ask proposes a claim command to the ledger.
	Ask ActionType = iota + 1
	// Run sends the request of the attempt to the target.
	Run
	// Reply answers a call with the answer of the target.
	Reply
	// Refuse refuses a call.
	Refuse
	// Record proposes a finish or release command to the ledger.
	Record
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

// Core handles the non-idempotent requests of one node. Set the configuration
// fields before the first event. It is not safe for concurrent use.
type Core struct {
	Node request.NodeID
	// AskEvery is the interval at which an unanswered claim is proposed again.
	AskEvery time.Duration
	// AskWithin is the time after which an unanswered claim is abandoned and
	// released.
	AskWithin time.Duration
	// StoreWithin is how long an answer is held back until its record is stored;
	// after that time the callers get it without the record.
	StoreWithin time.Duration
	// RecordEvery is the time after which a record is first proposed again. The
	// time doubles with each proposal, at most [maxRecordDoublings] times, so
	// that a node that was cut off from the quorum does not flood it afterwards.
	RecordEvery time.Duration
	// MaxPending is the maximum number of attempts whose outcome is not recorded
	// yet. At this number, requests that need a new attempt are refused.
	MaxPending int

	age      ledger.Age
	attempts []*claimAttempt
	actions  []Action
	// Conflicts counts the outcomes that the ledger did not store because the
	// attempt no longer held its claim, since an operator had settled it.
	Conflicts uint64
}

// Pending returns the number of attempts whose outcome is not recorded yet.
func (core *Core) Pending() int {
	return len(core.attempts)
}

func (core *Core) resetActions() {
	core.actions = core.actions[:0]
}

// Arrive handles a new request. It joins an attempt in progress with the same
// kind, key and body, or starts a new one. The returned actions, like those of
// all events, are valid until the next event.
func (core *Core) Arrive(now time.Time, arrived Request) []Action {
	core.resetActions()
	attempt := core.findJoinable(arrived.Kind, arrived.Key)
	switch {
	case attempt == nil:
		core.startAttempt(now, arrived)
	case attempt.request.Digest == arrived.Digest:
		core.joinAttempt(attempt, arrived)
	case attempt.state == attemptRunning || attempt.state == attemptFinishing:
		core.refuse(arrived.Call, request.KeyReusedOtherBody, request.NotRun)
	default:
		core.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
	}
	return core.actions
}

func (core *Core) startAttempt(now time.Time, arrived Request) {
	if !now.Before(arrived.Deadline) || len(core.attempts) >= core.MaxPending {
		core.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
		return
	}
	attempt := &claimAttempt{
		request:       arrived,
		state:         attemptClaiming,
		callers:       []caller{{arrived.Call, arrived.Deadline}},
		finishWithin:  arrived.Deadline.Sub(now),
		seenAge:       core.age,
		claimDeadline: earlier(arrived.Deadline, now.Add(core.AskWithin)),
	}
	core.attempts = append(core.attempts, attempt)
	core.proposeClaim(now, attempt)
}

func (core *Core) joinAttempt(attempt *claimAttempt, arrived Request) {
	switch {
	case attempt.lost:
		core.refuse(arrived.Call, request.OutcomeUnknown, request.Unknown)
	case attempt.replied:
		core.reply(arrived.Call, attempt.answer)
	default:
		attempt.callers = append(attempt.callers, caller{arrived.Call, arrived.Deadline})
	}
}

// Claimed handles the ledger's result of a claim command.
func (core *Core) Claimed(now time.Time, attemptID request.AttemptID, result ledger.ClaimResult) []Action {
	core.resetActions()
	core.age = max(core.age, result.Age)
	attempt := core.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptClaiming {
		return core.actions
	}
	switch result.State {
	case ledger.Granted:
		core.runOrRelease(now, attempt)
	case ledger.ClaimTooOld:
		core.proposeClaimAgain(now, attempt)
	case ledger.Finished:
		core.replyFinished(attempt, result.Answer)
	case ledger.OtherBody:
		core.refuseAndRemove(attempt, request.KeyReusedOtherBody, request.NotRun)
	case ledger.InDoubt:
		core.refuseAndRemove(attempt, request.OutcomeUnknown, request.Unknown)
	case ledger.Full:
		core.refuseAndRemove(attempt, request.ClaimUnavailable, request.NotRun)
	default:
		core.refuseAndRemove(attempt, request.ClaimRunning, request.Unknown)
	}
	return core.actions
}

func (core *Core) runOrRelease(now time.Time, attempt *claimAttempt) {
	if !now.Before(attempt.request.Deadline) {
		core.refuseAll(attempt, request.DeadlineTooClose, request.NotRun)
	}
	if len(attempt.callers) == 0 {
		core.startRelease(now, attempt)
		return
	}
	attempt.state = attemptRunning
	core.actions = append(core.actions, Action{Type: Run, Attempt: attempt.request.Attempt})
}

func (core *Core) proposeClaimAgain(now time.Time, attempt *claimAttempt) {
	if attempt.seenAge < core.age {
		attempt.seenAge = core.age
		core.proposeClaim(now, attempt)
	}
}

func (core *Core) replyFinished(attempt *claimAttempt, answer *Answer) {
	if answer == nil {
		core.refuseAndRemove(attempt, request.AnswerNotKept, request.Ran)
		return
	}
	core.replyAll(attempt, answer)
	core.removeAttempt(attempt)
}

func (core *Core) refuseAndRemove(attempt *claimAttempt, code request.Code, outcome request.Outcome) {
	core.refuseAll(attempt, code, outcome)
	core.removeAttempt(attempt)
}

// CallerLeft handles a call whose caller disconnected. An action that is running
// continues, and its answer is kept for a retry. A claim that no caller waits
// for any more is released.
func (core *Core) CallerLeft(now time.Time, call request.CallID) []Action {
	core.resetActions()
	for _, attempt := range slices.Clone(core.attempts) {
		attempt.callers = slices.DeleteFunc(attempt.callers, func(waiting caller) bool { return waiting.call == call })
		if attempt.state == attemptClaiming && len(attempt.callers) == 0 {
			core.startRelease(now, attempt)
		}
	}
	return core.actions
}

// Answered handles the complete answer of the target.
func (core *Core) Answered(now time.Time, attemptID request.AttemptID, answer *Answer) []Action {
	core.resetActions()
	attempt := core.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return core.actions
	}
	attempt.answer = answer
	attempt.replyBy = now.Add(core.StoreWithin)
	finish := attempt.finishCommand()
	if int64(len(answer.GetBody())) <= attempt.request.KeptAnswer {
		finish.Answer = answer
	}
	core.startRecord(now, attempt, attemptFinishing, finish.Encode())
	return core.actions
}

// NotStarted handles a request that certainly was not, and will not be, sent to
// the target.
func (core *Core) NotStarted(now time.Time, attemptID request.AttemptID, code request.Code) []Action {
	core.resetActions()
	attempt := core.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return core.actions
	}
	core.refuseAll(attempt, code, request.NotRun)
	core.startRelease(now, attempt)
	return core.actions
}

// Lost handles a request whose complete answer will never arrive, although the
// target may have run the action.
func (core *Core) Lost(now time.Time, attemptID request.AttemptID, code request.Code) []Action {
	core.resetActions()
	attempt := core.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptRunning {
		return core.actions
	}
	core.refuseAll(attempt, code, request.Unknown)
	attempt.lost = true
	finish := attempt.finishCommand()
	finish.Lost = true
	core.startRecord(now, attempt, attemptFinishing, finish.Encode())
	return core.actions
}

// Recorded handles the ledger's result of a finish or release command.
func (core *Core) Recorded(_ time.Time, attemptID request.AttemptID, state ledger.RecordState) []Action {
	core.resetActions()
	attempt := core.findAttempt(attemptID)
	if attempt == nil || attempt.state != attemptFinishing && attempt.state != attemptReleasing {
		return core.actions
	}
	if attempt.state == attemptFinishing && state == ledger.RecordClosed {
		core.Conflicts++
	}
	core.replyAll(attempt, attempt.answer)
	core.removeAttempt(attempt)
	return core.actions
}
