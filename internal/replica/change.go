package replica

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// change is a proposed change of the members, whose caller waits for its result.
type change struct {
	term quorum.Term
	done chan error
}

func (change *change) finish(entry quorum.Entry) {
	if entry.Term == change.term {
		change.done <- nil
		return
	}
	change.done <- port.ErrUnavailable
}

// Status gives the status of the local core.
func (replica *Replica[M]) Status(ctx context.Context) (quorum.Status, error) {
	var status quorum.Status
	err := replica.Peek(ctx, func(M) { status = replica.core.Status() })
	return status, err
}

// Change changes one member and waits until the change is committed. Only the
// leader accepts it; another replica returns a [NotLeaderError]. The error is or
// wraps [port.ErrUnavailable] if the change was not made, and is [port.ErrInDoubt]
// if it may still be made.
func (replica *Replica[M]) Change(ctx context.Context, wanted quorum.MembershipChange) error {
	replica.init()
	pending := &change{done: make(chan error, 1)}
	if err := replica.enqueue(ctx, func() { replica.submitChange(wanted, pending) }); err != nil {
		return wrapUnavailable(err)
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
	case <-replica.stopped:
	}
	return port.ErrInDoubt
}

func (replica *Replica[M]) submitChange(wanted quorum.MembershipChange, pending *change) {
	index, term, err := replica.core.ProposeChange(wanted)
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		status := replica.core.Status()
		leader, _ := status.Membership.Find(status.Leader)
		pending.done <- &NotLeaderError{Leader: leader}
	case err != nil:
		pending.done <- err
	default:
		pending.term = term
		if earlier, ok := replica.pendingChanges[index]; ok {
			earlier.done <- port.ErrUnavailable
		}
		replica.pendingChanges[index] = pending
	}
}

// Replace replaces a lost replica: the new one is added as a learner, promoted
// when it has caught up, and then the lost id is removed for good. After an
// interruption it may be called again with the same arguments.
func (replica *Replica[M]) Replace(ctx context.Context, lost quorum.ReplicaID, added quorum.Member) error {
	status, err := replica.Status(ctx)
	if err != nil {
		return err
	}
	member, known := status.Membership.Find(added.ID)
	if !known {
		if err := replica.changeWithRetry(ctx, quorum.MembershipChange{Kind: quorum.AddLearner, Member: added}); err != nil {
			return err
		}
	}
	if !known || member.Learner {
		if err := replica.changeWithRetry(ctx, quorum.MembershipChange{Kind: quorum.Promote, Member: added}); err != nil {
			return err
		}
	}
	if _, there := status.Membership.Find(lost); !there {
		return nil
	}
	return replica.changeWithRetry(ctx, quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: lost}})
}

// changeWithRetry repeats a change while the member has not caught up or another
// change is pending.
func (replica *Replica[M]) changeWithRetry(ctx context.Context, wanted quorum.MembershipChange) error {
	for {
		err := replica.Change(ctx, wanted)
		if !errors.Is(err, quorum.ErrNotCaughtUp) && !errors.Is(err, quorum.ErrChangePending) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(replica.Tick):
		}
	}
}

// endChangesUpTo ends the changes whose entries an installed snapshot replaced.
func (replica *Replica[M]) endChangesUpTo(index quorum.Index) {
	for at, pending := range replica.pendingChanges {
		if at <= index {
			delete(replica.pendingChanges, at)
			pending.done <- port.ErrInDoubt
		}
	}
}
