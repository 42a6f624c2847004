package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Tick carries out what is due.
func (core *Core) Tick(now time.Time) []Action {
	core.begin()
	for _, current := range slices.Clone(core.attempts) {
		core.tick(now, current)
	}
	return core.actions
}

func (core *Core) tick(now time.Time, current *attempt) {
	core.refuseLate(now, current)
	switch current.state {
	case asking:
		core.tickAsking(now, current)
	case storing:
		if current.answer != nil && !now.Before(current.replyBy) {
			core.replyAll(current, current.answer)
		}
		core.proposeIfDue(now, current)
	case releasing:
		core.proposeIfDue(now, current)
	}
}

// refuseLate answers the callers whose deadline passed. An answer that is there
// and only waits to be stored is given to them instead.
func (core *Core) refuseLate(now time.Time, current *attempt) {
	code := request.DeadlinePassed
	if current.state == asking {
		code = request.ClaimInDoubt
	}
	current.callers = slices.DeleteFunc(current.callers, func(one caller) bool {
		if now.Before(one.deadline) {
			return false
		}
		if current.answer != nil {
			core.reply(one.call, current.answer)
		} else {
			core.refuse(one.call, code, request.Unknown)
		}
		return true
	})
}

func (core *Core) tickAsking(now time.Time, current *attempt) {
	if len(current.callers) == 0 || !now.Before(current.giveUpAt) {
		core.refuseAll(current, request.ClaimInDoubt, request.Unknown)
		core.release(now, current)
		return
	}
	if !now.Before(current.proposeAt) {
		core.ask(now, current)
	}
}

func (core *Core) proposeIfDue(now time.Time, current *attempt) {
	if !now.Before(current.proposeAt) {
		core.propose(now, current)
	}
}

// NextWake gives the time of the next Tick, or false if none is needed.
func (core *Core) NextWake() (time.Time, bool) {
	var next time.Time
	due := false
	consider := func(at time.Time) {
		if !due || at.Before(next) {
			next, due = at, true
		}
	}
	for _, current := range core.attempts {
		for _, one := range current.callers {
			consider(one.deadline)
		}
		switch current.state {
		case asking:
			consider(current.giveUpAt)
			consider(current.proposeAt)
		case storing:
			if len(current.callers) > 0 {
				consider(current.replyBy)
			}
			consider(current.proposeAt)
		case releasing:
			consider(current.proposeAt)
		}
	}
	return next, due
}
