package store

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/store/storepb"
)

const segmentPrefix = "log-"

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, sequence)
}

// logReplay restores a store by reading its log files in order.
type logReplay struct {
	store    *Store
	snapshot *quorumpb.Snapshot
	// base is the entry before the first entry read.
	base    entryPosition
	entries []quorum.Entry
	// obsolete are files whose removal a crash interrupted.
	obsolete []uint64
}

// Open reads the files on the disk and repairs what a crash left incomplete. Its
// error wraps a [DamageError] if a file is damaged or missing.
func (store *Store) Open() (Recovered, error) {
	replay := &logReplay{store: store}
	recovered, err := replay.run()
	return recovered, store.fail(err)
}

func (replay *logReplay) run() (Recovered, error) {
	names, err := replay.store.Disk.List()
	if err != nil {
		return Recovered{}, err
	}
	if slices.Contains(names, temporarySnapshotName) {
		if err := replay.removeFile(temporarySnapshotName); err != nil {
			return Recovered{}, err
		}
	}
	if slices.Contains(names, snapshotName) {
		if err := replay.readSnapshot(); err != nil {
			return Recovered{}, err
		}
	}
	sequences, err := replay.contiguousSegments(segmentSequences(names))
	if err != nil {
		return Recovered{}, err
	}
	for index, sequence := range sequences {
		if err := replay.readSegment(sequence, index == len(sequences)-1); err != nil {
			return Recovered{}, err
		}
	}
	if len(replay.store.segments) == 0 {
		return Recovered{}, replay.checkEmpty()
	}
	return replay.finish()
}

