package replica

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// The states of a proposal. The replica's goroutine marks it as sent, the caller as
// abandoned; if it was sent first, its outcome is in doubt.
const (
	proposalWaiting int32 = iota
	proposalSent
	proposalAbandoned
)

type proposalResult struct {
	result []byte
	err    error
}

// proposal is a command whose caller waits for its result.
type proposal struct {
	number  uint64
	command []byte
	encoded []byte
	state   atomic.Int32
	done    chan proposalResult
	// term is the term of the leader to which it was last sent.
	term quorum.Term
	// waitedTicks is the number of ticks since then.
	waitedTicks int
	// resent is set once it is sent again, so that it may be in the log already.
	resent bool
}

func (proposal *proposal) finish(result []byte, err error) {
	select {
	case proposal.done <- proposalResult{result, err}:
	default:
	}
}

// Propose records a command and gives its result. It waits while no leader is known.
// Its errors wrap [port.ErrUnavailable], if the command certainly was not recorded,
// or [port.ErrInDoubt].
func (replica *Replica[M]) Propose(ctx context.Context, command []byte) ([]byte, error) {
	replica.init()
	pending := &proposal{command: command, done: make(chan proposalResult, 1)}
	if err := replica.enqueue(ctx, func() { replica.submit(pending) }); err != nil {
		return nil, wrapUnavailable(err)
	}
	select {
	case outcome := <-pending.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
	case <-replica.stopped:
	}
	return replica.abandon(pending)
}

func (replica *Replica[M]) abandon(pending *proposal) ([]byte, error) {
	select {
	case outcome := <-pending.done:
		return outcome.result, outcome.err
	default:
	}
	if pending.state.CompareAndSwap(proposalWaiting, proposalAbandoned) {
		return nil, port.ErrUnavailable
	}
	select {
	case replica.requests <- func() { delete(replica.sentProposals, pending.number) }:
	case <-replica.stopped:
	}
	return nil, port.ErrInDoubt
}

// enqueue passes a request to the replica's goroutine.
func (replica *Replica[M]) enqueue(ctx context.Context, request func()) error {
	select {
	case <-replica.stopped:
		return ErrStopped
	default:
	}
	select {
	case replica.requests <- request:
		return nil
	case <-replica.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (replica *Replica[M]) submit(pending *proposal) {
	pending.number = replica.nextNumber()
	data, err := proto.Marshal(&quorumpb.Command{
		Origin: uint64(replica.core.ID),
		Number: pending.number,
		Data:   pending.command,
	})
	if err != nil {
		pending.finish(nil, wrapUnavailable(err))
		return
	}
	pending.encoded = data
	replica.dispatch(pending)
}

// dispatch proposes or forwards a command once. While there is no leader it queues
// the command.
func (replica *Replica[M]) dispatch(pending *proposal) {
	if pending.state.Load() == proposalAbandoned {
		return
	}
	status := replica.core.Status()
	if status.Leader == quorum.None {
		replica.unsentProposals = append(replica.unsentProposals, pending)
		return
	}
	if !pending.state.CompareAndSwap(proposalWaiting, proposalSent) && pending.state.Load() == proposalAbandoned {
		return
	}
	pending.term = status.Term
	pending.waitedTicks = 0
	replica.sentProposals[pending.number] = pending
	if err := replica.proposeOrForward(status, pending); err != nil {
		replica.handleRefusal(pending, err)
	}
}

func (replica *Replica[M]) proposeOrForward(status quorum.Status, pending *proposal) error {
	if status.Role != quorum.Leader {
		return replica.core.Forward(quorum.RequestID(pending.number), pending.encoded)
	}
	_, _, err := replica.core.Propose(pending.encoded)
	return err
}

// transientErrors are refusals that end when the next leader is known.
var transientErrors = []error{quorum.ErrNotLeader, quorum.ErrNoLeader, quorum.ErrLeadershipTransfer}

// handleRefusal ends a proposal that the leader refused, or queues it again. One that
// was sent before may be in the log and goes on waiting for the next leader.
func (replica *Replica[M]) handleRefusal(pending *proposal, err error) {
	if pending.resent {
		return
	}
	delete(replica.sentProposals, pending.number)
	if slices.Contains(transientErrors, err) {
		pending.state.CompareAndSwap(proposalSent, proposalWaiting)
		replica.unsentProposals = append(replica.unsentProposals, pending)
		return
	}
	pending.finish(nil, wrapUnavailable(err))
}

// handleProposalResults handles the leader's refusals of forwarded commands.
func (replica *Replica[M]) handleProposalResults(results []quorum.ProposalResult) {
	for _, result := range results {
		pending, ok := replica.sentProposals[uint64(result.Request)]
		if ok && result.Err != nil {
			replica.handleRefusal(pending, result.Err)
		}
	}
}

// resendProposals sends the queued proposals, and repeats those that were sent to an
// earlier leader or may have been lost on the way.
func (replica *Replica[M]) resendProposals() {
	status := replica.core.Status()
	if status.Leader == quorum.None {
		replica.unsentProposals = slices.DeleteFunc(replica.unsentProposals, func(pending *proposal) bool {
			return pending.state.Load() == proposalAbandoned
		})
		return
	}
	unsent := replica.unsentProposals
	replica.unsentProposals = nil
	for _, pending := range unsent {
		replica.dispatch(pending)
	}
	for _, number := range slices.Sorted(maps.Keys(replica.sentProposals)) {
		pending := replica.sentProposals[number]
		pending.waitedTicks++
		lost := status.Role != quorum.Leader && pending.waitedTicks >= 2*replica.ElectionTicks
		if pending.term < status.Term || lost {
			pending.resent = true
			replica.dispatch(pending)
		}
	}
}

func (replica *Replica[M]) completeProposal(number uint64, result []byte) {
	pending, ok := replica.sentProposals[number]
	if !ok {
		return
	}
	delete(replica.sentProposals, number)
	pending.finish(result, nil)
}
