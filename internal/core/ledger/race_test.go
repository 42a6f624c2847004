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

const raceCount = 2_000

// rival is an operator who sends one patch until he learns its outcome.
type rival struct {
	submission ledger.Submission
	heard      []ledger.Outcome
	held       [][]byte
}

// send prepares the patch at the replica; the request may be lost, held up or
// doubled, and its answer lost.
func (r *rival) send(random *rand.Rand, script *bench) error {
	command, err := script.machine.Prepare(r.submission)
	if err != nil {
		return err
	}
	if random.IntN(3) == 0 {
		r.held = append(r.held, command)
	}
	if random.IntN(3) == 0 {
		return nil
	}
	outcome, err := ledger.DecodePatch(script.apply(command))
	if random.IntN(2) == 0 {
		r.heard = append(r.heard, outcome)
	}
	return err
}

func (r *rival) deliverHeld(script *bench) {
	for _, command := range r.held {
		script.apply(command)
	}
	r.held = nil
}

func newRival(name string, slots int) *rival {
	operations := fmt.Sprintf(`[{"op":"replace","path":"/services/front/slots","value":%d}]`, slots)
	return &rival{submission: ledger.Submission{
		ID: ledger.PatchID("patch-of-" + name), Base: 1, Operator: name, Operations: []byte(operations),
	}}
}

// Two operators race on one version and each sends again after a lost answer.
func TestOneOfTwoOperatorsWinsAndEachLearnsHisOutcome(t *testing.T) {
	for seed := range uint64(raceCount) {
		expect := gomega.NewWithT(t).Expect
		random := rand.New(rand.NewPCG(uint64(suite.Seed())+seed, 11))
		script := newBench()
		script.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
		rivals := []*rival{newRival("ana", 6), newRival("bea", 7)}
		for len(rivals[0].heard) == 0 || len(rivals[1].heard) == 0 || random.IntN(4) > 0 {
			one := rivals[random.IntN(2)]
			expect(one.send(random, script)).To(gomega.Succeed())
			if random.IntN(4) == 0 {
				one.deliverHeld(script)
			}
			if random.IntN(4) == 0 {
				script.restart()
			}
		}
		script.submit(ledger.Submission{ID: "later", Base: 2, Operator: "cai", Operations: []byte(`[{"op":"replace","path":"/services/front/slots","value":9}]`)})
		checkRivals(t, script, rivals, seed)
	}
}

func checkRivals(t *testing.T, script *bench, rivals []*rival, seed uint64) {
	t.Helper()
	expect := gomega.NewWithT(t).Expect
	winners := 0
	for _, one := range rivals {
		one.deliverHeld(script)
		final, known := script.machine.Outcome(one.submission.ID)
		expect(known).To(gomega.BeTrue(), "seed offset %d", seed)
		for _, outcome := range one.heard {
			expect(outcome).To(gomega.Equal(final), "seed offset %d", seed)
		}
		if final.State == ledger.Accepted {
			winners++
			expect(final.Version).To(gomega.Equal(configuration.Version(2)))
			expect(script.machine.Versions(1, 2)[0].Operator).To(gomega.Equal(one.submission.Operator))
			continue
		}
		expect(final.State).To(gomega.Equal(ledger.Stale), "seed offset %d", seed)
		expect(final.Version).To(gomega.Equal(configuration.Version(2)))
	}
	expect(winners).To(gomega.Equal(1), "seed offset %d", seed)
	current, _ := script.machine.Current()
	expect(current).To(gomega.Equal(configuration.Version(3)))
}

// The naive version tells both that they won, and a resend writes again.
func TestNaiveVersionLetsTheLastWriteWin(t *testing.T) {
	versions := naive.Versions{Number: 1}
	expect := gomega.NewWithT(t).Expect
	expect(versions.Write("ana")).To(gomega.Equal(uint64(2)))
	expect(versions.Write("bea")).To(gomega.Equal(uint64(3)))
	expect(versions.Write("ana")).To(gomega.Equal(uint64(4)), "the resend undoes bea's patch")
	expect(versions.Writer).To(gomega.Equal("ana"))
}
