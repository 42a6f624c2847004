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

// operation is one call of the store, and what it does to a naive copy.
type operation struct {
	name  string
	run   func(*store.Store) error
	naive func(*store.Found)
}

func entriesOf(term quorum.Term, first, last quorum.Index) []quorum.Entry {
	var entries []quorum.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, quorum.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)})
	}
	return entries
}

func save(term quorum.Term, first, last quorum.Index) operation {
	state := quorum.HardState{Term: term, Vote: 2}
	entries := entriesOf(term, first, last)
	return operation{
		name: fmt.Sprintf("save %d to %d", first, last),
		run:  func(s *store.Store) error { return s.Save(&state, entries) },
		naive: func(found *store.Found) {
			found.HardState = state
			kept := slices.DeleteFunc(slices.Clone(found.Entries), func(entry quorum.Entry) bool { return entry.Index >= first })
			found.Entries = append(kept, entries...)
		},
	}
}

func snapshot(index quorum.Index, term quorum.Term, install bool) operation {
	taken := quorum.Snapshot{
		Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index),
		Membership: quorum.Membership{Members: []quorum.Member{{ID: replicaID, Address: "127.0.0.1:1"}}},
	}
	return operation{
		name: fmt.Sprintf("snapshot at %d", index),
		run:  func(s *store.Store) error { return s.SaveSnapshot(taken, install) },
		naive: func(found *store.Found) {
			found.Snapshot = taken
			found.Entries = slices.DeleteFunc(slices.Clone(found.Entries), func(entry quorum.Entry) bool {
				return install || entry.Index <= index
			})
		},
	}
}

// script goes through every operation, with files that fill up, entries that
// are replaced, and a snapshot over a log that differs from it.
func script() []operation {
	return []operation{
		{
			"create",
			func(s *store.Store) error { return s.Create(replicaID) },
			func(found *store.Found) { found.ID = replicaID },
		},
		save(1, 1, 3), save(1, 4, 9), save(2, 6, 8), save(2, 9, 14),
		snapshot(7, 2, false), save(3, 15, 18), snapshot(16, 3, false), save(3, 19, 20),
		snapshot(18, 4, true), save(4, 19, 22), snapshot(40, 5, true), save(5, 41, 43),
		snapshot(43, 5, false), save(6, 44, 45),
	}
}

func newStore(d *disk) *store.Store { return &store.Store{Disk: d, SegmentBytes: 200} }

// play runs the script until an operation fails. It gives the naive state
// before and after that operation.
func play(d *disk) (before, after store.Found, failed error) {
	s := newStore(d)
	if _, err := s.Open(); err != nil {
		return before, after, err
	}
	for _, step := range script() {
		step.naive(&after)
		if err := step.run(s); err != nil {
			return before, after, fmt.Errorf("%s: %w", step.name, err)
		}
		before = after
	}
	return before, after, nil
}

func same(left, right store.Found) bool {
	return left.ID == right.ID && left.HardState == right.HardState &&
		reflect.DeepEqual(left.Snapshot, right.Snapshot) &&
		slices.EqualFunc(left.Entries, right.Entries, func(a, b quorum.Entry) bool { return reflect.DeepEqual(a, b) })
}

// TestCrashAtEveryStep crashes at every step of the script, in every way, and
// then at every step of the recovery.
func TestCrashAtEveryStep(t *testing.T) {
	whole := newDisk()
	if _, _, err := play(whole); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for at := 1; at <= whole.steps; at++ {
		for kind := range faults {
			for left := range survivals {
				checked += crashOnce(t, at, kind, left)
			}
		}
	}
	t.Logf("%d steps, %d states checked", whole.steps, checked)
}

func crashOnce(t *testing.T, at int, kind fault, left survival) int {
	t.Helper()
	checked := 0
	for recoveryStep := 0; ; recoveryStep++ {
		d := newDisk()
		d.failAt, d.fault = at, kind
		before, after, failed := play(d)
		if !errors.Is(failed, errCrash) {
			t.Fatalf("step %d: the script does not stop: %v", at, failed)
		}
		d.crash(left)
		if recoveryStep > 0 {
			d.failAt, d.fault = recoveryStep, kind
			_, err := newStore(d).Open()
			if err == nil {
				return checked
			}
			d.crash(left)
		}
		checkRecovered(t, d, before, after, fmt.Sprintf("step %d fault %d left %d recovery step %d, %v", at, kind, left, recoveryStep, failed))
		checked++
	}
}

