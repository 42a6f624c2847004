package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

func (replica *Replica) stepAppend(from ReplicaID, message *quorumpb.Append) {
	previous := Index(message.GetPreviousIndex())
	entries := DecodeEntries(previous, message.GetEntries())
	lastIndex := previous + Index(len(entries))
	if previous >= replica.log.commitIndex && !replica.log.matchesTerm(previous, Term(message.GetPreviousTerm())) {
		replica.refuseAppend(from, message)
		return
	}
	replica.appendReceived(entries)
	replica.advanceFollowerCommit(min(Index(message.GetCommit()), lastIndex))
	replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{
		Index: uint64(max(lastIndex, replica.log.commitIndex)),
		Round: message.GetRound(),
	}}})
}

// appendReceived appends the entries that the log lacks, after it has truncated
// the log at the first entry whose term differs.
func (replica *Replica) appendReceived(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= replica.log.baseIndex || replica.log.matchesTerm(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= replica.log.commitIndex {
			replica.setFault(ErrDiverged)
			return
		}
		if entry.Index <= replica.log.lastIndex() {
			replica.log.truncateAfter(entry.Index - 1)
			replica.membershipHistory = replica.membershipHistory.truncateAfter(entry.Index - 1)
		}
		replica.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			replica.setFault(replica.recordMembership(added))
		}
		return
	}
}

func (replica *Replica) advanceFollowerCommit(commit Index) {
	replica.log.commitIndex = max(replica.log.commitIndex, min(commit, replica.log.lastIndex()))
}

// refuseAppend answers with the last entry that can match the leader's log, so
// that the leader skips whole terms instead of single entries.
func (replica *Replica) refuseAppend(from ReplicaID, message *quorumpb.Append) {
	hintIndex := replica.log.lastIndexUpToTerm(Index(message.GetPreviousIndex()), Term(message.GetPreviousTerm()))
	hintTerm, _ := replica.log.termAt(hintIndex)
	replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{
		Index:     message.GetPreviousIndex(),
		Refused:   true,
		HintIndex: uint64(hintIndex),
		HintTerm:  uint64(hintTerm),
		Round:     message.GetRound(),
	}}})
}

// setFault records the first error after which the replica must stop.
func (replica *Replica) setFault(err error) {
	if err != nil && replica.fault == nil {
		replica.fault = err
	}
}
