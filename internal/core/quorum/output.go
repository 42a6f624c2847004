package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// Output is the work that the owner of a replica must carry out, in the order of
// the fields.
type Output struct {
	// Messages are sent at once.
	Messages []*quorumpb.Message
	// Snapshot replaces the stored snapshot and the whole stored log, and the
	// state machine is restored from it.
	Snapshot *Snapshot
	// HardState and Entries are stored and synced. Stored entries at and after
	// the index of the first entry are replaced.
	HardState *HardState
	Entries   []Entry
	// MessagesAfterSync are sent once everything above is synced. They include
	// vote requests.
	MessagesAfterSync []*quorumpb.Message
	// CommittedEntries holds the entries to apply to the state machine, in order.
	CommittedEntries []Entry
	// ReadResults are the results of [Replica.ReadIndex].
	ReadResults []ReadResult
	// ProposalResults are the results of [Replica.Forward].
	ProposalResults []ProposalResult
	// Fault is an error after which the replica must stop.
	Fault error
}

// Empty reports whether there is nothing to do.
func (output *Output) Empty() bool {
	return len(output.Messages) == 0 && !output.NeedsSync() &&
		len(output.MessagesAfterSync) == 0 && len(output.CommittedEntries) == 0 &&
		len(output.ReadResults) == 0 && len(output.ProposalResults) == 0 && output.Fault == nil
}

// NeedsSync reports whether there is something to store and sync.
func (output *Output) NeedsSync() bool {
	return output.Snapshot != nil || output.HardState != nil || len(output.Entries) > 0
}

// TakeOutput returns the work that has arisen since its last call. After an output
// that is not empty, it returns only empty ones until OutputDone is called.
func (replica *Replica) TakeOutput() Output {
	if replica.outputTaken {
		return Output{}
	}
	if replica.role == Leader {
		replica.startReadRound()
		replica.sendToPeers()
	}
	if len(replica.forwardQueue) > 0 {
		replica.sendForwards()
	}
	output := replica.nextOutput
	replica.nextOutput = Output{}
	output.Fault = replica.fault
	if replica.storedHardState != replica.hardState {
		hardState := replica.hardState
		output.HardState = &hardState
	}
	output.Entries = replica.log.entriesBetween(replica.log.stableIndex, replica.log.lastIndex())
	applicable := min(replica.log.commitIndex, replica.log.stableIndex)
	output.CommittedEntries = replica.log.entriesBetween(replica.log.deliveredIndex, applicable)
	replica.log.deliveredIndex = max(replica.log.deliveredIndex, applicable)
	replica.outputTaken = !output.Empty()
	return output
}

// OutputDone tells the replica that an output was carried out completely.
func (replica *Replica) OutputDone(output Output) {
	replica.outputTaken = false
	if output.HardState != nil {
		replica.storedHardState = *output.HardState
		replica.countOwnVote(*output.HardState)
	}
	if len(output.Entries) == 0 {
		return
	}
	last := output.Entries[len(output.Entries)-1]
	if replica.log.matchesTerm(last.Index, last.Term) {
		replica.log.stableIndex = max(replica.log.stableIndex, last.Index)
		replica.advanceCommit()
	}
}

// send adds a message to the next output that is sent at once.
func (replica *Replica) send(to ReplicaID, term Term, message *quorumpb.Message) {
	replica.nextOutput.Messages = append(replica.nextOutput.Messages, replica.setHeader(message, to, term))
}

// sendAfterSync adds a message to the next output that is sent after the sync.
func (replica *Replica) sendAfterSync(to ReplicaID, term Term, message *quorumpb.Message) {
	replica.nextOutput.MessagesAfterSync = append(replica.nextOutput.MessagesAfterSync, replica.setHeader(message, to, term))
}

// acknowledge adds a result in the current term that is sent after the sync.
func (replica *Replica) acknowledge(to ReplicaID, message *quorumpb.Message) {
	replica.sendAfterSync(to, replica.hardState.Term, message)
}
