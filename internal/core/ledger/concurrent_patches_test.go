package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const patchHistoryCount = 2_000

// patchSender is an operator's program that sends one patch until it learns its
// outcome.
type patchSender struct {
	submission ledger.Submission
	outcomes   []ledger.PatchOutcome
	delayed    [][]byte
}

// send prepares and applies the patch. The request may be lost, delayed or
// duplicated, and its answer may be lost.
func (sender *patchSender) send(random *rand.Rand, replica *testReplica) error {
	command, err := replica.machine.Prepare(sender.submission)
	if err != nil {
		return err
	}
	if random.IntN(3) == 0 {
		sender.delayed = append(sender.delayed, command)
	}
	if random.IntN(3) == 0 {
		return nil
	}
	outcome, err := ledger.DecodePatch(replica.apply(command))
	if random.IntN(2) == 0 {
		sender.outcomes = append(sender.outcomes, outcome)
	}
	return err
}

func (sender *patchSender) deliverDelayed(replica *testReplica) {
	for _, command := range sender.delayed {
		replica.apply(command)
	}
	sender.delayed = nil
}

func newPatchSender(operator string, slots int) *patchSender {
	operations := fmt.Sprintf(`[{"op":"replace","path":"/services/front/slots","value":%d}]`, slots)
	return &patchSender{submission: ledger.Submission{
		ID: ledger.PatchID("patch-of-" + operator), Base: 1, Operator: operator, Operations: []byte(operations),
	}}
}

// Two operators send patches against the same version, and send them again when
// an answer is lost. Exactly one patch is accepted, and every answer to a patch
// gives the same outcome.
func TestConcurrentPatchesAcceptOneAndKeepOutcomes(t *testing.T) {
	for seed := range uint64(patchHistoryCount) {
		expect := gomega.NewWithT(t).Expect
		random := rand.New(rand.NewPCG(uint64(suite.Seed())+seed, 11))
		replica := newTestReplica()
		replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
		senders := []*patchSender{newPatchSender("ana", 6), newPatchSender("bea", 7)}
		for len(senders[0].outcomes) == 0 || len(senders[1].outcomes) == 0 || random.IntN(4) > 0 {
			sender := senders[random.IntN(2)]
			expect(sender.send(random, replica)).To(gomega.Succeed())
			if random.IntN(4) == 0 {
				sender.deliverDelayed(replica)
			}
			if random.IntN(4) == 0 {
				replica.restartFromSnapshot()
			}
		}
		replica.submit(ledger.Submission{ID: "later", Base: 2, Operator: "cai", Operations: []byte(`[{"op":"replace","path":"/services/front/slots","value":9}]`)})
		checkOutcomes(t, replica, senders, seed)
	}
}

func checkOutcomes(t *testing.T, replica *testReplica, senders []*patchSender, seed uint64) {
	t.Helper()
	expect := gomega.NewWithT(t).Expect
	accepted := 0
	for _, sender := range senders {
		sender.deliverDelayed(replica)
		final, recorded := replica.machine.PatchOutcome(sender.submission.ID)
		expect(recorded).To(gomega.BeTrue(), "seed offset %d", seed)
		for _, outcome := range sender.outcomes {
			expect(outcome).To(gomega.Equal(final), "seed offset %d", seed)
		}
		if final.State == ledger.PatchAccepted {
			accepted++
			expect(final.Version).To(gomega.Equal(configuration.Version(2)))
			expect(replica.machine.Versions(1, 2)[0].Operator).To(gomega.Equal(sender.submission.Operator))
			continue
		}
		expect(final.State).To(gomega.Equal(ledger.PatchStale), "seed offset %d", seed)
		expect(final.Version).To(gomega.Equal(configuration.Version(2)))
	}
	expect(accepted).To(gomega.Equal(1), "seed offset %d", seed)
	current, _ := replica.machine.CurrentVersion()
	expect(current).To(gomega.Equal(configuration.Version(3)))
}

// The naive version accepts both patches, and a retry overwrites the other
// operator's change.
func TestNaiveVersionAcceptsBothPatches(t *testing.T) {
	versions := naive.Versions{Number: 1}
	expect := gomega.NewWithT(t).Expect
	expect(versions.Write("ana")).To(gomega.Equal(uint64(2)))
	expect(versions.Write("bea")).To(gomega.Equal(uint64(3)))
	expect(versions.Write("ana")).To(gomega.Equal(uint64(4)), "the retry overwrites bea's patch")
	expect(versions.Writer).To(gomega.Equal("ana"))
}
