package ledger_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// recordBytes is more than a version and its outcome take without their texts.
const recordBytes = 2 << 10

// wideDocument is a document of one line whose first and last fields differ between all
// versions, so that a splice from one to another spans nearly all of it.
type wideDocument struct{ routes []byte }

func newWideDocument(routes int) wideDocument {
	text := []byte(nil)
	for route := range routes {
		text = fmt.Appendf(text, `"r-%06d":{"path-prefix":"/added-%d/",%s},`, route, route, strings.Repeat(`"field":"of a route",`, 12))
	}
	return wideDocument{routes: text}
}

func (document wideDocument) text(version configuration.Version) []byte {
	return fmt.Appendf(nil, `{"label":%d,"routes":{%s"last":{"timeout":"%ds"}}}`, version, document.routes, version)
}

// replaceText applies the command that replaces the whole text, and returns its result. It
// builds the command itself, since validating a large document takes long.
func (replica *testReplica) replaceText(document wideDocument) []byte {
	base, before := replica.machine.CurrentVersion()
	text := document.text(base + 1)
	digest := sha256.Sum256(text)
	return replica.applyPatch(&ledgerpb.Patch{
		Id: fmt.Sprint("replace-", base), Content: digest[:], Base: uint64(base), Operator: "ana", TextDigest: digest[:],
		Splice: &ledgerpb.Splice{Removed: uint64(len(before)), Inserted: text},
	})
}

func (replica *testReplica) applyPatch(patch *ledgerpb.Patch) []byte {
	command, err := proto.Marshal(&ledgerpb.Command{Body: &ledgerpb.Command_Patch{Patch: patch}})
	if err != nil {
		panic(err)
	}
	return replica.apply(command)
}

// TestHistoryIsBoundedInBytes guards against a state that grows by the size of the document
// with each change until the replicas run out of memory.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	for _, routes := range []int{10, 350, 1_750} {
		t.Run(fmt.Sprint(routes, " routes"), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			const changes = 1_000
			document, replica := newWideDocument(routes), newTestReplica()
			before := heapBytes()
			for range changes {
				replica.replaceText(document)
			}
			version, text := replica.machine.CurrentVersion()
			expect(version).To(gomega.BeEquivalentTo(changes))
			limit := 2*len(text) + ledger.MaxReverseBytes + changes*recordBytes
			expect(len(replica.machine.Snapshot())).To(gomega.BeNumerically("<", limit))
			held := int64(heapBytes()) - int64(before)
			t.Logf("text %d B, snapshot %d B, heap %d B", len(text), len(replica.machine.Snapshot()), held)
			expect(held).To(gomega.BeNumerically("<", limit))
			replica.restartFromSnapshot()
			expect(int64(heapBytes()) - int64(before)).To(gomega.BeNumerically("<", limit))
			runtime.KeepAlive(replica)
		})
	}
}

// TestDroppedTextIsNotReturned guards against the text of another version in place of one
// that was dropped.
func TestDroppedTextIsNotReturned(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	document, replica := newWideDocument(1_750), newTestReplica()
	for range 20 {
		replica.replaceText(document)
	}
	oldest := replica.machine.OldestText()
	expect(oldest).To(gomega.BeNumerically(">", 1))
	expect(oldest).To(gomega.BeNumerically("<", 20))
	for range 2 {
		for number := range configuration.Version(22) {
			text, stored := replica.machine.VersionText(number)
			expect(stored).To(gomega.Equal(number >= oldest && number <= 20))
			if stored {
				expect(bytes.Equal(text, document.text(number))).To(gomega.BeTrue(), "version %d", number)
			}
		}
		records := replica.machine.Versions(0, 20)
		expect(records).To(gomega.HaveLen(20))
		expect(records[0].Digest).To(gomega.Equal(fmt.Sprintf("%x", sha256.Sum256(document.text(1)))))
		replica.restartFromSnapshot()
	}
}

