package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Tick handles the timers that have expired: deadlines of callers, repeated
// proposals, and answers that were held back for their record.
func (coordinator *Coordinator) Tick(now time.Time) []Action {
	coordinator.resetActions()
	for _, attempt := range slices.Clone(coordinator.attempts) {
		coordinator.tickAttempt(now, attempt)
	}
	return coordinator.actions
}

func (coordinator *Coordinator) tickAttempt(now time.Time, attempt *claimAttempt) {
	coordinator.endExpiredCalls(now, attempt)
	switch attempt.state {
	case attemptClaiming:
		coordinator.tickClaiming(now, attempt)
	case attemptFinishing:
		if attempt.answer != nil && !now.Before(attempt.replyBy) {
			coordinator.replyAll(attempt, attempt.answer)
		}
		coordinator.proposeRecordIfDue(now, attempt)
	case attemptReleasing:
		coordinator.proposeRecordIfDue(now, attempt)
	}
}

// endExpiredCalls refuses the callers whose deadline has passed. If the answer
// has arrived and only its record is not stored yet, they get the answer.
func (coordinator *Coordinator) endExpiredCalls(now time.Time, attempt *claimAttempt) {
	code := request.DeadlinePassed
	if attempt.state == attemptClaiming {
		code = request.ClaimInDoubt
	}
	attempt.callers = slices.DeleteFunc(attempt.callers, func(waiting caller) bool {
		if now.Before(waiting.deadline) {
			return false
		}
		if attempt.answer != nil {
			coordinator.reply(waiting.call, attempt.answer)
		} else {
			coordinator.refuse(waiting.call, code, request.Unknown)
		}
		return true
	})
}

func (coordinator *Coordinator) tickClaiming(now time.Time, attempt *claimAttempt) {
	if len(attempt.callers) == 0 || !now.Before(attempt.claimDeadline) {
		coordinator.refuseAll(attempt, request.ClaimInDoubt, request.Unknown)
		coordinator.startRelease(now, attempt)
		return
	}
	if !now.Before(attempt.nextProposalAt) {
		coordinator.proposeClaim(now, attempt)
	}
}

func (coordinator *Coordinator) proposeRecordIfDue(now time.Time, attempt *claimAttempt) {
	if !now.Before(attempt.nextProposalAt) {
		coordinator.proposeRecord(now, attempt)
	}
}

// NextWake returns the time at which [Coordinator.Tick] must be called next, or false
// if no timer is set.
func (coordinator *Coordinator) NextWake() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for _, attempt := range coordinator.attempts {
		for _, waiting := range attempt.callers {
			consider(waiting.deadline)
		}
		switch attempt.state {
		case attemptClaiming:
			consider(attempt.claimDeadline)
			consider(attempt.nextProposalAt)
		case attemptFinishing:
			if len(attempt.callers) > 0 {
				consider(attempt.replyBy)
			}
			consider(attempt.nextProposalAt)
		case attemptReleasing:
			consider(attempt.nextProposalAt)
		}
	}
	return next, found
}
