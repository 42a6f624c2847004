// Package quorum implements a replicated log with the Raft consensus algorithm.
// A group of replicas agrees on one order of commands and keeps every committed
// command as long as a majority of the voters keep their disks.
//
// The algorithm is that of Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014, and of Ongaro's dissertation, with
// pre-vote, check-quorum (a leader that does not hear from a majority steps
// down), membership changes of one member at a time, learners, snapshots sent
// in chunks, and linearizable reads confirmed by a round of heartbeats
// (ReadIndex). Safety does not depend on clocks; ticks only decide when an
// election or a heartbeat is due.
//
// A [Replica] does no I/O and is not safe for concurrent use. Its owner passes
// ticks, messages and proposals to it, and carries out the [Output] that
// [Replica.TakeOutput] returns.
//
// A [ReplicaID] identifies a replica together with its disk and is never
// reused. A host that lost its disk joins under a new id as a learner and is
// promoted once it has caught up; the old id is then removed. Votes from ids
// that are not voters are not counted. A message from a removed id is not
// processed; the sender is told that it was removed.
//
// # Usage
//
//	replica := &quorum.Replica{ID: 1, Seed: seed}
//	if err := replica.Start(restored); err != nil {
//		return err
//	}
//	for {
//		replica.Tick() // or Step, Propose, ProposeChange, ReadIndex
//		for {
//			output := replica.TakeOutput()
//			if output.Empty() {
//				break
//			}
//			send(output.Messages)
//			persist(output.Snapshot, output.HardState, output.Entries) // synced
//			send(output.MessagesAfterSync)
//			apply(output.Snapshot, output.CommittedEntries)
//			replica.OutputDone(output)
//		}
//	}
package quorum
