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

// The states of a proposal. The owner sends it and the caller gives it up;
// whoever is first decides whether it is in doubt.
const (
	proposalWaits int32 = iota
	proposalSent
	proposalAbandoned
)

type outcome struct {
	result []byte
	err    error
}

// proposal is a command whose caller waits for its result.
type proposal struct {
	number  uint64
	command []byte
	data    []byte
	state   atomic.Int32
	done    chan outcome
	// term is the term of the leader that it was last sent to.
	term quorum.Term
	// waited counts the ticks since then.
	waited int
	// resent says that it was sent more than once and may be in the log.
	resent bool
}

func (waiting *proposal) finish(result []byte, err error) {
	select {
	case waiting.done <- outcome{result, err}:
	default:
	}
}

// Propose records a command and gives its result. While no leader is known it
// waits. Its errors wrap [port.ErrUnavailable], when the command certainly was not
// recorded, or [port.ErrInDoubt].
func (replica *Replica[M]) Propose(ctx context.Context, command []byte) ([]byte, error) {
	replica.init()
	waiting := &proposal{command: command, done: make(chan outcome, 1)}
	if err := replica.ask(ctx, func() { replica.submit(waiting) }); err != nil {
		return nil, unavailable(err)
	}
	select {
	case out := <-waiting.done:
		return out.result, out.err
	case <-ctx.Done():
	case <-replica.stopped:
	}
	return replica.giveUp(waiting)
}

func (replica *Replica[M]) giveUp(waiting *proposal) ([]byte, error) {
	select {
	case out := <-waiting.done:
		return out.result, out.err
	default:
	}
	if waiting.state.CompareAndSwap(proposalWaits, proposalAbandoned) {
		return nil, port.ErrUnavailable
	}
	select {
	case replica.requests <- func() { delete(replica.commands, waiting.number) }:
	case <-replica.stopped:
	}
	return nil, port.ErrInDoubt
}

// ask hands a request to the owner.
func (replica *Replica[M]) ask(ctx context.Context, request func()) error {
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

func (replica *Replica[M]) submit(waiting *proposal) {
	waiting.number = replica.nextNumber()
	data, err := proto.Marshal(&quorumpb.Command{
		Origin: uint64(replica.core.ID),
		Number: waiting.number,
		Data:   waiting.command,
	})
	if err != nil {
		waiting.finish(nil, unavailable(err))
		return
	}
	waiting.data = data
	replica.try(waiting)
}

// try proposes or forwards a command once; it keeps one that no leader takes.
func (replica *Replica[M]) try(waiting *proposal) {
	if waiting.state.Load() == proposalAbandoned {
		return
	}
	status := replica.core.Status()
	if status.Leader == quorum.None {
		replica.unsent = append(replica.unsent, waiting)
		return
	}
	if !waiting.state.CompareAndSwap(proposalWaits, proposalSent) && waiting.state.Load() == proposalAbandoned {
		return
	}
	waiting.term = status.Term
	waiting.waited = 0
	replica.commands[waiting.number] = waiting
	if err := replica.hand(status, waiting); err != nil {
		replica.refused(waiting, err)
	}
}

func (replica *Replica[M]) hand(status quorum.Status, waiting *proposal) error {
	if status.Role != quorum.Leader {
		return replica.core.Forward(quorum.RequestID(waiting.number), waiting.data)
	}
	_, _, err := replica.core.Propose(waiting.data)
	return err
}

// passing are refusals that end with the next leader.
var passing = []error{quorum.ErrNotLeader, quorum.ErrNoLeader, quorum.ErrLeadershipTransfer}

// refused ends a proposal that no leader took. One that was sent before may be
// in the log all the same, and goes on waiting for the next leader.
func (replica *Replica[M]) refused(waiting *proposal, err error) {
	if waiting.resent {
		return
	}
	delete(replica.commands, waiting.number)
	if slices.Contains(passing, err) {
		waiting.state.CompareAndSwap(proposalSent, proposalWaits)
		replica.unsent = append(replica.unsent, waiting)
		return
	}
	waiting.finish(nil, unavailable(err))
}

// noteProposals takes the leader's answers to forwarded commands.
func (replica *Replica[M]) noteProposals(results []quorum.ProposalResult) {
	for _, result := range results {
		waiting, ok := replica.commands[uint64(result.Request)]
		if ok && result.Err != nil {
			replica.refused(waiting, result.Err)
		}
	}
}

// resend sends what waits for a leader, and again what an earlier leader or the
// way to the leader may have lost.
func (replica *Replica[M]) resend() {
	status := replica.core.Status()
	if status.Leader == quorum.None {
		replica.unsent = slices.DeleteFunc(replica.unsent, func(waiting *proposal) bool {
			return waiting.state.Load() == proposalAbandoned
		})
		return
	}
	unsent := replica.unsent
	replica.unsent = nil
	for _, waiting := range unsent {
		replica.try(waiting)
	}
	for _, number := range slices.Sorted(maps.Keys(replica.commands)) {
		waiting := replica.commands[number]
		waiting.waited++
		lost := status.Role != quorum.Leader && waiting.waited >= 2*replica.ElectionTicks
		if waiting.term < status.Term || lost {
			waiting.resent = true
			replica.try(waiting)
		}
	}
}

func (replica *Replica[M]) resolve(number uint64, result []byte) {
	waiting, ok := replica.commands[number]
	if !ok {
		return
	}
	delete(replica.commands, number)
	waiting.finish(result, nil)
}
