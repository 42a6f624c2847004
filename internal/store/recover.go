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

// recovery replays the log files.
type recovery struct {
	store    *Store
	snapshot *quorumpb.Snapshot
	// base is the entry before the first one that is kept.
	base    position
	entries []quorum.Entry
	// needless are files that were about to be removed.
	needless []uint64
}

// Open reads what the disk holds and repairs what a crash left behind.
func (store *Store) Open() (Found, error) {
	replay := &recovery{store: store}
	found, err := replay.run()
	return found, store.fail(err)
}

func (replay *recovery) run() (Found, error) {
	names, err := replay.store.Disk.List()
	if err != nil {
		return Found{}, err
	}
	if slices.Contains(names, temporary) {
		if err := replay.remove(temporary); err != nil {
			return Found{}, err
		}
	}
	if slices.Contains(names, snapshotName) {
		if err := replay.readSnapshot(); err != nil {
			return Found{}, err
		}
	}
	sequences, err := replay.usable(sequencesOf(names))
	if err != nil {
		return Found{}, err
	}
	for at, sequence := range sequences {
		if err := replay.readSegment(sequence, at == len(sequences)-1); err != nil {
			return Found{}, err
		}
	}
	if len(replay.store.segments) == 0 {
		return Found{}, replay.checkEmpty()
	}
	return replay.found()
}

func sequencesOf(names []string) []uint64 {
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

// usable gives the last run of log files without a gap. Files before a gap were
// being removed; found tells when more than those are missing.
func (replay *recovery) usable(sequences []uint64) ([]uint64, error) {
	first := len(sequences) - 1
	for first > 0 && sequences[first-1]+1 == sequences[first] {
		first--
	}
	first = max(first, 0)
	if first > 0 && replay.snapshot == nil {
		return nil, replay.damage(segmentName(sequences[first]-1), 0, "the file is missing")
	}
	replay.needless = sequences[:first]
	return sequences[first:], nil
}

func (replay *recovery) remove(name string) error {
	if err := replay.store.Disk.Remove(name); err != nil {
		return err
	}
	return replay.store.Disk.SyncFolder()
}

func (replay *recovery) damage(name string, offset int, reason string) error {
	return &DamageError{File: replay.store.Disk.Path(name), Offset: offset, Reason: reason}
}

func (replay *recovery) readSnapshot() error {
	data, err := replay.store.Disk.Read(snapshotName)
	if err != nil {
		return err
	}
	payload, rest, ok := readFrame(data)
	if !ok || len(rest) > 0 {
		return replay.damage(snapshotName, 0, "the checksum does not match")
	}
	file := &storepb.SnapshotFile{}
	if err := proto.Unmarshal(payload, file); err != nil {
		return replay.damage(snapshotName, 0, err.Error())
	}
	replay.snapshot = file.GetSnapshot()
	replay.store.id = quorum.ReplicaID(file.GetReplicaId())
	return nil
}

func (replay *recovery) readSegment(sequence uint64, final bool) error {
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
			return replay.cut(name, offset, rest, final)
		}
		if err := replay.apply(name, sequence, offset, payload); err != nil {
			return err
		}
		rest = after
	}
	if len(data) == 0 {
		return replay.cut(name, 0, nil, final)
	}
	replay.store.size = len(data)
	return nil
}

// cut drops a torn record at the end of the last log file. A whole record
// after it, or a later file, shows that it is damage instead.
func (replay *recovery) cut(name string, offset int, rest []byte, final bool) error {
	if !final || holdsFrame(rest) {
		return replay.damage(name, offset, "the checksum does not match")
	}
	if offset == 0 {
		return replay.remove(name)
	}
	if err := replay.store.Disk.Truncate(name, int64(offset)); err != nil {
		return err
	}
	replay.store.size = offset
	return replay.store.Disk.Sync(name)
}

func (replay *recovery) apply(name string, sequence uint64, offset int, payload []byte) error {
	record := &storepb.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return replay.damage(name, offset, err.Error())
	}
	if (record.GetHeader() != nil) != (offset == 0) {
		return replay.damage(name, offset, "the header is not in its place")
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
		return replay.damage(name, offset, "entries are missing before it")
	}
	kept := first - replay.base.index - 1
	replay.entries = append(replay.entries[:kept], quorum.DecodeEntries(first-1, record.GetEntries())...)
	return nil
}

func (replay *recovery) applyHeader(name string, sequence uint64, header *storepb.Header) error {
	id := quorum.ReplicaID(header.GetReplicaId())
	if replay.store.id != quorum.None && replay.store.id != id {
		return replay.damage(name, 0, fmt.Sprintf("it belongs to replica %d and not to %d", id, replay.store.id))
	}
	if header.GetSequence() != sequence {
		return replay.damage(name, 0, "it was renamed")
	}
	replay.store.id = id
	replay.store.hardState = decodeHardState(header.GetHardState())
	previous := position{quorum.Index(header.GetPreviousIndex()), quorum.Term(header.GetPreviousTerm())}
	if len(replay.store.segments) == 0 || previous != replay.last() {
		replay.base = previous
		replay.entries = nil
	}
	replay.store.segments = append(replay.store.segments, segment{sequence, previous.index})
	return nil
}

func (replay *recovery) last() position {
	if len(replay.entries) == 0 {
		return replay.base
	}
	final := replay.entries[len(replay.entries)-1]
	return position{final.Index, final.Term}
}

func (replay *recovery) checkEmpty() error {
	if replay.snapshot != nil {
		return replay.damage(segmentName(1), 0, "a snapshot is there but no log file")
	}
	replay.store.id = quorum.None
	return nil
}

// found joins the snapshot and the entries after it.
func (replay *recovery) found() (Found, error) {
	store := replay.store
	first := segmentName(store.segments[0].sequence)
	snapshot := quorum.Snapshot{
		Index:      quorum.Index(replay.snapshot.GetIndex()),
		Term:       quorum.Term(replay.snapshot.GetTerm()),
		Membership: quorum.DecodeMembership(replay.snapshot.GetMembership()),
		Data:       replay.snapshot.GetData(),
	}
	if replay.base.index > snapshot.Index {
		return Found{}, replay.damage(first, 0, "entries between the snapshot and this file are missing")
	}
	for _, sequence := range replay.needless {
		if err := replay.remove(segmentName(sequence)); err != nil {
			return Found{}, err
		}
	}
	found := Found{ID: store.id, PersistentState: quorum.PersistentState{HardState: store.hardState, Snapshot: snapshot}}
	at := position{snapshot.Index, snapshot.Term}
	if replay.holds(at) {
		store.last = replay.last()
		found.Entries = replay.entries[snapshot.Index-replay.base.index:]
		return found, nil
	}
	// The snapshot was installed over another log and a crash came before the
	// new log file.
	if err := store.roll(at); err != nil {
		return Found{}, err
	}
	return found, store.removeSegments(len(store.segments) - 1)
}

func (replay *recovery) holds(at position) bool {
	if at.index == replay.base.index {
		return at == replay.base
	}
	offset := at.index - replay.base.index
	return offset <= quorum.Index(len(replay.entries)) && replay.entries[offset-1].Term == at.term
}
