package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The times of a claim. They leave room for a round between regions.
const (
	claimAskEvery    = 300 * time.Millisecond
	claimAskWithin   = 2 * time.Second
	claimStoreWithin = 500 * time.Millisecond
	claimRecordEvery = 500 * time.Millisecond
	claimProposeTime = time.Second
	maxPendingClaims = 256
	claimEvents      = 256
)

// Proposer records commands in the ledger.
type Proposer interface {
	// Propose gives the command's result. After an error the command may be
	// recorded or not; it is proposed again.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// ending is what becomes of a call that may not be repeated.
type ending struct {
	answer  *claim.Answer
	code    request.Code
	outcome request.Outcome
}

// claims runs the claim core of a node. One goroutine owns the core; run hands
// a granted attempt to the target.
type claims struct {
	core     claim.Core
	proposer Proposer
	run      func(attempt request.AttemptID)

	events  chan func(now time.Time) []claim.Action
	calls   map[request.CallID]chan ending
	pending atomic.Int64
	ctx     context.Context
}

func newClaims(id request.NodeID, proposer Proposer, run func(request.AttemptID)) *claims {
	return &claims{
		core: claim.Core{
			Node:        id,
			AskEvery:    claimAskEvery,
			AskWithin:   claimAskWithin,
			StoreWithin: claimStoreWithin,
			RecordEvery: claimRecordEvery,
			MaxPending:  maxPendingClaims,
		},
		proposer: proposer,
		run:      run,
		events:   make(chan func(time.Time) []claim.Action, claimEvents),
		calls:    make(map[request.CallID]chan ending),
	}
}

// loop owns the core until the context ends. The field ctx is set before.
func (cl *claims) loop(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		cl.setTimer(timer)
		select {
		case event := <-cl.events:
			cl.do(event(time.Now()))
		case <-timer.C:
			cl.do(cl.core.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
		cl.pending.Store(int64(cl.core.Pending()))
	}
}

func (cl *claims) setTimer(timer *time.Timer) {
	wait := time.Hour
	if wake, due := cl.core.NextWake(); due {
		wait = max(0, time.Until(wake))
	}
	timer.Reset(wait)
}

func (cl *claims) do(actions []claim.Action) {
	for _, action := range actions {
		switch action.Type {
		case claim.Ask:
			go cl.ask(action.Attempt, action.Command)
		case claim.Record:
			go cl.record(action.Attempt, action.Command)
		case claim.Run:
			cl.run(action.Attempt)
		case claim.Reply:
			cl.end(action.Call, ending{answer: action.Answer})
		case claim.Refuse:
			cl.end(action.Call, ending{code: action.Code, outcome: action.Outcome})
		}
	}
}

func (cl *claims) end(call request.CallID, how ending) {
	waiting, ok := cl.calls[call]
	if !ok {
		return
	}
	delete(cl.calls, call)
	waiting <- how
}

func (cl *claims) post(event func(now time.Time) []claim.Action) {
	select {
	case cl.events <- event:
	case <-cl.ctx.Done():
	}
}

func (cl *claims) ask(attempt request.AttemptID, command []byte) {
	result, ok := cl.propose(command)
	if !ok {
		return
	}
	decoded, err := ledger.DecodeClaim(result)
	if err != nil {
		return
	}
	cl.post(func(now time.Time) []claim.Action { return cl.core.Claimed(now, attempt, decoded) })
}

func (cl *claims) record(attempt request.AttemptID, command []byte) {
	result, ok := cl.propose(command)
	if !ok {
		return
	}
	state, err := ledger.DecodeRecord(result)
	if err != nil {
		return
	}
	cl.post(func(now time.Time) []claim.Action { return cl.core.Recorded(now, attempt, state) })
}

func (cl *claims) propose(command []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(cl.ctx, claimProposeTime)
	defer cancel()
	result, err := cl.proposer.Propose(ctx, command)
	return result, err == nil
}

// arrive takes a request; its end comes on the channel.
func (cl *claims) arrive(arrived claim.Request) <-chan ending {
	waiting := make(chan ending, 1)
	cl.post(func(now time.Time) []claim.Action {
		cl.calls[arrived.Call] = waiting
		return cl.core.Arrive(now, arrived)
	})
	return waiting
}

func (cl *claims) callerLeft(call request.CallID) {
	cl.post(func(now time.Time) []claim.Action {
		delete(cl.calls, call)
		return cl.core.CallerLeft(now, call)
	})
}

func (cl *claims) answered(attempt request.AttemptID, answer *claim.Answer) {
	cl.post(func(now time.Time) []claim.Action { return cl.core.Answered(now, attempt, answer) })
}

func (cl *claims) notStarted(attempt request.AttemptID, code request.Code) {
	cl.post(func(now time.Time) []claim.Action { return cl.core.NotStarted(now, attempt, code) })
}

func (cl *claims) lost(attempt request.AttemptID, code request.Code) {
	cl.post(func(now time.Time) []claim.Action { return cl.core.Lost(now, attempt, code) })
}
