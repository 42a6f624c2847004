package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Claims is the naive twin of [claim.Coordinator]: it keeps no claims, hands every
// request to the target, and calls whatever did not answer not run.
type Claims struct {
	calls map[request.AttemptID]request.CallID
}

// Arrive runs the request.
func (claims *Claims) Arrive(_ time.Time, arrived claim.Request) []claim.Action {
	if claims.calls == nil {
		claims.calls = make(map[request.AttemptID]request.CallID)
	}
	claims.calls[arrived.Attempt] = arrived.Call
	return []claim.Action{{Type: claim.Run, Attempt: arrived.Attempt}}
}

// Answered gives the answer to the caller.
func (claims *Claims) Answered(_ time.Time, name request.AttemptID, answer *claim.Answer) []claim.Action {
	return []claim.Action{{Type: claim.Reply, Call: claims.calls[name], Answer: answer}}
}

// NotStarted refuses the call.
func (claims *Claims) NotStarted(_ time.Time, name request.AttemptID, code request.Code) []claim.Action {
	return []claim.Action{{Type: claim.Refuse, Call: claims.calls[name], Code: code, Outcome: request.NotRun}}
}

// Lost refuses the call.
func (claims *Claims) Lost(now time.Time, name request.AttemptID, code request.Code) []claim.Action {
	return claims.NotStarted(now, name, code)
}

// CallerLeft does nothing.
func (*Claims) CallerLeft(time.Time, request.CallID) []claim.Action { return nil }

// Claimed does nothing.
func (*Claims) Claimed(time.Time, request.AttemptID, ledger.ClaimResult) []claim.Action { return nil }

// Recorded does nothing.
func (*Claims) Recorded(time.Time, request.AttemptID, ledger.RecordState) []claim.Action { return nil }

// Tick does nothing.
func (*Claims) Tick(time.Time) []claim.Action { return nil }

// NextWake asks for no tick.
func (*Claims) NextWake() (time.Time, bool) { return time.Time{}, false }
