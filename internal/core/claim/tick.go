package claim

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Tick carries out what is due.
func (c *Core) Tick(now time.Time) []Action {
	c.begin()
	for _, current := range slices.Clone(c.attempts) {
		c.tick(now, current)
	}
	return c.actions
}

func (c *Core) tick(now time.Time, current *attempt) {
	c.refuseLate(now, current)
	switch current.state {
	case asking:
		c.tickAsking(now, current)
	case storing:
		if current.answer != nil && !now.Before(current.replyBy) {
			c.replyAll(current, current.answer)
		}
		c.proposeIfDue(now, current)
	case releasing:
		c.proposeIfDue(now, current)
	}
}

// refuseLate answers the callers whose deadline passed. An answer that is there
// and only waits to be stored is given to them instead.
func (c *Core) refuseLate(now time.Time, current *attempt) {
	code := request.DeadlinePassed
	if current.state == asking {
		code = request.ClaimInDoubt
	}
	current.callers = slices.DeleteFunc(current.callers, func(one caller) bool {
		if now.Before(one.deadline) {
			return false
		}
		if current.answer != nil {
			c.reply(one.call, current.answer)
		} else {
			c.refuse(one.call, code, request.Unknown)
		}
		return true
	})
}

func (c *Core) tickAsking(now time.Time, current *attempt) {
	if len(current.callers) == 0 || !now.Before(current.giveUpAt) {
		c.refuseAll(current, request.ClaimInDoubt, request.Unknown)
		c.release(now, current)
		return
	}
	if !now.Before(current.proposeAt) {
		c.ask(now, current)
	}
}

func (c *Core) proposeIfDue(now time.Time, current *attempt) {
	if !now.Before(current.proposeAt) {
		c.propose(now, current)
	}
}

// NextWake gives the time of the next Tick, or false if none is needed.
func (c *Core) NextWake() (time.Time, bool) {
	var next time.Time
	due := false
	consider := func(at time.Time) {
		if !due || at.Before(next) {
			next, due = at, true
		}
	}
	for _, current := range c.attempts {
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