// checkRecovered finds the state before or after the operation that failed,
// and that the store goes on from there.
func checkRecovered(t *testing.T, d *disk, before, after store.Found, where string) {
	t.Helper()
	s := newStore(d)
	found, err := s.Open()
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if !same(found, before) && !same(found, after) {
		t.Fatalf("%s: found %+v, which is neither before %+v nor after %+v", where, found, before, after)
	}
	if found.ID == quorum.None {
		return
	}
	next := found.Snapshot.Index + quorum.Index(len(found.Entries)) + 1
	more := save(9, next, next+2)
	more.naive(&found)
	if err := more.run(s); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	d.crash(nothing)
	again, err := newStore(d).Open()
	if err != nil || !same(again, found) {
		t.Fatalf("%s: found %+v after %+v was saved, %v", where, again, found, err)
	}
}

// TestFailedSyncStopsTheStore checks that nothing is tried after a failure.
func TestFailedSyncStopsTheStore(t *testing.T) {
	expect := gomega.NewWithT(t)
	d := newDisk()
	s := newStore(d)
	_, err := s.Open()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(s.Create(replicaID)).To(gomega.Succeed())
	d.failAt, d.fault = d.steps+2, before
	state := quorum.HardState{Term: 3}
	expect.Expect(s.Save(&state, nil)).To(gomega.MatchError(errCrash))
	steps := d.steps
	d.failAt = -1
	expect.Expect(s.Save(&state, entriesOf(3, 1, 1))).To(gomega.MatchError(errCrash))
	expect.Expect(s.SaveSnapshot(quorum.Snapshot{Index: 1}, false)).To(gomega.MatchError(errCrash))
	expect.Expect(d.steps).To(gomega.Equal(steps))
}

// TestDamageIsNamed flips each byte of each file. Only the last record may be
// taken for torn; anything else stops the replica and names the file.
func TestDamageIsNamed(t *testing.T) {
	whole := newDisk()
	if _, _, err := play(whole); err != nil {
		t.Fatal(err)
	}
	names, _ := whole.List()
	lastRecord := lastRecordOf(whole.names[names[len(names)-2]].data)
	for _, name := range names {
		for at := range whole.names[name].data {
			d := newDisk()
			if _, _, err := play(d); err != nil {
				t.Fatal(err)
			}
			d.names[name].data[at] ^= 0x10
			_, err := newStore(d).Open()
			torn := name == names[len(names)-2] && at >= lastRecord
			if torn {
				if err != nil {
					t.Fatalf("%s byte %d: %v", name, at, err)
				}
				continue
			}
			var damage *store.DamageError
			if !errors.As(err, &damage) || !strings.Contains(err.Error(), "folder/"+name) {
				t.Fatalf("%s byte %d: error is %v", name, at, err)
			}
		}
	}
}

// lastRecordOf gives the offset of the last record, by lengths only.
func lastRecordOf(data []byte) int {
	offset := 0
	for {
		next := offset + 12 + int(data[offset]) + int(data[offset+1])<<8
		if next >= len(data) {
			return offset
		}
		offset = next
	}
}

// TestMissingFileIsNamed removes each file in turn.
func TestMissingFileIsNamed(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, steps := range []int{5, 9} {
		d := newDisk()
		s := newStore(d)
		_, err := s.Open()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, step := range script()[:steps] {
			expect.Expect(step.run(s)).To(gomega.Succeed())
		}
		names, _ := d.List()
		for _, name := range names[:len(names)-1] {
			removed := d.names[name]
			delete(d.names, name)
			_, err := newStore(d).Open()
			var damage *store.DamageError
			expect.Expect(errors.As(err, &damage)).To(gomega.BeTrue(), "%s: %v", name, err)
			d.names[name] = removed
		}
	}
}
