package store_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/store"
)

const replicaID = quorum.ReplicaID(7)

// operation is a call of the store, and its effect on a simple model.
type operation struct {
	name         string
	run          func(*store.Store) error
	applyToModel func(*store.Recovered)
}

func newEntries(term quorum.Term, first, last quorum.Index) []quorum.Entry {
	var entries []quorum.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, quorum.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)})
	}
	return entries
}

func saveOperation(term quorum.Term, first, last quorum.Index) operation {
	state := quorum.HardState{Term: term, Vote: 2}
	entries := newEntries(term, first, last)
	return operation{
		name: fmt.Sprintf("save %d to %d", first, last),
		run:  func(s *store.Store) error { return s.Save(&state, entries) },
		applyToModel: func(recovered *store.Recovered) {
			recovered.HardState = state
			kept := slices.DeleteFunc(slices.Clone(recovered.Entries), func(entry quorum.Entry) bool { return entry.Index >= first })
			recovered.Entries = append(kept, entries...)
		},
	}
}

func snapshotOperation(index quorum.Index, term quorum.Term, install bool) operation {
	taken := quorum.Snapshot{
		Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index),
		Membership: quorum.Membership{Members: []quorum.Member{{ID: replicaID, Address: "127.0.0.1:1"}}},
	}
	return operation{
		name: fmt.Sprintf("snapshot at %d", index),
		run:  func(s *store.Store) error { return s.SaveSnapshot(taken, install) },
		applyToModel: func(recovered *store.Recovered) {
			recovered.Snapshot = taken
			recovered.Entries = slices.DeleteFunc(slices.Clone(recovered.Entries), func(entry quorum.Entry) bool {
				return install || entry.Index <= index
			})
		},
	}
}

// script covers every operation, with segments that fill up, entries that are
// replaced, and a snapshot installed over a different log.
func script() []operation {
	return []operation{
		{
			"create",
			func(s *store.Store) error { return s.Create(replicaID) },
			func(recovered *store.Recovered) { recovered.ID = replicaID },
		},
		saveOperation(1, 1, 3), saveOperation(1, 4, 9), saveOperation(2, 6, 8), saveOperation(2, 9, 14),
		snapshotOperation(7, 2, false), saveOperation(3, 15, 18), snapshotOperation(16, 3, false), saveOperation(3, 19, 20),
		snapshotOperation(18, 4, true), saveOperation(4, 19, 22), snapshotOperation(40, 5, true), saveOperation(5, 41, 43),
		snapshotOperation(43, 5, false), saveOperation(6, 44, 45),
	}
}

func newStore(disk *fakeDisk) *store.Store { return &store.Store{Disk: disk, SegmentBytes: 200} }

// runScript runs the script until an operation fails. It returns the state of the
// model before and after that operation.
func runScript(disk *fakeDisk) (before, after store.Recovered, failure error) {
	s := newStore(disk)
	if _, err := s.Open(); err != nil {
		return before, after, err
	}
	for _, step := range script() {
		step.applyToModel(&after)
		if err := step.run(s); err != nil {
			return before, after, fmt.Errorf("%s: %w", step.name, err)
		}
		before = after
	}
	return before, after, nil
}

func equalState(left, right store.Recovered) bool {
	return left.ID == right.ID && left.HardState == right.HardState &&
		reflect.DeepEqual(left.Snapshot, right.Snapshot) &&
		slices.EqualFunc(left.Entries, right.Entries, func(a, b quorum.Entry) bool { return reflect.DeepEqual(a, b) })
}

// TestCrashAtEveryStep crashes at every disk operation of the script, with each degree
// of progress, and then at every disk operation of the recovery.
func TestCrashAtEveryStep(t *testing.T) {
	whole := newDisk()
	if _, _, err := runScript(whole); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for step := 1; step <= whole.steps; step++ {
		for progress := range progressCount {
			for left := range survivalCount {
				checked += crashAtStep(t, step, progress, left)
			}
		}
	}
	t.Logf("%d steps, %d states checked", whole.steps, checked)
}