// TestSnapshotWithoutBoundIsTrimmedAlike guards against replicas that keep different
// histories after one of them took in the snapshot of a build that drops no text, and
// against other results of the commands that follow.
func TestSnapshotWithoutBoundIsTrimmedAlike(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	document, replica, upgraded := newWideDocument(350), newTestReplica(), newTestReplica()
	unbounded := &ledgerpb.State{}
	for range 30 {
		_, before := replica.machine.CurrentVersion()
		replica.replaceText(document)
		state := &ledgerpb.State{}
		expect(proto.Unmarshal(replica.machine.Snapshot(), state)).To(gomega.Succeed())
		newest := state.GetVersions()[len(state.GetVersions())-1]
		newest.Back = &ledgerpb.Splice{Removed: uint64(len(state.GetText())), Inserted: before}
		state.Versions = append(unbounded.GetVersions(), newest)
		unbounded = state
	}
	encoded, err := proto.Marshal(unbounded)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(len(encoded)).To(gomega.BeNumerically(">", 25*len(unbounded.GetText())))
	expect(upgraded.machine.Restore(encoded)).To(gomega.Succeed())
	upgraded.index = replica.index
	for range 2 {
		// The splices of the snapshot hold whole texts, those of this build slightly less.
		expect(upgraded.machine.OldestText()).To(gomega.BeNumerically("~", replica.machine.OldestText(), 1))
		expect(len(upgraded.machine.Snapshot())).To(gomega.BeNumerically("<", ledger.MaxReverseBytes+2*len(unbounded.GetText())))
		for range 40 {
			expect(upgraded.replaceText(document)).To(gomega.Equal(replica.replaceText(document)))
		}
	}
	expect(upgraded.machine.Snapshot()).To(gomega.Equal(replica.machine.Snapshot()))
}

// TestFaultsAreBoundedInBytes guards against a state that grows with each faulty patch by
// the names that its faults cite.
func TestFaultsAreBoundedInBytes(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	replica := newTestReplica()
	replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	before := heapBytes()
	const patches = ledger.MaxOutcomes + 100
	for number := range patches {
		replica.applyPatch(&ledgerpb.Patch{Id: fmt.Sprint("faulty-", number), Base: 1, Operator: "bea", Faults: []string{strings.Repeat("name ", 500), "a second fault"}})
	}
	limit := ledger.MaxFaultBytes + patches*recordBytes/4
	t.Logf("snapshot %d B, heap %d B", len(replica.machine.Snapshot()), int64(heapBytes())-int64(before))
	expect(len(replica.machine.Snapshot())).To(gomega.BeNumerically("<", limit))
	expect(int64(heapBytes()) - int64(before)).To(gomega.BeNumerically("<", limit))
	snapshot := replica.machine.Snapshot()
	for range 2 {
		latest, _ := replica.machine.PatchOutcome(ledger.PatchID(fmt.Sprint("faulty-", patches-1)))
		expect(latest.Faults).To(gomega.HaveLen(2))
		dropped, recorded := replica.machine.PatchOutcome(ledger.PatchID(fmt.Sprint("faulty-", patches/2)))
		expect(recorded).To(gomega.BeTrue())
		expect(dropped.State).To(gomega.Equal(ledger.PatchFaulty))
		expect(dropped.Faults).To(gomega.Equal([]string{"the faults are no longer stored; check the document again"}))
		replica.restartFromSnapshot()
		expect(bytes.Equal(replica.machine.Snapshot(), snapshot)).To(gomega.BeTrue())
	}
	replica.applyPatch(&ledgerpb.Patch{Id: "one-more", Base: 1, Operator: "bea", Faults: []string{"a third fault"}})
	expect(len(replica.machine.Snapshot())).To(gomega.BeNumerically("<", limit))
}

// TestTextsAfterBaseStopAtLimit guards against texts that are rebuilt for nothing, and
// against ones of other versions.
func TestTextsAfterBaseStopAtLimit(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	document, replica := newWideDocument(10), newTestReplica()
	for range 30 {
		replica.replaceText(document)
	}
	size := len(document.text(30))
	expect(replica.machine.TextsAfter(30, size)).To(gomega.BeEmpty())
	expect(replica.machine.TextsAfter(29, size)).To(gomega.Equal([][]byte{document.text(30)}))
	expect(replica.machine.TextsAfter(28, size)).To(gomega.BeNil())
	expect(replica.machine.TextsAfter(28, 2*size)).To(gomega.Equal([][]byte{document.text(29), document.text(30)}))
	expect(replica.machine.TextsAfter(1, 100*size)).To(gomega.HaveLen(29))
	expect(replica.machine.TextsAfter(0, 100*size)).To(gomega.BeNil())

	large, wide := newTestReplica(), newWideDocument(1_750)
	for range 20 {
		large.replaceText(wide)
	}
	oldest := large.machine.OldestText()
	expect(large.machine.TextsAfter(oldest, 20<<20)).To(gomega.HaveLen(int(20 - oldest)))
	expect(large.machine.TextsAfter(oldest-1, 20<<20)).To(gomega.BeNil())
	_, newest := large.machine.CurrentVersion()
	expect(testing.AllocsPerRun(10, func() { large.machine.TextsAfter(oldest, len(newest)) })).To(gomega.BeZero())
}
