package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxRecordDoublings bounds the time between two proposals of one record.
const maxRecordDoublings = 5

type attemptState uint8

const (
	// asking waits for the ledger's answer to the claim.
	asking attemptState = iota + 1
	// running holds the claim; the target may have the request.
	running
	// storing waits for the finish to be stored.
	storing
	// releasing will never run; it waits for the release to be stored.
	releasing
)

type caller struct {
	call     request.CallID
	deadline time.Time
}

// attempt is one attempt of this node at one action.
type attempt struct {
	request Request
	state   attemptState
	callers []caller
	within  time.Duration
	seen    ledger.Age
	// giveUpAt is when an unanswered claim is given up.
	giveUpAt time.Time
	// proposeAt is when the command is proposed again.
	proposeAt time.Time
	command   []byte
	// proposed is how often the record was proposed.
	proposed int
	answer   *Answer
	lost     bool
	// replyBy is when the callers get the answer though it is not stored.
	replyBy time.Time
	replied bool
}

func (a *attempt) claim(node request.NodeID) ledger.ClaimCommand {
	return ledger.ClaimCommand{
		Kind:         a.request.Kind,
		Key:          a.request.Key,
		Digest:       a.request.Digest,
		Attempt:      a.request.Attempt,
		Node:         node,
		FinishWithin: a.within,
		SeenAge:      a.seen,
	}
}

func (a *attempt) finish() ledger.FinishCommand {
	return ledger.FinishCommand{
		Kind:       a.request.Kind,
		Key:        a.request.Key,
		Attempt:    a.request.Attempt,
		KeepAnswer: a.request.KeepAnswer,
		KeepRecord: a.request.KeepRecord,
	}
}

func (core *Core) find(name request.AttemptID) *attempt {
	for _, current := range core.attempts {
		if current.request.Attempt == name {
			return current
		}
	}
	return nil
}

// joinable gives the attempt at a key that a further call can wait for.
func (core *Core) joinable(kind request.KindName, key request.IdempotencyKey) *attempt {
	for _, current := range core.attempts {
		if current.state != releasing && current.request.Key == key && current.request.Kind == kind {
			return current
		}
	}
	return nil
}

func (core *Core) drop(gone *attempt) {
	core.attempts = slices.DeleteFunc(core.attempts, func(one *attempt) bool { return one == gone })
}

func (core *Core) ask(now time.Time, current *attempt) {
	command := current.claim(core.Node)
	current.command = command.Encode()
	current.proposeAt = now.Add(core.AskEvery)
	core.actions = append(core.actions, Action{
		Type:    Ask,
		Attempt: current.request.Attempt,
		Command: current.command,
	})
}

func (core *Core) release(now time.Time, current *attempt) {
	release := ledger.ReleaseCommand{
		Kind:    current.request.Kind,
		Key:     current.request.Key,
		Attempt: current.request.Attempt,
	}
	core.record(now, current, releasing, release.Encode())
}

func (core *Core) record(now time.Time, current *attempt, state attemptState, command []byte) {
	current.state = state
	current.command = command
	core.propose(now, current)
}

func (core *Core) propose(now time.Time, current *attempt) {
	current.proposeAt = now.Add(core.RecordEvery << min(current.proposed, maxRecordDoublings))
	current.proposed++
	core.actions = append(core.actions, Action{Type: Record, Attempt: current.request.Attempt, Command: current.command})
}

func (core *Core) refuse(call request.CallID, code request.Code, outcome request.Outcome) {
	core.actions = append(core.actions, Action{Type: Refuse, Call: call, Code: code, Outcome: outcome})
}

func (core *Core) refuseAll(current *attempt, code request.Code, outcome request.Outcome) {
	for _, one := range current.callers {
		core.refuse(one.call, code, outcome)
	}
	current.callers = nil
}

func (core *Core) reply(call request.CallID, answer *Answer) {
	core.actions = append(core.actions, Action{Type: Reply, Call: call, Answer: answer})
}

func (core *Core) replyAll(current *attempt, answer *Answer) {
	for _, one := range current.callers {
		core.reply(one.call, answer)
	}
	current.callers = nil
	current.replied = true
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