func crashAtStep(t *testing.T, step int, progress progress, left survival) int {
	t.Helper()
	checked := 0
	for recoveryStep := 0; ; recoveryStep++ {
		disk := newDisk()
		disk.failAt, disk.failProgress = step, progress
		before, after, failure := runScript(disk)
		if !errors.Is(failure, errCrash) {
			t.Fatalf("step %d: the script does not stop: %v", step, failure)
		}
		disk.crash(left)
		if recoveryStep > 0 {
			disk.failAt, disk.failProgress = recoveryStep, progress
			_, err := newStore(disk).Open()
			if err == nil {
				return checked
			}
			disk.crash(left)
		}
		checkRecovered(t, disk, before, after, fmt.Sprintf("step %d fault %d left %d recovery step %d, %v", step, progress, left, recoveryStep, failure))
		checked++
	}
}

// checkRecovered expects the state before or after the failed operation, and that the
// store can be used from there on.
func checkRecovered(t *testing.T, disk *fakeDisk, before, after store.Recovered, where string) {
	t.Helper()
	s := newStore(disk)
	recovered, err := s.Open()
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if !equalState(recovered, before) && !equalState(recovered, after) {
		t.Fatalf("%s: found %+v, which is neither before %+v nor after %+v", where, recovered, before, after)
	}
	if recovered.ID == quorum.None {
		return
	}
	next := recovered.Snapshot.Index + quorum.Index(len(recovered.Entries)) + 1
	more := saveOperation(9, next, next+2)
	more.applyToModel(&recovered)
	if err := more.run(s); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	disk.crash(keepNothing)
	reopened, err := newStore(disk).Open()
	if err != nil || !equalState(reopened, recovered) {
		t.Fatalf("%s: found %+v after %+v was saved, %v", where, reopened, recovered, err)
	}
}

// TestFailedSyncStopsStore checks that the store does not write after a failure.
func TestFailedSyncStopsStore(t *testing.T) {
	expect := gomega.NewWithT(t)
	disk := newDisk()
	s := newStore(disk)
	_, err := s.Open()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(s.Create(replicaID)).To(gomega.Succeed())
	disk.failAt, disk.failProgress = disk.steps+2, notDone
	state := quorum.HardState{Term: 3}
	expect.Expect(s.Save(&state, nil)).To(gomega.MatchError(errCrash))
	steps := disk.steps
	disk.failAt = -1
	expect.Expect(s.Save(&state, newEntries(3, 1, 1))).To(gomega.MatchError(errCrash))
	expect.Expect(s.SaveSnapshot(quorum.Snapshot{Index: 1}, false)).To(gomega.MatchError(errCrash))
	expect.Expect(disk.steps).To(gomega.Equal(steps))
}

// TestDamageErrorNamesFile corrupts each byte of each file. Only damage of the last
// record may be taken for an incomplete write; any other must be reported with the
// name of the file.
func TestDamageErrorNamesFile(t *testing.T) {
	whole := newDisk()
	if _, _, err := runScript(whole); err != nil {
		t.Fatal(err)
	}
	names, _ := whole.List()
	lastRecord := lastRecordOffset(whole.files[names[len(names)-2]].data)
	for _, name := range names {
		for step := range whole.files[name].data {
			disk := newDisk()
			if _, _, err := runScript(disk); err != nil {
				t.Fatal(err)
			}
			disk.files[name].data[step] ^= 0x10
			_, err := newStore(disk).Open()
			torn := name == names[len(names)-2] && step >= lastRecord
			if torn {
				if err != nil {
					t.Fatalf("%s byte %d: %v", name, step, err)
				}
				continue
			}
			var damage *store.DamageError
			if !errors.As(err, &damage) || !strings.Contains(err.Error(), "folder/"+name) {
				t.Fatalf("%s byte %d: error is %v", name, step, err)
			}
		}
	}
}

// lastRecordOffset gives the offset of the last record, by the lengths only.
func lastRecordOffset(data []byte) int {
	offset := 0
	for {
		next := offset + 12 + int(data[offset]) + int(data[offset+1])<<8
		if next >= len(data) {
			return offset
		}
		offset = next
	}
}

// TestMissingFileIsReported removes each file in turn.
func TestMissingFileIsReported(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, steps := range []int{5, 9} {
		disk := newDisk()
		s := newStore(disk)
		_, err := s.Open()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, step := range script()[:steps] {
			expect.Expect(step.run(s)).To(gomega.Succeed())
		}
		names, _ := disk.List()
		for _, name := range names[:len(names)-1] {
			removed := disk.files[name]
			delete(disk.files, name)
			_, err := newStore(disk).Open()
			var damage *store.DamageError
			expect.Expect(errors.As(err, &damage)).To(gomega.BeTrue(), "%s: %v", name, err)
			disk.files[name] = removed
		}
	}
}
