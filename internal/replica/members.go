package replica

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// change is a change of members whose caller waits.
type change struct {
	term quorum.Term
	done chan error
}

func (waiting *change) finish(entry quorum.Entry) {
	if entry.Term == waiting.term {
		waiting.done <- nil
		return
	}
	waiting.done <- port.ErrUnavailable
}

// Status tells where the replica stands.
func (replica *Replica[M]) Status(ctx context.Context) (quorum.Status, error) {
	var status quorum.Status
	err := replica.Peek(ctx, func(M) { status = replica.core.Status() })
	return status, err
}

// Change changes one member and waits until that is committed. It is asked of
// the leader; another replica gives a [NotLeaderError].
func (replica *Replica[M]) Change(ctx context.Context, wanted quorum.MembershipChange) error {
	replica.init()
	waiting := &change{done: make(chan error, 1)}
	if err := replica.ask(ctx, func() { replica.submitChange(wanted, waiting) }); err != nil {
		return unavailable(err)
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
	case <-replica.stopped:
	}
	return port.ErrInDoubt
}

func (replica *Replica[M]) submitChange(wanted quorum.MembershipChange, waiting *change) {
	index, term, err := replica.core.ProposeChange(wanted)
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		status := replica.core.Status()
		leader, _ := status.Membership.Find(status.Leader)
		waiting.done <- &NotLeaderError{Leader: leader}
	case err != nil:
		waiting.done <- err
	default:
		waiting.term = term
		if earlier, ok := replica.changes[index]; ok {
			earlier.done <- port.ErrUnavailable
		}
		replica.changes[index] = waiting
	}
}

// Replace puts a new replica in the place of a lost one: the new one is added
// as a learner, promoted once it has caught up, and then the lost id is removed
// for good. It may be called again after it was interrupted.
func (replica *Replica[M]) Replace(ctx context.Context, lost quorum.ReplicaID, added quorum.Member) error {
	status, err := replica.Status(ctx)
	if err != nil {
		return err
	}
	member, known := status.Membership.Find(added.ID)
	if !known {
		if err := replica.changeSoon(ctx, quorum.MembershipChange{Kind: quorum.AddLearner, Member: added}); err != nil {
			return err
		}
	}
	if !known || member.Learner {
		if err := replica.changeSoon(ctx, quorum.MembershipChange{Kind: quorum.Promote, Member: added}); err != nil {
			return err
		}
	}
	if _, there := status.Membership.Find(lost); !there {
		return nil
	}
	return replica.changeSoon(ctx, quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: lost}})
}

// changeSoon tries a change until nothing is in its way any more.
func (replica *Replica[M]) changeSoon(ctx context.Context, wanted quorum.MembershipChange) error {
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

// skipTo ends what waits for entries that a snapshot stands for.
func (replica *Replica[M]) skipTo(index quorum.Index) {
	for at, waiting := range replica.changes {
		if at <= index {
			delete(replica.changes, at)
			waiting.done <- port.ErrInDoubt
		}
	}
}
