package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Timeouts and intervals of a claim. They leave room for a round trip between
// regions.
const (
	claimRetryInterval   = 300 * time.Millisecond
	claimTimeout         = 2 * time.Second
	claimStoreTimeout    = 500 * time.Millisecond
	recordRetryInterval  = 500 * time.Millisecond
	claimProposeTimeout  = time.Second
	maxPendingAttempts   = 256
	maxQueuedClaimEvents = 256
)

// Proposer appends commands to the ledger.
type Proposer interface {
	// Propose returns the command's result. After an error the command may or may not
	// be recorded; the caller proposes it again.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// claimOutcome is how a call ends that may run only once: with an answer, or with a
// code.
type claimOutcome struct {
	answer  *claim.Answer
	code    request.Code
	outcome request.Outcome
}

// claimDriver runs the claim coordinator of a node. One goroutine, in loop, owns the
// coordinator; all methods post events to it. startAttempt hands a granted attempt to
// the target.
type claimDriver struct {
	coordinator  claim.Coordinator
	proposer     Proposer
	startAttempt func(attempt request.AttemptID)

	events          chan func(now time.Time) []claim.Action
	waiting         map[request.CallID]chan claimOutcome
	pendingAttempts atomic.Int64
	ctx             context.Context
	// held is how many bytes of memory the answers of attempts take that are not recorded yet.
	held   map[request.AttemptID]int64
	memory *answerMemory
}

func newClaimDriver(id request.NodeID, proposer Proposer, startAttempt func(request.AttemptID), memory *answerMemory) *claimDriver {
	return &claimDriver{
		coordinator: claim.Coordinator{
			Node:                id,
			ClaimRetryInterval:  claimRetryInterval,
			ClaimTimeout:        claimTimeout,
			StoreTimeout:        claimStoreTimeout,
			RecordRetryInterval: recordRetryInterval,
			MaxPendingAttempts:  maxPendingAttempts,
		},
		proposer:     proposer,
		startAttempt: startAttempt,
		events:       make(chan func(time.Time) []claim.Action, maxQueuedClaimEvents),
		waiting:      make(map[request.CallID]chan claimOutcome),
		held:         make(map[request.AttemptID]int64),
		memory:       memory,
	}
}

// loop processes events and timers until the context ends. The field ctx must be set
// before.
func (driver *claimDriver) loop(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		driver.setTimer(timer)
		select {
		case event := <-driver.events:
			driver.execute(event(time.Now()))
		case <-timer.C:
			driver.execute(driver.coordinator.Tick(time.Now()))
		case <-ctx.Done():
			return
		}
		driver.releaseAnswers()
		driver.pendingAttempts.Store(int64(driver.coordinator.Pending()))
	}
}

// releaseAnswers gives back the memory of answers whose attempts have ended.
func (driver *claimDriver) releaseAnswers() {
	for attempt, length := range driver.held {
		if !driver.coordinator.IsPending(attempt) {
			delete(driver.held, attempt)
			driver.memory.give(length)
		}
	}
}

func (driver *claimDriver) setTimer(timer *time.Timer) {
	delay := time.Hour
	if wake, due := driver.coordinator.NextWake(); due {
		delay = max(0, time.Until(wake))
	}
	timer.Reset(delay)
}

func (driver *claimDriver) execute(actions []claim.Action) {
	for _, action := range actions {
		switch action.Type {
		case claim.ProposeClaim:
			go driver.proposeClaim(action.Attempt, action.Command)
		case claim.ProposeRecord:
			go driver.proposeRecord(action.Attempt, action.Command)
		case claim.Run:
			driver.startAttempt(action.Attempt)
		case claim.Reply:
			driver.resolve(action.Call, claimOutcome{answer: action.Answer})
		case claim.Refuse:
			driver.resolve(action.Call, claimOutcome{code: action.Code, outcome: action.Outcome})
		}
	}
}

func (driver *claimDriver) resolve(call request.CallID, outcome claimOutcome) {
	waiting, ok := driver.waiting[call]
	if !ok {
		return
	}
	delete(driver.waiting, call)
	waiting <- outcome
}

func (driver *claimDriver) post(event func(now time.Time) []claim.Action) {
	select {
	case driver.events <- event:
	case <-driver.ctx.Done():
	}
}

func (driver *claimDriver) proposeClaim(attempt request.AttemptID, command []byte) {
	result, ok := driver.propose(command)
	if !ok {
		return
	}
	decoded, err := ledger.DecodeClaim(result)
	if err != nil {
		return
	}
	driver.post(func(now time.Time) []claim.Action { return driver.coordinator.Claimed(now, attempt, decoded) })
}

func (driver *claimDriver) proposeRecord(attempt request.AttemptID, command []byte) {
	result, ok := driver.propose(command)
	if !ok {
		return
	}
	state, err := ledger.DecodeRecord(result)
	if err != nil {
		return
	}
	driver.post(func(now time.Time) []claim.Action { return driver.coordinator.Recorded(now, attempt, state) })
}

func (driver *claimDriver) propose(command []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(driver.ctx, claimProposeTimeout)
	defer cancel()
	result, err := driver.proposer.Propose(ctx, command)
	return result, err == nil
}

// submit passes a request to the coordinator. Its outcome is sent on the returned channel.
func (driver *claimDriver) submit(received claim.Request) <-chan claimOutcome {
	waiting := make(chan claimOutcome, 1)
	driver.post(func(now time.Time) []claim.Action {
		driver.waiting[received.Call] = waiting
		return driver.coordinator.Arrive(now, received)
	})
	return waiting
}

func (driver *claimDriver) callerLeft(call request.CallID) {
	driver.post(func(now time.Time) []claim.Action {
		delete(driver.waiting, call)
		return driver.coordinator.CallerLeft(now, call)
	})
}

// answered passes on an answer for which memory was taken.
func (driver *claimDriver) answered(attempt request.AttemptID, answer *claim.Answer) {
	driver.post(func(now time.Time) []claim.Action {
		driver.held[attempt] = int64(len(answer.GetBody()))
		return driver.coordinator.Answered(now, attempt, answer)
	})
}

func (driver *claimDriver) notStarted(attempt request.AttemptID, code request.Code) {
	driver.post(func(now time.Time) []claim.Action { return driver.coordinator.NotStarted(now, attempt, code) })
}

func (driver *claimDriver) lost(attempt request.AttemptID, code request.Code) {
	driver.post(func(now time.Time) []claim.Action { return driver.coordinator.Lost(now, attempt, code) })
}
