package quorum_test

import (
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

const (
	benchReplicas     = 7
	benchBatchEntries = 500
	benchCommandBytes = 128
)

// BenchmarkEntries commits entries in batches on all replicas, without disks and
// network. The time is the sum over all replicas.
func BenchmarkEntries(b *testing.B) {
	simulation := newSimulation(fixedSource{}, benchReplicas, 7)
	for _, host := range simulation.hosts {
		host.replica = &quorum.Replica{ID: host.id, Seed: 7, KeptEntries: 1000}
		if err := host.replica.Start(host.disk); err != nil {
			b.Fatal(err)
		}
	}
	leader := simulation.hosts[0]
	simulation.electByTicks(leader)
	command := make([]byte, benchCommandBytes)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N / benchBatchEntries {
		for range benchBatchEntries {
			if _, _, err := leader.replica.Propose(command); err != nil {
				b.Fatal(err)
			}
		}
		simulation.deliverAll()
		for _, host := range simulation.hosts {
			snapshot, err := host.replica.MakeSnapshot(host.replica.Status().CommitIndex, nil)
			if err != nil {
				b.Fatal(err)
			}
			host.replica.Compact(snapshot)
		}
	}
}

func (simulation *simulation) electByTicks(host *host) {
	for host.replica.Status().Role != quorum.Leader {
		host.replica.Tick()
		simulation.deliverAll()
	}
}

// deliverAll delivers messages until no replica has any output.
func (simulation *simulation) deliverAll() {
	for progressed := true; progressed; {
		progressed = false
		for _, host := range simulation.hosts {
			output := host.replica.TakeOutput()
			if output.Empty() {
				continue
			}
			progressed = true
			host.replica.OutputDone(output)
			for _, message := range append(output.Messages, output.MessagesAfterSync...) {
				simulation.hostByID(quorum.ReplicaID(message.GetTo())).replica.Step(message)
			}
		}
	}
}
