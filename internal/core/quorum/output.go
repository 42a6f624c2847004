package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// Output is what the owner of a replica has to do, in the order of its fields.
type Output struct {
	// Messages go out at once.
	Messages []*quorumpb.Message
	// Snapshot replaces the stored snapshot and the whole log, and the state
	// is restored from it.
	Snapshot *Snapshot
	// HardState and Entries are stored and synced. The first entry replaces
	// any stored entries from its index on.
	HardState *HardState
	Entries   []Entry
	// Acknowledgements go out once everything above is synced.
	Acknowledgements []*quorumpb.Message
	// Committed entries are applied in order.
	Committed []Entry
	Reads     []ReadResult
	Proposals []ProposalResult
	// Fault says that the replica must stop.
	Fault error
}

// Empty tells whether there is nothing to do.
func (output *Output) Empty() bool {
	return len(output.Messages) == 0 && !output.Persistent() &&
		len(output.Acknowledgements) == 0 && len(output.Committed) == 0 &&
		len(output.Reads) == 0 && len(output.Proposals) == 0 && output.Fault == nil
}

// Persistent tells whether there is something to store and sync.
func (output *Output) Persistent() bool {
	return output.Snapshot != nil || output.HardState != nil || len(output.Entries) > 0
}

// Take gives what is to be done since the last Take. Each output that is not
// empty is to be answered by Stored before the next Take.
func (replica *Replica) Take() Output {
	if replica.taken {
		return Output{}
	}
	if replica.role == Leader {
		replica.startReads()
		replica.flushPeers()
	}
	if len(replica.forwards) > 0 {
		replica.flushForwards()
	}
	output := replica.output
	replica.output = Output{}
	output.Fault = replica.fault
	if replica.saved != replica.hardState {
		hardState := replica.hardState
		output.HardState = &hardState
	}
	output.Entries = replica.log.between(replica.log.stable, replica.log.last())
	ready := min(replica.log.commit, replica.log.stable)
	output.Committed = replica.log.between(replica.log.emitted, ready)
	replica.log.emitted = max(replica.log.emitted, ready)
	replica.taken = !output.Empty()
	return output
}

// Stored tells the replica that all of an output is done.
func (replica *Replica) Stored(output Output) {
	replica.taken = false
	if output.HardState != nil {
		replica.saved = *output.HardState
		replica.voteStored(*output.HardState)
	}
	if len(output.Entries) == 0 {
		return
	}
	last := output.Entries[len(output.Entries)-1]
	if replica.log.matches(last.Index, last.Term) {
		replica.log.stable = max(replica.log.stable, last.Index)
		replica.advanceCommit()
	}
}

// send puts a message into the next output, to go out at once.
func (replica *Replica) send(to ReplicaID, term Term, message *quorumpb.Message) {
	replica.output.Messages = append(replica.output.Messages, replica.address(message, to, term))
}

// sendSynced puts a message into the next output, to go out after the sync.
func (replica *Replica) sendSynced(to ReplicaID, term Term, message *quorumpb.Message) {
	replica.output.Acknowledgements = append(replica.output.Acknowledgements, replica.address(message, to, term))
}

func (replica *Replica) acknowledge(to ReplicaID, message *quorumpb.Message) {
	replica.sendSynced(to, replica.hardState.Term, message)
}
