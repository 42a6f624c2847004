package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxRecordDoublings caps the time between two proposals of one record at
// RecordRetryInterval times 2 to this power.
const maxRecordDoublings = 5

type attemptState uint8

const (
	// attemptClaiming waits for the result of the claim command.
	attemptClaiming attemptState = iota + 1
	// attemptRunning holds the claim; the target may have the request.
	attemptRunning
	// attemptFinishing waits for the finish command to be stored.
	attemptFinishing
	// attemptReleasing will never run the action; it waits for the release
	// command to be stored.
	attemptReleasing
)

type caller struct {
	call     request.CallID
	deadline time.Time
}

// claimAttempt is the attempt of this node at one action, on behalf of all
// callers with the same kind, key and body.
type claimAttempt struct {
	request      Request
	state        attemptState
	callers      []caller
	finishWithin time.Duration
	seenAge      ledger.Age
	// claimDeadline is when an unanswered claim is abandoned.
	claimDeadline time.Time
	// nextProposalAt is when the command is proposed again.
	nextProposalAt time.Time
	command        []byte
	// recordProposals counts the proposals of the finish or release command.
	recordProposals int
	answer          *Answer
	lost            bool
	// replyBy is when the callers get the answer even if its record is not
	// stored.
	replyBy time.Time
	replied bool
}

func (attempt *claimAttempt) claimCommand(node request.NodeID) ledger.ClaimCommand {
	return ledger.ClaimCommand{
		Kind:         attempt.request.Kind,
		Key:          attempt.request.Key,
		Digest:       attempt.request.Digest,
		Attempt:      attempt.request.Attempt,
		Node:         node,
		FinishWithin: attempt.finishWithin,
		SeenAge:      attempt.seenAge,
	}
}

func (attempt *claimAttempt) finishCommand() ledger.FinishCommand {
	return ledger.FinishCommand{
		Kind:            attempt.request.Kind,
		Key:             attempt.request.Key,
		Attempt:         attempt.request.Attempt,
		AnswerRetention: attempt.request.AnswerRetention,
		RecordRetention: attempt.request.RecordRetention,
	}
}

func (coordinator *Coordinator) findAttempt(attemptID request.AttemptID) *claimAttempt {
	for _, attempt := range coordinator.attempts {
		if attempt.request.Attempt == attemptID {
			return attempt
		}
	}
	return nil
}

// IsPending reports whether an attempt has not ended: its answer or its record is due.
func (coordinator *Coordinator) IsPending(attemptID request.AttemptID) bool {
	return coordinator.findAttempt(attemptID) != nil
}

// findJoinable returns the attempt with this kind and key, unless it is being
// released.
func (coordinator *Coordinator) findJoinable(kind request.KindName, key request.IdempotencyKey) *claimAttempt {
	for _, attempt := range coordinator.attempts {
		if attempt.state != attemptReleasing && attempt.request.Key == key && attempt.request.Kind == kind {
			return attempt
		}
	}
	return nil
}

func (coordinator *Coordinator) removeAttempt(removed *claimAttempt) {
	coordinator.attempts = slices.DeleteFunc(coordinator.attempts, func(candidate *claimAttempt) bool { return candidate == removed })
}

func (coordinator *Coordinator) proposeClaim(now time.Time, attempt *claimAttempt) {
	command := attempt.claimCommand(coordinator.Node)
	attempt.command = command.Encode()
	attempt.nextProposalAt = now.Add(coordinator.ClaimRetryInterval)
	coordinator.actions = append(coordinator.actions, Action{
		Type:    ProposeClaim,
		Attempt: attempt.request.Attempt,
		Command: attempt.command,
	})
}

func (coordinator *Coordinator) startRelease(now time.Time, attempt *claimAttempt) {
	release := ledger.ReleaseCommand{
		Kind:    attempt.request.Kind,
		Key:     attempt.request.Key,
		Attempt: attempt.request.Attempt,
	}
	coordinator.startRecord(now, attempt, attemptReleasing, release.Encode())
}

func (coordinator *Coordinator) startRecord(now time.Time, attempt *claimAttempt, state attemptState, command []byte) {
	attempt.state = state
	attempt.command = command
	coordinator.proposeRecord(now, attempt)
}

func (coordinator *Coordinator) proposeRecord(now time.Time, attempt *claimAttempt) {
	attempt.nextProposalAt = now.Add(coordinator.RecordRetryInterval << min(attempt.recordProposals, maxRecordDoublings))
	attempt.recordProposals++
	coordinator.actions = append(coordinator.actions, Action{Type: ProposeRecord, Attempt: attempt.request.Attempt, Command: attempt.command})
}

func (coordinator *Coordinator) refuse(call request.CallID, code request.Code, outcome request.Outcome) {
	coordinator.actions = append(coordinator.actions, Action{Type: Refuse, Call: call, Code: code, Outcome: outcome})
}

func (coordinator *Coordinator) refuseAll(attempt *claimAttempt, code request.Code, outcome request.Outcome) {
	for _, waiting := range attempt.callers {
		coordinator.refuse(waiting.call, code, outcome)
	}
	attempt.callers = nil
}

func (coordinator *Coordinator) reply(call request.CallID, answer *Answer) {
	coordinator.actions = append(coordinator.actions, Action{Type: Reply, Call: call, Answer: answer})
}

func (coordinator *Coordinator) replyAll(attempt *claimAttempt, answer *Answer) {
	for _, waiting := range attempt.callers {
		coordinator.reply(waiting.call, answer)
	}
	attempt.callers = nil
	attempt.replied = true
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
