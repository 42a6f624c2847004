package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Tick handles the timers that have expired: deadlines of callers, repeated
// proposals, and answers that were held back for their record.
func (core *Core) Tick(now time.Time) []Action {
	core.resetActions()
	for _, attempt := range slices.Clone(core.attempts) {
		core.tickAttempt(now, attempt)
	}
	return core.actions
}

func (core *Core) tickAttempt(now time.Time, attempt *claimAttempt) {
	core.endExpiredCalls(now, attempt)
	switch attempt.state {
	case attemptClaiming:
		core.tickClaiming(now, attempt)
	case attemptFinishing:
		if attempt.answer != nil && !now.Before(attempt.replyBy) {
			core.replyAll(attempt, attempt.answer)
		}
		core.proposeRecordIfDue(now, attempt)
	case attemptReleasing:
		core.proposeRecordIfDue(now, attempt)
	}
}

// endExpiredCalls refuses the callers whose deadline has passed. If the answer
// has arrived and only its record is not stored yet, they get the answer.
func (core *Core) endExpiredCalls(now time.Time, attempt *claimAttempt) {
	code := request.DeadlinePassed
	if attempt.state == attemptClaiming {
		code = request.ClaimInDoubt
	}
	attempt.callers = slices.DeleteFunc(attempt.callers, func(waiting caller) bool {
		if now.Before(waiting.deadline) {
			return false
		}
		if attempt.answer != nil {
			core.reply(waiting.call, attempt.answer)
		} else {
			core.refuse(waiting.call, code, request.Unknown)
		}
		return true
	})
}

func (core *Core) tickClaiming(now time.Time, attempt *claimAttempt) {
	if len(attempt.callers) == 0 || !now.Before(attempt.claimDeadline) {
		core.refuseAll(attempt, request.ClaimInDoubt, request.Unknown)
		core.startRelease(now, attempt)
		return
	}
	if !now.Before(attempt.nextProposalAt) {
		core.proposeClaim(now, attempt)
	}
}

func (core *Core) proposeRecordIfDue(now time.Time, attempt *claimAttempt) {
	if !now.Before(attempt.nextProposalAt) {
		core.proposeRecord(now, attempt)
	}
}

// NextWake returns the time at which [Core.Tick] must be called next, or false
// if no timer is set.
func (core *Core) NextWake() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for _, attempt := range core.attempts {
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
