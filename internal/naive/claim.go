package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Claims is the baseline of [claim.Coordinator]: it records no claims, sends every request
// to the target, and reports each attempt without an answer as not run.
type Claims struct {
	calls map[request.AttemptID]request.CallID
}

// Arrive sends the request to the target.
func (claims *Claims) Arrive(_ time.Time, incoming claim.Request) []claim.Action {
	if claims.calls == nil {
		claims.calls = make(map[request.AttemptID]request.CallID)
	}
	claims.calls[incoming.Attempt] = incoming.Call
	return []claim.Action{{Type: claim.Run, Attempt: incoming.Attempt}}
}

// Answered replies to the caller.
func (claims *Claims) Answered(_ time.Time, attempt request.AttemptID, answer *claim.Answer) []claim.Action {
	return []claim.Action{{Type: claim.Reply, Call: claims.calls[attempt], Answer: answer}}
}

// NotStarted refuses the call as not run.
func (claims *Claims) NotStarted(_ time.Time, attempt request.AttemptID, code request.Code) []claim.Action {
	return []claim.Action{{Type: claim.Refuse, Call: claims.calls[attempt], Code: code, Outcome: request.NotRun}}
}

// Lost refuses the call as not run, although it may have run.
func (claims *Claims) Lost(now time.Time, attempt request.AttemptID, code request.Code) []claim.Action {
	return claims.NotStarted(now, attempt, code)
}

// CallerLeft does nothing.
func (*Claims) CallerLeft(time.Time, request.CallID) []claim.Action { return nil }

// Claimed does nothing.
func (*Claims) Claimed(time.Time, request.AttemptID, ledger.ClaimResult) []claim.Action { return nil }

// Recorded does nothing.
func (*Claims) Recorded(time.Time, request.AttemptID, ledger.RecordState) []claim.Action { return nil }

// Tick does nothing.
func (*Claims) Tick(time.Time) []claim.Action { return nil }

// NextWake requests no tick.
func (*Claims) NextWake() (time.Time, bool) { return time.Time{}, false }