func segmentSequences(names []string) []uint64 {
	var sequences []uint64
	for _, name := range names {
		number, ok := strings.CutPrefix(name, segmentPrefix)
		sequence, err := strconv.ParseUint(number, 10, 64)
		if ok && err == nil {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	return sequences
}

// contiguousSegments gives the last run of log files without a gap. Files before a
// gap were being removed; finish detects if entries after the snapshot are missing.
func (replay *logReplay) contiguousSegments(sequences []uint64) ([]uint64, error) {
	first := len(sequences) - 1
	for first > 0 && sequences[first-1]+1 == sequences[first] {
		first--
	}
	first = max(first, 0)
	if first > 0 && replay.snapshot == nil {
		return nil, replay.damageError(segmentName(sequences[first]-1), 0, "the file is missing")
	}
	replay.obsolete = sequences[:first]
	return sequences[first:], nil
}

func (replay *logReplay) removeFile(name string) error {
	if err := replay.store.Disk.Remove(name); err != nil {
		return err
	}
	return replay.store.Disk.SyncFolder()
}

func (replay *logReplay) damageError(name string, offset int, reason string) error {
	return &DamageError{File: replay.store.Disk.Path(name), Offset: offset, Reason: reason}
}

func (replay *logReplay) readSnapshot() error {
	data, err := replay.store.Disk.Read(snapshotName)
	if err != nil {
		return err
	}
	payload, rest, ok := readFrame(data)
	if !ok || len(rest) > 0 {
		return replay.damageError(snapshotName, 0, "the checksum does not match")
	}
	file := &storepb.SnapshotFile{}
	if err := proto.Unmarshal(payload, file); err != nil {
		return replay.damageError(snapshotName, 0, err.Error())
	}
	replay.snapshot = file.GetSnapshot()
	replay.store.id = quorum.ReplicaID(file.GetReplicaId())
	return nil
}

func (replay *logReplay) readSegment(sequence uint64, last bool) error {
	name := segmentName(sequence)
	data, err := replay.store.Disk.Read(name)
	if err != nil {
		return err
	}
	rest := data
	for len(rest) > 0 {
		offset := len(data) - len(rest)
		payload, after, ok := readFrame(rest)
		if !ok {
			return replay.truncateTail(name, offset, rest, last)
		}
		if err := replay.apply(name, sequence, offset, payload); err != nil {
			return err
		}
		rest = after
	}
	if len(data) == 0 {
		return replay.truncateTail(name, 0, nil, last)
	}
	replay.store.segmentSize = len(data)
	return nil
}

// truncateTail cuts off an incomplete record at the end of the last log file. If a
// whole record or another file comes after it, the record was damaged instead.
func (replay *logReplay) truncateTail(name string, offset int, rest []byte, last bool) error {
	if !last || containsFrame(rest) {
		return replay.damageError(name, offset, "the checksum does not match")
	}
	if offset == 0 {
		return replay.removeFile(name)
	}
	if err := replay.store.Disk.Truncate(name, int64(offset)); err != nil {
		return err
	}
	replay.store.segmentSize = offset
	return replay.store.Disk.Sync(name)
}

func (replay *logReplay) apply(name string, sequence uint64, offset int, payload []byte) error {
	record := &storepb.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return replay.damageError(name, offset, err.Error())
	}
	if (record.GetHeader() != nil) != (offset == 0) {
		return replay.damageError(name, offset, "a header record is missing or misplaced")
	}
	if offset == 0 {
		return replay.applyHeader(name, sequence, record.GetHeader())
	}
	if record.GetHardState() != nil {
		replay.store.hardState = decodeHardState(record.GetHardState())
	}
	if len(record.GetEntries()) == 0 {
		return nil
	}
	first := quorum.Index(record.GetFirstIndex())
	if first <= replay.base.index || first > replay.last().index+1 {
		return replay.damageError(name, offset, "entries are missing before it")
	}
	kept := first - replay.base.index - 1
	replay.entries = append(replay.entries[:kept], quorum.DecodeEntries(first-1, record.GetEntries())...)
	return nil
}

func (replay *logReplay) applyHeader(name string, sequence uint64, header *storepb.Header) error {
	id := quorum.ReplicaID(header.GetReplicaId())
	if replay.store.id != quorum.None && replay.store.id != id {
		return replay.damageError(name, 0, fmt.Sprintf("it belongs to replica %d and not to %d", id, replay.store.id))
	}
	if header.GetSequence() != sequence {
		return replay.damageError(name, 0, "its name does not match the sequence in its header")
	}
	replay.store.id = id
	replay.store.hardState = decodeHardState(header.GetHardState())
	previous := entryPosition{quorum.Index(header.GetPreviousIndex()), quorum.Term(header.GetPreviousTerm())}
	if len(replay.store.segments) == 0 || previous != replay.last() {
		replay.base = previous
		replay.entries = nil
	}
	replay.store.segments = append(replay.store.segments, segment{sequence, previous.index})
	return nil
}

func (replay *logReplay) last() entryPosition {
	if len(replay.entries) == 0 {
		return replay.base
	}
	last := replay.entries[len(replay.entries)-1]
	return entryPosition{last.Index, last.Term}
}

func (replay *logReplay) checkEmpty() error {
	if replay.snapshot != nil {
		return replay.damageError(segmentName(1), 0, "there is a snapshot but no log file")
	}
	replay.store.id = quorum.None
	return nil
}

// finish joins the snapshot with the entries after it.
func (replay *logReplay) finish() (Recovered, error) {
	store := replay.store
	first := segmentName(store.segments[0].sequence)
	snapshot := quorum.Snapshot{
		Index:      quorum.Index(replay.snapshot.GetIndex()),
		Term:       quorum.Term(replay.snapshot.GetTerm()),
		Membership: quorum.DecodeMembership(replay.snapshot.GetMembership()),
		Data:       replay.snapshot.GetData(),
	}
	if replay.base.index > snapshot.Index {
		return Recovered{}, replay.damageError(first, 0, "entries between the snapshot and this file are missing")
	}
	for _, sequence := range replay.obsolete {
		if err := replay.removeFile(segmentName(sequence)); err != nil {
			return Recovered{}, err
		}
	}
	recovered := Recovered{ID: store.id, PersistentState: quorum.PersistentState{HardState: store.hardState, Snapshot: snapshot}}
	position := entryPosition{snapshot.Index, snapshot.Term}
	if replay.containsEntry(position) {
		store.last = replay.last()
		recovered.Entries = replay.entries[snapshot.Index-replay.base.index:]
		return recovered, nil
	}
	// A crash came after a received snapshot was installed over a different log,
	// and before the new log file was written.
	if err := store.startSegment(position); err != nil {
		return Recovered{}, err
	}
	return recovered, store.removeSegments(len(store.segments) - 1)
}

func (replay *logReplay) containsEntry(position entryPosition) bool {
	if position.index == replay.base.index {
		return position == replay.base
	}
	offset := position.index - replay.base.index
	return offset <= quorum.Index(len(replay.entries)) && replay.entries[offset-1].Term == position.term
}
