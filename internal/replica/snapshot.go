package replica

import (
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

func (replica *Replica[M]) installSnapshot(snapshot quorum.Snapshot) error {
	if err := replica.store.SaveSnapshot(snapshot, true); err != nil {
		return err
	}
	if err := replica.Machine.Restore(snapshot.Data); err != nil {
		return err
	}
	replica.logInfo("installed a received snapshot at entry %d", snapshot.Index)
	replica.appliedIndex = snapshot.Index
	replica.recordSnapshot(snapshot)
	replica.endChangesUpTo(snapshot.Index)
	return nil
}

// compact takes a snapshot when one is due. Encoding a large state blocks the
// replica, so a leader first transfers leadership; if no other replica takes it
// before a snapshot is overdue, the leader takes the snapshot itself.
func (replica *Replica[M]) compact() error {
	factor := replica.snapshotFactor()
	if !replica.snapshotDue(factor) {
		return nil
	}
	large := replica.snapshotSize >= replica.TransferSnapshotBytes
	if large && replica.core.Status().Role == quorum.Leader && !replica.snapshotDue(factor+1) {
		replica.transferBeforeSnapshot()
		return nil
	}
	return replica.takeSnapshot()
}

// maxRefreshFactor times TransferSnapshotBytes is the size up to which a leader takes a
// snapshot for new members: it pauses once for them, and not again and again.
const maxRefreshFactor = 4

// refreshSnapshot takes a snapshot before new members are added, if they would get more
// entries after the last one than a snapshot may be behind.
func (replica *Replica[M]) refreshSnapshot(changes []quorum.MembershipChange) {
	adds := slices.ContainsFunc(changes, func(change quorum.MembershipChange) bool { return change.Kind == quorum.AddLearner })
	if adds && replica.appliedBytes >= replica.SnapshotBytes && replica.snapshotSize < maxRefreshFactor*replica.TransferSnapshotBytes {
		replica.fail(replica.takeSnapshot())
	}
}

func (replica *Replica[M]) takeSnapshot() error {
	snapshot, err := replica.core.MakeSnapshot(replica.appliedIndex, replica.Machine.Snapshot())
	if err != nil {
		return err
	}
	if err := replica.store.SaveSnapshot(snapshot, false); err != nil {
		return err
	}
	replica.core.Compact(snapshot)
	replica.recordSnapshot(snapshot)
	replica.logInfo("took a snapshot at entry %d of %d bytes", snapshot.Index, len(snapshot.Data))
	return nil
}

// snapshotDue reports whether enough was applied since the last snapshot: a number of
// entries or of bytes, and as many bytes as the snapshot has, so that writing snapshots
// costs no more than writing the log.
func (replica *Replica[M]) snapshotDue(factor float64) bool {
	entries, size := float64(replica.appliedIndex-replica.snapshotIndex), float64(replica.appliedBytes)
	many := entries >= factor*float64(replica.SnapshotEntries) || size >= factor*float64(replica.SnapshotBytes)
	return many && size >= factor*float64(replica.snapshotSize)
}

// snapshotFactor is from one to two, and differs between the members, so that they
// take their snapshots at different times.
func (replica *Replica[M]) snapshotFactor() float64 {
	members := replica.core.Status().Membership.Members
	position := slices.IndexFunc(members, func(member quorum.Member) bool { return member.ID == replica.core.ID })
	return 1 + float64(max(position, 0))/float64(max(len(members), 1))
}

// transferBeforeSnapshot offers leadership to another voter, at most once in the
// longest election timeout.
func (replica *Replica[M]) transferBeforeSnapshot() {
	if replica.transferPauseTicks > 0 {
		return
	}
	replica.transferPauseTicks = 2 * replica.ElectionTicks
	if err := replica.core.TransferLeadership(replica.core.Successor()); err == nil {
		replica.logInfo("transferring leadership before a large snapshot")
	}
}

func (replica *Replica[M]) recordSnapshot(snapshot quorum.Snapshot) {
	replica.snapshotIndex = snapshot.Index
	replica.snapshotSize = len(snapshot.Data)
	replica.appliedBytes = 0
}
