// Package claim is the node's side of a request that may not be repeated: it
// asks the ledger for the claim on its kind and key, lets the node hand the
// request to the target only when the claim is granted, and records how it
// ended.
//
// What a caller is told follows from what is certain about the action, whichever
// attempt it belongs to: not-run only while this attempt holds the claim and
// will not run, since then no other attempt ran or can run; ran with the answer;
// unknown in all other cases, also when no quorum answers, since an earlier
// attempt with the same key may have run.
//
// # Usage
//
// One goroutine owns a [Core], gives it events with their time and carries out
// the actions that it returns:
//
//	core := &claim.Core{Node: "n1", AskEvery: 100 * time.Millisecond, ...}
//	for _, action := range core.Arrive(now, request) {
//		switch action.Type {
//		case claim.Ask:     // propose action.Command, then core.Claimed
//		case claim.Run:     // hand over, then core.Answered, NotStarted or Lost
//		case claim.Reply:   // give action.Answer to action.Call
//		case claim.Refuse:  // refuse action.Call with action.Code and action.Outcome
//		case claim.Record:  // propose action.Command, then core.Recorded
//		}
//	}
//
// Tick is due at [Core.NextWake]. Commands are proposed again by the core until
// their result comes, so the adapter need not retry. Before the process exits it
// waits for [Core.Pending] to reach zero, for a bounded time.
package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Answer is the whole answer of a target.
type Answer = ledgerpb.Answer

// Request is one call that may not be repeated, with its body read.
type Request struct {
	Call request.CallID
	// Attempt is a fresh random number; it is used if the call joins no other.
	Attempt  request.AttemptID
	Kind     request.KindName
	Key      request.IdempotencyKey
	Digest   ledger.BodyDigest
	Deadline time.Time
	// KeptAnswer is the largest body of an answer that is kept, in bytes.
	KeptAnswer int64
	KeepAnswer time.Duration
	KeepRecord time.Duration
}

// ActionType is what the node has to do.
type ActionType uint8

// The types of action.
const (
	// Ask proposes a claim to the ledger.
	Ask ActionType = iota + 1
	// Run hands the request of the attempt to the target.
	Run
	// Reply gives a call the whole answer.
	Reply
	// Refuse refuses a call.
	Refuse
	// Record proposes a finish or a release to the ledger.
	Record
)

// Action is one thing that the node has to do.
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

// Core decides on the requests of one node that may not be repeated. The fields
// are set before the first event.
type Core struct {
	Node request.NodeID
	// AskEvery is the time after which a claim is proposed again.
	AskEvery time.Duration
	// AskWithin is the time after which an unanswered claim is given up.
	AskWithin time.Duration
	// StoreWithin is how long an answer waits for its record to be stored.
	StoreWithin time.Duration
	// RecordEvery is the time after which a record is proposed again; it doubles
	// each time, up to [maxRecordDoublings] times, so that a node that is cut off
	// from the quorum does not flood it afterwards.
	RecordEvery time.Duration
	// MaxPending bounds the attempts whose end is not recorded yet; above it
	// new requests are refused at once.
	MaxPending int

	age      ledger.Age
	attempts []*attempt
	actions  []Action
	// Conflicts counts finished actions whose claim an operator had settled.
	Conflicts uint64
}

// Pending is the number of attempts whose end is not recorded yet.
func (core *Core) Pending() int {
	return len(core.attempts)
}

func (core *Core) begin() {
	core.actions = core.actions[:0]
}

// Arrive takes a request. The actions are valid until the next event.
func (core *Core) Arrive(now time.Time, arrived Request) []Action {
	core.begin()
	current := core.joinable(arrived.Kind, arrived.Key)
	switch {
	case current == nil:
		core.start(now, arrived)
	case current.request.Digest == arrived.Digest:
		core.join(current, arrived)
	case current.state == running || current.state == storing:
		core.refuse(arrived.Call, request.KeyReusedOtherBody, request.NotRun)
	default:
		core.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
	}
	return core.actions
}

func (core *Core) start(now time.Time, arrived Request) {
	if !now.Before(arrived.Deadline) || len(core.attempts) >= core.MaxPending {
		core.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
		return
	}
	started := &attempt{
		request:  arrived,
		state:    asking,
		callers:  []caller{{arrived.Call, arrived.Deadline}},
		within:   arrived.Deadline.Sub(now),
		seen:     core.age,
		giveUpAt: earlier(arrived.Deadline, now.Add(core.AskWithin)),
	}
	core.attempts = append(core.attempts, started)
	core.ask(now, started)
}

