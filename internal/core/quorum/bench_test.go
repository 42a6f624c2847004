package quorum_test

import (
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

const (
	benchReplicas = 7
	benchBatch    = 500
	benchBytes    = 128
)

// BenchmarkEntries commits entries in batches on all replicas, without disk and
// wire; the time is that of all replicas together.
func BenchmarkEntries(b *testing.B) {
	run := newHistory(steps{}, benchReplicas, 7)
	for _, host := range run.hosts {
		host.replica = &quorum.Replica{ID: host.id, Seed: 7, KeptEntries: 1000}
		if err := host.replica.Start(host.disk); err != nil {
			b.Fatal(err)
		}
	}
	leader := run.hosts[0]
	run.benchElect(leader)
	command := make([]byte, benchBytes)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N / benchBatch {
		for range benchBatch {
			if _, _, err := leader.replica.Propose(command); err != nil {
				b.Fatal(err)
			}
		}
		run.benchSettle()
		for _, host := range run.hosts {
			snapshot, err := host.replica.MakeSnapshot(host.replica.Status().Commit, nil)
			if err != nil {
				b.Fatal(err)
			}
			host.replica.Compact(snapshot)
		}
	}
}

func (run *history) benchElect(host *host) {
	for host.replica.Status().Role != quorum.Leader {
		host.replica.Tick()
		run.benchSettle()
	}
}

// benchSettle moves messages until nothing is under way.
func (run *history) benchSettle() {
	for moved := true; moved; {
		moved = false
		for _, host := range run.hosts {
			output := host.replica.Take()
			if output.Empty() {
				continue
			}
			moved = true
			host.replica.Stored(output)
			for _, message := range append(output.Messages, output.Acknowledgements...) {
				run.find(quorum.ReplicaID(message.GetTo())).replica.Step(message)
			}
		}
	}
}
