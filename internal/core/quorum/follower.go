package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

func (replica *Replica) stepAppend(from ReplicaID, message *quorumpb.Append) {
	previous := Index(message.GetPreviousIndex())
	entries := DecodeEntries(previous, message.GetEntries())
	last := previous + Index(len(entries))
	if previous >= replica.log.commit && !replica.log.matches(previous, Term(message.GetPreviousTerm())) {
		replica.refuseAppend(from, message)
		return
	}
	replica.accept(entries)
	replica.followCommit(min(Index(message.GetCommit()), last))
	replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{
		Index: uint64(max(last, replica.log.commit)),
		Round: message.GetRound(),
	}}})
}

// accept appends the entries that the log lacks, and first drops what differs.
func (replica *Replica) accept(entries []Entry) {
	for at, entry := range entries {
		if entry.Index <= replica.log.base || replica.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= replica.log.commit {
			replica.fail(ErrDiverged)
			return
		}
		if entry.Index <= replica.log.last() {
			replica.log.truncate(entry.Index - 1)
			replica.history = replica.history.truncated(entry.Index - 1)
		}
		replica.log.append(entries[at:]...)
		for _, added := range entries[at:] {
			replica.fail(replica.noteMembership(added))
		}
		return
	}
}

func (replica *Replica) followCommit(commit Index) {
	replica.log.commit = max(replica.log.commit, min(commit, replica.log.last()))
}

func (replica *Replica) refuseAppend(from ReplicaID, message *quorumpb.Append) {
	hint := replica.log.floor(Index(message.GetPreviousIndex()), Term(message.GetPreviousTerm()))
	term, _ := replica.log.term(hint)
	replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{
		Index:     message.GetPreviousIndex(),
		Refused:   true,
		HintIndex: uint64(hint),
		HintTerm:  uint64(term),
		Round:     message.GetRound(),
	}}})
}

func (replica *Replica) fail(err error) {
	if err != nil && replica.fault == nil {
		replica.fault = err
	}
}
