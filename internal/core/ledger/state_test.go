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

// A replica that restarts from snapshots gives the same results and state as
// one that never does.
func TestSnapshotsChangeNothing(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(t).Expect
		steady, restarted := newBench(), newBench()
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			command := drawCommand(r, steady.machine)
			expect(restarted.apply(command)).To(gomega.Equal(steady.apply(command)))
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				restarted.restart()
			}
		}
		expect(restarted.machine.Snapshot()).To(gomega.Equal(steady.machine.Snapshot()))
	})
}

func drawCommand(r *rapid.T, machine *ledger.Machine) []byte {
	name := attemptNamed(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "attempt"))
	key := request.IdempotencyKey(rapid.SampledFrom([]string{"k", "l"}).Draw(r, "key"))
	switch rapid.IntRange(0, 7).Draw(r, "command") {
	case 0:
		return ledger.ReleaseCommand{Kind: "a/b", Key: key, Attempt: name}.Encode()
	case 1:
		return ledger.FinishCommand{
			Kind: "a/b", Key: key, Attempt: name, Lost: rapid.Bool().Draw(r, "lost"),
			Answer: &ledgerpb.Answer{Status: 200}, KeepAnswer: 20 * time.Second, KeepRecord: time.Minute,
		}.Encode()
	case 2:
		return ledger.SettleCommand{Kind: "a/b", Key: key, Attempt: name, Ran: rapid.Bool().Draw(r, "ran"), Operator: "ana"}.Encode()
	case 3, 4:
		steps := time.Duration(rapid.IntRange(1, 20).Draw(r, "elapsed"))
		return ledger.AdvanceCommand{From: machine.Age(), Elapsed: steps * time.Second}.Encode()
	case 5:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "bytes")
	}
	return ledger.ClaimCommand{
		Kind: "a/b", Key: key, Attempt: name, SeenAge: machine.Age(),
		Digest: digest(rapid.SampledFrom([]string{"x", "y"}).Draw(r, "body")), FinishWithin: time.Second,
	}.Encode()
}

// Every version's text is found again by walking back.
func TestTextsOfAllVersions(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	script, texts := newBench(), []string{""}
	script.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	random := rand.New(rand.NewPCG(uint64(suite.Seed()), 3))
	for number := range 200 {
		_, text := script.machine.Current()
		texts = append(texts, string(text))
		script.submit(patchOf(number+1, random.IntN(1000)))
	}
	script.restart()
	for number := 1; number < len(texts); number++ {
		text, known := script.machine.Text(configuration.Version(number))
		expect(known).To(gomega.BeTrue())
		expect(string(text)).To(gomega.Equal(texts[number]))
	}
	_, known := script.machine.Text(0)
	expect(known).To(gomega.BeFalse())
}

// Outcomes are dropped at their limit. A resend from before is told so and not
// decided anew, and new patches go on being decided.
func TestForgottenOutcomeIsNotDecidedAnew(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	script := newBench()
	script.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	expect(script.submit(patchOf(1, 7))).To(gomega.Equal("accepted 2"))
	for number := range ledger.MaxOutcomes {
		stale := patchOf(1, 8)
		stale.ID = ledger.PatchID(fmt.Sprint("stale-", number))
		script.submit(stale)
	}
	script.restart()
	expect(script.submit(patchOf(1, 7))).To(gomega.Equal("forgotten 2"))
	expect(script.submit(patchOf(2, 9))).To(gomega.Equal("accepted 3"))
	expect(script.submit(patchOf(2, 9))).To(gomega.Equal("accepted 3"))
}

func patchOf(base, slots int) ledger.Submission {
	return ledger.Submission{
		ID:         ledger.PatchID(fmt.Sprint("patch-", base)),
		Base:       configuration.Version(base),
		Operator:   "ana",
		Note:       "what an operator writes about a change",
		Operations: fmt.Appendf(nil, `[{"op":"replace","path":"/services/front/slots","value":%d}]`, slots+1),
	}
}

// BenchmarkClaims gives the state of one finished claim without an answer and
// the time of its claim and finish.
func BenchmarkClaims(b *testing.B) {
	script := newBench()
	before := heap()
	b.ReportAllocs()
	for number := range b.N {
		name := attemptNamed(fmt.Sprintf("%016d", number))
		key := request.IdempotencyKey(fmt.Sprintf("a-key-as-long-as-a-uuid-%012d", number))
		script.apply(ledger.ClaimCommand{Kind: "subsidios/file", Key: key, Attempt: name, Node: "norte-a-1", FinishWithin: time.Second}.Encode())
		script.apply(ledger.FinishCommand{Kind: "subsidios/file", Key: key, Attempt: name, KeepRecord: time.Hour}.Encode())
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "state-B/op")
	b.ReportMetric(float64(len(script.machine.Snapshot()))/float64(b.N), "snapshot-B/op")
	runtime.KeepAlive(script)
}

// BenchmarkVersions gives the state of one version and the time to check,
// accept and record its patch.
func BenchmarkVersions(b *testing.B) {
	script := newBench()
	script.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	before := heap()
	for number := range b.N {
		script.submit(patchOf(number+1, number%1000))
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "state-B/op")
	b.ReportMetric(float64(len(script.machine.Snapshot()))/float64(b.N), "snapshot-B/op")
	runtime.KeepAlive(script)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
