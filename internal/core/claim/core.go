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
	// Lookup is the claim behind an Ask, for a replica that can answer it from
	// its state.
	Lookup ledger.ClaimCommand
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
func (c *Core) Pending() int {
	return len(c.attempts)
}

func (c *Core) begin() {
	c.actions = c.actions[:0]
}

// Arrive takes a request. The actions are valid until the next event.
func (c *Core) Arrive(now time.Time, arrived Request) []Action {
	c.begin()
	current := c.joinable(arrived.Kind, arrived.Key)
	switch {
	case current == nil:
		c.start(now, arrived)
	case current.request.Digest == arrived.Digest:
		c.join(current, arrived)
	case current.state == running || current.state == storing:
		c.refuse(arrived.Call, request.KeyReusedOtherBody, request.NotRun)
	default:
		c.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
	}
	return c.actions
}

func (c *Core) start(now time.Time, arrived Request) {
	if !now.Before(arrived.Deadline) || len(c.attempts) >= c.MaxPending {
		c.refuse(arrived.Call, request.ClaimInDoubt, request.Unknown)
		return
	}
	started := &attempt{
		request:  arrived,
		state:    asking,
		callers:  []caller{{arrived.Call, arrived.Deadline}},
		within:   arrived.Deadline.Sub(now),
		seen:     c.age,
		giveUpAt: earlier(arrived.Deadline, now.Add(c.AskWithin)),
	}
	c.attempts = append(c.attempts, started)
	c.ask(now, started)
}

func (c *Core) join(current *attempt, arrived Request) {
	switch {
	case current.lost:
		c.refuse(arrived.Call, request.OutcomeUnknown, request.Unknown)
	case current.replied:
		c.reply(arrived.Call, current.answer)
	default:
		current.callers = append(current.callers, caller{arrived.Call, arrived.Deadline})
	}
}

// Claimed takes the ledger's answer to a claim.
func (c *Core) Claimed(now time.Time, name request.AttemptID, result ledger.ClaimResult) []Action {
	c.begin()
	c.age = max(c.age, result.Age)
	current := c.find(name)
	if current == nil || current.state != asking {
		return c.actions
	}
	switch result.State {
	case ledger.Granted:
		c.granted(now, current)
	case ledger.TooOld:
		c.askAgain(now, current)
	case ledger.Finished:
		c.finishedBefore(current, result.Answer)
	case ledger.OtherBody:
		c.turnAway(current, request.KeyReusedOtherBody, request.NotRun)
	case ledger.InDoubt:
		c.turnAway(current, request.OutcomeUnknown, request.Unknown)
	case ledger.Full:
		c.turnAway(current, request.ClaimUnavailable, request.NotRun)
	default:
		c.turnAway(current, request.ClaimRunning, request.Unknown)
	}
	return c.actions
}

func (c *Core) granted(now time.Time, current *attempt) {
	if !now.Before(current.request.Deadline) {
		c.refuseAll(current, request.DeadlineTooClose, request.NotRun)
	}
	if len(current.callers) == 0 {
		c.release(now, current)
		return
	}
	current.state = running
	c.actions = append(c.actions, Action{Type: Run, Attempt: current.request.Attempt})
}

func (c *Core) askAgain(now time.Time, current *attempt) {
	if current.seen < c.age {
		current.seen = c.age
		c.ask(now, current)
	}
}

func (c *Core) finishedBefore(current *attempt, answer *Answer) {
	if answer == nil {
		c.turnAway(current, request.AnswerNotKept, request.Ran)
		return
	}
	c.replyAll(current, answer)
	c.drop(current)
}

func (c *Core) turnAway(current *attempt, code request.Code, outcome request.Outcome) {
	c.refuseAll(current, code, outcome)
	c.drop(current)
}

// CallerLeft takes a call whose caller went away. An action that runs goes on,
// and its answer is kept for a resend.
func (c *Core) CallerLeft(now time.Time, call request.CallID) []Action {
	c.begin()
	for _, current := range slices.Clone(c.attempts) {
		current.callers = slices.DeleteFunc(current.callers, func(one caller) bool { return one.call == call })
		if current.state == asking && len(current.callers) == 0 {
			c.release(now, current)
		}
	}
	return c.actions
}

// Answered takes the whole answer of the target.
func (c *Core) Answered(now time.Time, name request.AttemptID, answer *Answer) []Action {
	c.begin()
	current := c.find(name)
	if current == nil || current.state != running {
		return c.actions
	}
	current.answer = answer
	current.replyBy = now.Add(c.StoreWithin)
	finish := current.finish()
	if int64(len(answer.GetBody())) <= current.request.KeptAnswer {
		finish.Answer = answer
	}
	c.record(now, current, storing, finish.Encode())
	return c.actions
}

// NotStarted takes the certainty that the target was not handed the request and
// will not be.
func (c *Core) NotStarted(now time.Time, name request.AttemptID, code request.Code) []Action {
	c.begin()
	current := c.find(name)
	if current == nil || current.state != running {
		return c.actions
	}
	c.refuseAll(current, code, request.NotRun)
	c.release(now, current)
	return c.actions
}

// Lost takes the news that the target's answer will never come whole, though it
// may have run the action.
func (c *Core) Lost(now time.Time, name request.AttemptID, code request.Code) []Action {
	c.begin()
	current := c.find(name)
	if current == nil || current.state != running {
		return c.actions
	}
	c.refuseAll(current, code, request.Unknown)
	current.lost = true
	finish := current.finish()
	finish.Lost = true
	c.record(now, current, storing, finish.Encode())
	return c.actions
}

// Recorded takes the ledger's answer to a finish or a release.
func (c *Core) Recorded(_ time.Time, name request.AttemptID, state ledger.RecordState) []Action {
	c.begin()
	current := c.find(name)
	if current == nil || current.state != storing && current.state != releasing {
		return c.actions
	}
	if current.state == storing && state == ledger.RecordClosed {
		c.Conflicts++
	}
	c.replyAll(current, current.answer)
	c.drop(current)
	return c.actions
}
