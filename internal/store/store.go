// Package store keeps what a replica of the quorum log must find again after a
// restart: its id, its hard state, its entries and its last snapshot.
//
// Entries are records in numbered log files; each record has its length and
// CRC-32C checksums, and each batch is one record and one sync. A snapshot is
// one file that is replaced in one step. Log files whose entries the snapshot
// stands for are removed.
//
// A last record that a crash cut short was never acknowledged and is cut off.
// Any other damage stops the replica with a [DamageError], since what it
// acknowledged may be gone. After a failed write or sync the store takes
// nothing more: a second sync may succeed without the lost pages.
//
// # Usage
//
//	store := &store.Store{Disk: folder}
//	found, err := store.Open()
//	if found.ID == quorum.None {
//		err = store.Create(newID)
//	}
//	err = store.Save(output.HardState, output.Entries)
package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/store/storepb"
)

const (
	defaultSegmentBytes = 8 << 20

	snapshotName = "snapshot"
	temporary    = "snapshot.new"
)

// Found is what a disk holds. An ID of [quorum.None] means an empty folder.
type Found struct {
	ID quorum.ReplicaID
	quorum.PersistentState
}

// Store keeps one replica's state. The exported fields are set before Open; it
// is used by one goroutine.
type Store struct {
	Disk port.Disk
	// SegmentBytes is the size after which a new log file begins.
	SegmentBytes int

	id        quorum.ReplicaID
	hardState quorum.HardState
	last      position
	segments  []segment
	size      int
	buffer    []byte
	failed    error
}

// position is the place of an entry.
type position struct {
	index quorum.Index
	term  quorum.Term
}

// segment is one log file, with the entry that it follows on.
type segment struct {
	sequence uint64
	previous quorum.Index
}

// DamageError says that a file lost something that was acknowledged.
type DamageError struct {
	File   string
	Offset int
	Reason string
}

// Error names the file and what to do.
func (damage *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): stop this replica, move its data folder away, "+
		"start it with an empty one and replace the old replica id", damage.File, damage.Offset, damage.Reason)
}

// Create begins the log of a new replica on an empty disk.
func (store *Store) Create(id quorum.ReplicaID) error {
	store.id = id
	return store.roll(position{})
}

// Save stores and syncs a hard state, if it is not nil, and entries. The first
// entry replaces the stored ones from its index on.
func (store *Store) Save(hardState *quorum.HardState, entries []quorum.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return store.failed
	}
	if store.failed == nil && store.full(entries) {
		store.fail(store.roll(store.last))
	}
	if store.failed != nil {
		return store.failed
	}
	record := &storepb.Record{Entries: quorum.EncodeEntries(entries)}
	if hardState != nil {
		store.hardState = *hardState
		record.HardState = encodeHardState(*hardState)
	}
	if len(entries) > 0 {
		record.FirstIndex = uint64(entries[0].Index)
		final := entries[len(entries)-1]
		store.last = position{final.Index, final.Term}
	}
	name := segmentName(store.current().sequence)
	return store.fail(store.write(name, record))
}

// SaveSnapshot replaces the snapshot. With install the whole log gives way to
// it, else only the files that it makes needless.
func (store *Store) SaveSnapshot(snapshot quorum.Snapshot, install bool) error {
	if store.failed != nil {
		return store.failed
	}
	if err := store.replaceSnapshot(snapshot); err != nil {
		return store.fail(err)
	}
	if install {
		if err := store.roll(position{snapshot.Index, snapshot.Term}); err != nil {
			return err
		}
		return store.fail(store.removeSegments(len(store.segments) - 1))
	}
	needless := 0
	for needless+1 < len(store.segments) && store.segments[needless+1].previous <= snapshot.Index {
		needless++
	}
	return store.fail(store.removeSegments(needless))
}

func (store *Store) replaceSnapshot(snapshot quorum.Snapshot) error {
	file := &storepb.SnapshotFile{
		ReplicaId: uint64(store.id),
		Snapshot: &quorumpb.Snapshot{
			Index:      uint64(snapshot.Index),
			Term:       uint64(snapshot.Term),
			Membership: quorum.EncodeMembership(snapshot.Membership),
			Data:       snapshot.Data,
		},
	}
	encoded, err := proto.MarshalOptions{}.MarshalAppend(beginFrame(nil), file)
	if err != nil {
		return err
	}
	if err := store.Disk.Append(temporary, endFrame(encoded)); err != nil {
		return err
	}
	if err := store.Disk.Sync(temporary); err != nil {
		return err
	}
	if err := store.Disk.Rename(temporary, snapshotName); err != nil {
		return err
	}
	return store.Disk.SyncFolder()
}

func (store *Store) removeSegments(count int) error {
	if count == 0 {
		return nil
	}
	for _, old := range store.segments[:count] {
		if err := store.Disk.Remove(segmentName(old.sequence)); err != nil {
			return err
		}
	}
	store.segments = append([]segment(nil), store.segments[count:]...)
	return store.Disk.SyncFolder()
}

// roll begins a new log file after an entry.
func (store *Store) roll(after position) error {
	sequence := uint64(1)
	if len(store.segments) > 0 {
		sequence = store.current().sequence + 1
	}
	store.size = 0
	header := &storepb.Header{
		ReplicaId:     uint64(store.id),
		Sequence:      sequence,
		PreviousIndex: uint64(after.index),
		PreviousTerm:  uint64(after.term),
		HardState:     encodeHardState(store.hardState),
	}
	if err := store.write(segmentName(sequence), &storepb.Record{Header: header}); err != nil {
		return store.fail(err)
	}
	store.segments = append(store.segments, segment{sequence, after.index})
	store.last = after
	return store.fail(store.Disk.SyncFolder())
}

func (store *Store) write(name string, record *storepb.Record) error {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(beginFrame(store.buffer), record)
	if err != nil {
		return err
	}
	store.buffer = endFrame(encoded)
	store.size += len(store.buffer)
	if err := store.Disk.Append(name, store.buffer); err != nil {
		return err
	}
	return store.Disk.Sync(name)
}

func (store *Store) current() segment {
	return store.segments[len(store.segments)-1]
}

// full tells whether a new log file begins before these entries. Entries that
// replace others go into the old file, so that each file follows on the last
// entry that counts in the file before.
func (store *Store) full(entries []quorum.Entry) bool {
	replaces := len(entries) > 0 && entries[0].Index <= store.last.index
	return store.size >= store.segmentBytes() && !replaces
}

func (store *Store) segmentBytes() int {
	if store.SegmentBytes == 0 {
		return defaultSegmentBytes
	}
	return store.SegmentBytes
}

// fail keeps the first failure; the store takes nothing after it.
func (store *Store) fail(err error) error {
	if err != nil && store.failed == nil {
		store.failed = fmt.Errorf("the disk failed, this replica must stop: %w", err)
	}
	return store.failed
}

func encodeHardState(hardState quorum.HardState) *quorumpb.HardState {
	return &quorumpb.HardState{Term: uint64(hardState.Term), Vote: uint64(hardState.Vote)}
}

func decodeHardState(encoded *quorumpb.HardState) quorum.HardState {
	return quorum.HardState{Term: quorum.Term(encoded.GetTerm()), Vote: quorum.ReplicaID(encoded.GetVote())}
}