func (core *Core) join(current *attempt, arrived Request) {
	switch {
	case current.lost:
		core.refuse(arrived.Call, request.OutcomeUnknown, request.Unknown)
	case current.replied:
		core.reply(arrived.Call, current.answer)
	default:
		current.callers = append(current.callers, caller{arrived.Call, arrived.Deadline})
	}
}

// Claimed takes the ledger's answer to a claim.
func (core *Core) Claimed(now time.Time, name request.AttemptID, result ledger.ClaimResult) []Action {
	core.begin()
	core.age = max(core.age, result.Age)
	current := core.find(name)
	if current == nil || current.state != asking {
		return core.actions
	}
	switch result.State {
	case ledger.Granted:
		core.granted(now, current)
	case ledger.TooOld:
		core.askAgain(now, current)
	case ledger.Finished:
		core.finishedBefore(current, result.Answer)
	case ledger.OtherBody:
		core.turnAway(current, request.KeyReusedOtherBody, request.NotRun)
	case ledger.InDoubt:
		core.turnAway(current, request.OutcomeUnknown, request.Unknown)
	case ledger.Full:
		core.turnAway(current, request.ClaimUnavailable, request.NotRun)
	default:
		core.turnAway(current, request.ClaimRunning, request.Unknown)
	}
	return core.actions
}

func (core *Core) granted(now time.Time, current *attempt) {
	if !now.Before(current.request.Deadline) {
		core.refuseAll(current, request.DeadlineTooClose, request.NotRun)
	}
	if len(current.callers) == 0 {
		core.release(now, current)
		return
	}
	current.state = running
	core.actions = append(core.actions, Action{Type: Run, Attempt: current.request.Attempt})
}

func (core *Core) askAgain(now time.Time, current *attempt) {
	if current.seen < core.age {
		current.seen = core.age
		core.ask(now, current)
	}
}

func (core *Core) finishedBefore(current *attempt, answer *Answer) {
	if answer == nil {
		core.turnAway(current, request.AnswerNotKept, request.Ran)
		return
	}
	core.replyAll(current, answer)
	core.drop(current)
}

func (core *Core) turnAway(current *attempt, code request.Code, outcome request.Outcome) {
	core.refuseAll(current, code, outcome)
	core.drop(current)
}

// CallerLeft takes a call whose caller went away. An action that runs goes on,
// and its answer is kept for a resend.
func (core *Core) CallerLeft(now time.Time, call request.CallID) []Action {
	core.begin()
	for _, current := range slices.Clone(core.attempts) {
		current.callers = slices.DeleteFunc(current.callers, func(one caller) bool { return one.call == call })
		if current.state == asking && len(current.callers) == 0 {
			core.release(now, current)
		}
	}
	return core.actions
}

// Answered takes the whole answer of the target.
func (core *Core) Answered(now time.Time, name request.AttemptID, answer *Answer) []Action {
	core.begin()
	current := core.find(name)
	if current == nil || current.state != running {
		return core.actions
	}
	current.answer = answer
	current.replyBy = now.Add(core.StoreWithin)
	finish := current.finish()
	if int64(len(answer.GetBody())) <= current.request.KeptAnswer {
		finish.Answer = answer
	}
	core.record(now, current, storing, finish.Encode())
	return core.actions
}

// NotStarted takes the certainty that the target was not handed the request and
// will not be.
func (core *Core) NotStarted(now time.Time, name request.AttemptID, code request.Code) []Action {
	core.begin()
	current := core.find(name)
	if current == nil || current.state != running {
		return core.actions
	}
	core.refuseAll(current, code, request.NotRun)
	core.release(now, current)
	return core.actions
}

// Lost takes the news that the target's answer will never come whole, though it
// may have run the action.
func (core *Core) Lost(now time.Time, name request.AttemptID, code request.Code) []Action {
	core.begin()
	current := core.find(name)
	if current == nil || current.state != running {
		return core.actions
	}
	core.refuseAll(current, code, request.Unknown)
	current.lost = true
	finish := current.finish()
	finish.Lost = true
	core.record(now, current, storing, finish.Encode())
	return core.actions
}

// Recorded takes the ledger's answer to a finish or a release.
func (core *Core) Recorded(_ time.Time, name request.AttemptID, state ledger.RecordState) []Action {
	core.begin()
	current := core.find(name)
	if current == nil || current.state != storing && current.state != releasing {
		return core.actions
	}
	if current.state == storing && state == ledger.RecordClosed {
		core.Conflicts++
	}
	core.replyAll(current, current.answer)
	core.drop(current)
	return core.actions
}
