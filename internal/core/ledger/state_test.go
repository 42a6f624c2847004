package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// A replica that restarts from its snapshot at random points produces the same
// results and state as one that does not restart.
func TestRestartFromSnapshotKeepsState(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(t).Expect
		uninterrupted, restarted := newTestReplica(), newTestReplica()
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			command := drawCommand(r, uninterrupted.machine)
			expect(restarted.apply(command)).To(gomega.Equal(uninterrupted.apply(command)))
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				restarted.restartFromSnapshot()
			}
		}
		expect(restarted.machine.Snapshot()).To(gomega.Equal(uninterrupted.machine.Snapshot()))
	})
}

func drawCommand(r *rapid.T, machine *ledger.Machine) []byte {
	attempt := newAttemptID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "attempt"))
	key := request.IdempotencyKey(rapid.SampledFrom([]string{"k", "l"}).Draw(r, "key"))
	switch rapid.IntRange(0, 7).Draw(r, "command") {
	case 0:
		return ledger.ReleaseCommand{Kind: "a/b", Key: key, Attempt: attempt}.Encode()
	case 1:
		return ledger.FinishCommand{
			Kind: "a/b", Key: key, Attempt: attempt, Lost: rapid.Bool().Draw(r, "lost"),
			Answer: &ledgerpb.Answer{Status: 200}, AnswerRetention: 20 * time.Second, RecordRetention: time.Minute,
		}.Encode()
	case 2:
		return ledger.SettleCommand{Kind: "a/b", Key: key, Attempt: attempt, Ran: rapid.Bool().Draw(r, "ran"), Operator: "ana"}.Encode()
	case 3, 4:
		steps := time.Duration(rapid.IntRange(1, 20).Draw(r, "elapsed"))
		return ledger.AdvanceCommand{From: machine.Age(), Elapsed: steps * time.Second}.Encode()
	case 5:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "bytes")
	}
	return ledger.ClaimCommand{
		Kind: "a/b", Key: key, Attempt: attempt, SeenAge: machine.Age(),
		Digest: newDigest(rapid.SampledFrom([]string{"x", "y"}).Draw(r, "body")), FinishWithin: time.Second,
	}.Encode()
}

// The text of every version can be reconstructed from the history, also after a
// restart.
func TestTextOfEveryVersion(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	replica, texts := newTestReplica(), []string{""}
	replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	random := rand.New(rand.NewPCG(uint64(suite.Seed()), 3))
	for number := range 200 {
		_, text := replica.machine.CurrentVersion()
		texts = append(texts, string(text))
		replica.submit(newPatch(number+1, random.IntN(1000)))
	}
	replica.restartFromSnapshot()
	for number := 1; number < len(texts); number++ {
		text, known := replica.machine.VersionText(configuration.Version(number))
		expect(known).To(gomega.BeTrue())
		expect(string(text)).To(gomega.Equal(texts[number]))
	}
	_, known := replica.machine.VersionText(0)
	expect(known).To(gomega.BeFalse())
}

// When the number of outcomes is at its limit, the oldest are dropped. A patch
// whose outcome was dropped must not be decided a second time when it is sent
// again, while new patches are still decided.
func TestPatchWithDroppedOutcomeIsNotDecidedAgain(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	replica := newTestReplica()
	replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	expect(replica.submit(newPatch(1, 7))).To(gomega.Equal("accepted 2"))
	for number := range ledger.MaxOutcomes {
		stale := newPatch(1, 8)
		stale.ID = ledger.PatchID(fmt.Sprint("stale-", number))
		replica.submit(stale)
	}
	replica.restartFromSnapshot()
	expect(replica.submit(newPatch(1, 7))).To(gomega.Equal("forgotten 2"))
	expect(replica.submit(newPatch(2, 9))).To(gomega.Equal("accepted 3"))
	expect(replica.submit(newPatch(2, 9))).To(gomega.Equal("accepted 3"))
}

func newPatch(base, slots int) ledger.Submission {
	return ledger.Submission{
		ID:         ledger.PatchID(fmt.Sprint("patch-", base)),
		Base:       configuration.Version(base),
		Operator:   "ana",
		Note:       "what an operator writes about a change",
		Operations: fmt.Appendf(nil, `[{"op":"replace","path":"/services/front/slots","value":%d}]`, slots+1),
	}
}

// BenchmarkClaims measures the time to claim and finish one action, and the
// memory and snapshot size of its finished claim without an answer.
func BenchmarkClaims(b *testing.B) {
	replica := newTestReplica()
	before := heapBytes()
	b.ReportAllocs()
	for number := range b.N {
		attempt := newAttemptID(fmt.Sprintf("%016d", number))
		key := request.IdempotencyKey(fmt.Sprintf("a-key-as-long-as-a-uuid-%012d", number))
		replica.apply(ledger.ClaimCommand{Kind: "subsidios/file", Key: key, Attempt: attempt, Node: "norte-a-1", FinishWithin: time.Second}.Encode())
		replica.apply(ledger.FinishCommand{Kind: "subsidios/file", Key: key, Attempt: attempt, RecordRetention: time.Hour}.Encode())
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "state-B/op")
	b.ReportMetric(float64(len(replica.machine.Snapshot()))/float64(b.N), "snapshot-B/op")
	runtime.KeepAlive(replica)
}

// BenchmarkVersions measures the time to prepare and accept one patch, and the
// memory and snapshot size of its version.
func BenchmarkVersions(b *testing.B) {
	replica := newTestReplica()
	replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	before := heapBytes()
	for number := range b.N {
		replica.submit(newPatch(number+1, number%1000))
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "state-B/op")
	b.ReportMetric(float64(len(replica.machine.Snapshot()))/float64(b.N), "snapshot-B/op")
	runtime.KeepAlive(replica)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
