package ledger_test

import (
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// FuzzApply applies arbitrary commands to arbitrary snapshots. The state machine
// must not panic, and must be able to restore its own snapshot.
func FuzzApply(f *testing.F) {
	replica := newTestReplica()
	replica.submit(ledger.Submission{ID: "first", Operator: "ana", Text: []byte(document)})
	claim := ledger.ClaimCommand{Kind: "a/b", Key: "k", Attempt: newAttemptID("a")}.Encode()
	replica.apply(claim)
	f.Add(claim, replica.machine.Snapshot())
	f.Add(ledger.SettleCommand{Operator: "ana"}.Encode(), []byte{})
	f.Add(ledger.AdvanceCommand{Elapsed: 1}.Encode(), ledger.New().Snapshot())
	f.Fuzz(func(t *testing.T, command, snapshot []byte) {
		machine := ledger.New()
		if err := machine.Restore(snapshot); err != nil {
			return
		}
		index := machine.Applied() + 1
		if index == 0 {
			return
		}
		if _, err := machine.Apply(index, command); err != nil {
			t.Fatal(err)
		}
		machine.OpenClaims()
		machine.VersionText(1)
		machine.VersionChanges(0, 3, 5)
		machine.TextsAfter(0, 1<<20)
		restored := ledger.New()
		if err := restored.Restore(machine.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
