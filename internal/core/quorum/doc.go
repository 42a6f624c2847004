// Package quorum is a replicated log: a small number of replicas agree on one
// order of commands, and keep it through the loss of any minority of them.
//
// It follows the published Raft algorithm (Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm", 2014, and Ongaro's dissertation):
// election with pre-vote, a leader that steps down when it does not hear a
// majority, one change of members at a time with learners first, snapshots in
// chunks, and reads confirmed by a round of heartbeats. No promise depends on
// a clock; ticks only decide when an election or a heartbeat is due.
//
// A [Replica] is a plain value without I/O. Its owner gives it ticks, messages
// and proposals, and carries out what [Replica.Take] returns.
//
// A [ReplicaID] stands for one disk. It is never used again: a host that lost
// its disk comes back under a new id as a learner, is promoted when it has
// caught up, and the old id is removed. Votes of ids that are no voters are
// not counted, and messages of removed ids are dropped.
//
// # Usage
//
//	replica := &quorum.Replica{ID: 1, Seed: seed}
//	if err := replica.Start(restored); err != nil {
//		return err
//	}
//	for {
//		replica.Tick() // or Step, Propose, ProposeChange, Read
//		for {
//			output := replica.Take()
//			if output.Empty() {
//				break
//			}
//			send(output.Messages)
//			persist(output.Snapshot, output.HardState, output.Entries) // synced
//			send(output.Acknowledgements)
//			apply(output.Snapshot, output.Committed)
//			replica.Stored(output)
//		}
//	}
package quorum
