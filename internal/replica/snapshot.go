package replica

import (
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

func (replica *Replica[M]) install(snapshot quorum.Snapshot) error {
	if err := replica.store.SaveSnapshot(snapshot, true); err != nil {
		return err
	}
	if err := replica.Machine.Restore(snapshot.Data); err != nil {
		return err
	}
	replica.info("installed the snapshot at %d", snapshot.Index)
	replica.applied = snapshot.Index
	replica.noteSnapshot(snapshot)
	replica.skipTo(snapshot.Index)
	return nil
}

// compact takes a snapshot when one is due. Encoding a large state holds up the
// replica, so a leader first hands over the lead; if nobody takes it for as
// long again, it goes on all the same.
func (replica *Replica[M]) compact() error {
	share := replica.snapshotShare()
	if !replica.snapshotDue(share) {
		return nil
	}
	large := replica.snapshotSize >= replica.HandOverBytes
	if large && replica.core.Status().Role == quorum.Leader && !replica.snapshotDue(share+1) {
		replica.handOver()
		return nil
	}
	snapshot, err := replica.core.MakeSnapshot(replica.applied, replica.Machine.Snapshot())
	if err != nil {
		return err
	}
	if err := replica.store.SaveSnapshot(snapshot, false); err != nil {
		return err
	}
	replica.core.Compact(snapshot)
	replica.noteSnapshot(snapshot)
	replica.info("took a snapshot at %d of %d bytes", snapshot.Index, len(snapshot.Data))
	return nil
}

// snapshotDue tells whether enough was applied since the last snapshot: a
// number of entries, and as many bytes as the snapshot has, so that writing
// snapshots costs no more than writing the log.
func (replica *Replica[M]) snapshotDue(share float64) bool {
	entries := float64(replica.applied - replica.snapshot)
	return entries >= share*float64(replica.SnapshotEntries) &&
		float64(replica.appliedBytes) >= share*float64(replica.snapshotSize)
}

// snapshotShare is from one to two, and differs among the members, so that
// they take their snapshots one after the other.
func (replica *Replica[M]) snapshotShare() float64 {
	members := replica.core.Status().Membership.Members
	place := slices.IndexFunc(members, func(member quorum.Member) bool { return member.ID == replica.core.ID })
	return 1 + float64(max(place, 0))/float64(max(len(members), 1))
}

// handOver offers the lead to another voter, once in an election timeout.
func (replica *Replica[M]) handOver() {
	if replica.handOverPause > 0 {
		return
	}
	replica.handOverPause = 2 * replica.ElectionTicks
	if err := replica.core.TransferLeadership(replica.core.Successor()); err == nil {
		replica.info("handing over the lead before a large snapshot")
	}
}

func (replica *Replica[M]) noteSnapshot(snapshot quorum.Snapshot) {
	replica.snapshot = snapshot.Index
	replica.snapshotSize = len(snapshot.Data)
	replica.appliedBytes = 0
}
