// Package store keeps on disk what a replica of the quorum log needs after a
// restart: its id, its hard state, its entries and its last snapshot.
//
// The log is a sequence of numbered files (segments). Each batch of entries is one
// record, written with its length and CRC-32C checksums and made durable by one
// sync. The snapshot is one file that is replaced atomically. Segments whose
// entries are all contained in the snapshot are removed.
//
// A last record that a crash cut short was never acknowledged, and is truncated.
// Any other damage stops the replica with a [DamageError], since acknowledged
// entries may be lost. After a failed write or sync the store refuses all further
// writes: a second sync might succeed although the data of the first was lost.
//
// # Usage
//
//	store := &store.Store{Disk: folder}
//	recovered, err := store.Open()
//	if recovered.ID == quorum.None {
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

	snapshotName          = "snapshot"
	temporarySnapshotName = "snapshot.new"
)

// Recovered is the state found on a disk. The ID is [quorum.None] if the folder is
// empty.
type Recovered struct {
	ID quorum.ReplicaID
	quorum.PersistentState
}

// Store keeps the state of one replica. The exported fields are set before Open. A
// Store is used by one goroutine.
type Store struct {
	Disk port.Disk
	// SegmentBytes is the size from which a new log file is started; zero means 8 MiB.
	SegmentBytes int

	id          quorum.ReplicaID
	hardState   quorum.HardState
	last        entryPosition
	segments    []segment
	segmentSize int
	buffer      []byte
	failure     error
}

// entryPosition is the index and term of an entry.
type entryPosition struct {
	index quorum.Index
	term  quorum.Term
}

// segment is one log file, with the index of the entry before its first entry.
type segment struct {
	sequence uint64
	previous quorum.Index
}

// DamageError is the error of a file that lost acknowledged data.
type DamageError struct {
	File   string
	Offset int
	Reason string
}

// Error names the file, and what an operator has to do.
func (damage *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): stop this replica, move its data folder away, "+
		"start it with an empty one and replace the old replica id", damage.File, damage.Offset, damage.Reason)
}

// Create starts the log of a new replica on an empty disk.
func (store *Store) Create(id quorum.ReplicaID) error {
	store.id = id
	return store.startSegment(entryPosition{})
}

// Save stores and syncs entries, and a hard state if it is not nil. The entries
// replace all stored entries from the index of the first one on.
func (store *Store) Save(hardState *quorum.HardState, entries []quorum.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return store.failure
	}
	if store.failure == nil && store.needsNewSegment(entries) {
		store.fail(store.startSegment(store.last))
	}
	if store.failure != nil {
		return store.failure
	}
	record := &storepb.Record{Entries: quorum.EncodeEntries(entries)}
	if hardState != nil {
		store.hardState = *hardState
		record.HardState = encodeHardState(*hardState)
	}
	if len(entries) > 0 {
		record.FirstIndex = uint64(entries[0].Index)
		last := entries[len(entries)-1]
		store.last = entryPosition{last.Index, last.Term}
	}
	name := segmentName(store.currentSegment().sequence)
	return store.fail(store.appendRecord(name, record))
}

// SaveSnapshot replaces the stored snapshot. With install, the snapshot also replaces
// the whole log; otherwise only the log files that it makes obsolete are removed.
func (store *Store) SaveSnapshot(snapshot quorum.Snapshot, install bool) error {
	if store.failure != nil {
		return store.failure
	}
	if err := store.writeSnapshot(snapshot); err != nil {
		return store.fail(err)
	}
	if install {
		if err := store.startSegment(entryPosition{snapshot.Index, snapshot.Term}); err != nil {
			return err
		}
		return store.fail(store.removeSegments(len(store.segments) - 1))
	}
	obsolete := 0
	for obsolete+1 < len(store.segments) && store.segments[obsolete+1].previous <= snapshot.Index {
		obsolete++
	}
	return store.fail(store.removeSegments(obsolete))
}

func (store *Store) writeSnapshot(snapshot quorum.Snapshot) error {
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
	if err := store.Disk.Append(temporarySnapshotName, endFrame(encoded)); err != nil {
		return err
	}
	if err := store.Disk.Sync(temporarySnapshotName); err != nil {
		return err
	}
	if err := store.Disk.Rename(temporarySnapshotName, snapshotName); err != nil {
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

// startSegment starts a new log file after an entry.
func (store *Store) startSegment(after entryPosition) error {
	sequence := uint64(1)
	if len(store.segments) > 0 {
		sequence = store.currentSegment().sequence + 1
	}
	store.segmentSize = 0
	header := &storepb.Header{
		ReplicaId:     uint64(store.id),
		Sequence:      sequence,
		PreviousIndex: uint64(after.index),
		PreviousTerm:  uint64(after.term),
		HardState:     encodeHardState(store.hardState),
	}
	if err := store.appendRecord(segmentName(sequence), &storepb.Record{Header: header}); err != nil {
		return store.fail(err)
	}
	store.segments = append(store.segments, segment{sequence, after.index})
	store.last = after
	return store.fail(store.Disk.SyncFolder())
}

func (store *Store) appendRecord(name string, record *storepb.Record) error {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(beginFrame(store.buffer), record)
	if err != nil {
		return err
	}
	store.buffer = endFrame(encoded)
	store.segmentSize += len(store.buffer)
	if err := store.Disk.Append(name, store.buffer); err != nil {
		return err
	}
	return store.Disk.Sync(name)
}

func (store *Store) currentSegment() segment {
	return store.segments[len(store.segments)-1]
}

// needsNewSegment reports whether a new log file must start before these entries.
// Entries that replace others stay in the old file, so that each file begins after
// the last valid entry of the file before it.
func (store *Store) needsNewSegment(entries []quorum.Entry) bool {
	replaces := len(entries) > 0 && entries[0].Index <= store.last.index
	return store.segmentSize >= store.segmentBytes() && !replaces
}

func (store *Store) segmentBytes() int {
	if store.SegmentBytes == 0 {
		return defaultSegmentBytes
	}
	return store.SegmentBytes
}

// fail records the first failure, after which the store refuses all writes.
func (store *Store) fail(err error) error {
	if err != nil && store.failure == nil {
		store.failure = fmt.Errorf("the disk failed and this replica must stop: %w", err)
	}
	return store.failure
}

func encodeHardState(hardState quorum.HardState) *quorumpb.HardState {
	return &quorumpb.HardState{Term: uint64(hardState.Term), Vote: uint64(hardState.Vote)}
}

func decodeHardState(encoded *quorumpb.HardState) quorum.HardState {
	return quorum.HardState{Term: quorum.Term(encoded.GetTerm()), Vote: quorum.ReplicaID(encoded.GetVote())}
}
