package quorum

import (
	"errors"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// incomingSnapshot is a snapshot whose chunks are being received.
type incomingSnapshot struct {
	from       ReplicaID
	leaderTerm Term
	index      Index
	term       Term
	membership Membership
	// size is the total number of bytes, data the bytes received so far.
	size uint64
	data []byte
}

// MakeSnapshot returns a snapshot of the encoded state after the entries up to
// index were applied. The owner stores it and then passes it to Compact. It is
// an error if the entry at index was not applied yet or was compacted.
func (replica *Replica) MakeSnapshot(index Index, state []byte) (Snapshot, error) {
	term, ok := replica.log.termAt(index)
	if !ok || index > replica.log.deliveredIndex {
		return Snapshot{}, errors.New("cannot make a snapshot: the entry at its index is not applied yet or no longer in the log")
	}
	return Snapshot{Index: index, Term: term, Membership: replica.membershipHistory.at(index), Data: state}, nil
}

// Compact drops the log entries that a stored snapshot replaces, except for the
// last KeptEntries of at most KeptBytes.
func (replica *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index <= replica.snapshot.Index {
		return
	}
	replica.snapshot = snapshot
	base := replica.log.baseOfLast(snapshot.Index, replica.KeptEntries, replica.KeptBytes)
	needed := max(replica.neededByPeers(), replica.log.baseOfLast(snapshot.Index, replica.KeptEntries, replica.MaxLagBytes))
	replica.log.compactTo(min(base, needed))
	replica.membershipHistory = replica.membershipHistory.compactTo(replica.log.baseIndex)
}

// neededByPeers returns the index after which a leader's active members still need the
// entries. On another replica, and with no active member, it is the end of the log.
func (replica *Replica) neededByPeers() Index {
	needed := replica.log.lastIndex()
	for _, peer := range replica.leaderState.peers {
		switch {
		case !peer.recentlyActive && !peer.wasActive:
		case peer.mode == snapshotMode:
			needed = min(needed, peer.snapshot.Index)
		case peer.matchIndex > 0:
			needed = min(needed, peer.matchIndex)
		}
	}
	return needed
}

// sendChunk sends the next chunk of the snapshot. It sends the chunk again if its
// result does not arrive within ElectionTicks.
func (replica *Replica) sendChunk(peer *peer) {
	if peer.heartbeatDue && peer.awaitingResult {
		peer.chunkWaitTicks += replica.HeartbeatTicks
		peer.awaitingResult = peer.chunkWaitTicks < replica.ElectionTicks
	}
	if peer.awaitingResult {
		return
	}
	peer.awaitingResult = true
	peer.chunkWaitTicks = 0
	snapshot := peer.snapshot
	end := min(peer.snapshotOffset+replica.MaxMessageBytes, len(snapshot.Data))
	chunk := &quorumpb.Chunk{
		Index:  uint64(snapshot.Index),
		Term:   uint64(snapshot.Term),
		Offset: uint64(peer.snapshotOffset),
		Size:   uint64(len(snapshot.Data)),
		Data:   snapshot.Data[peer.snapshotOffset:end],
	}
	if peer.snapshotOffset == 0 {
		chunk.Membership = EncodeMembership(snapshot.Membership)
	}
	replica.send(peer.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_Chunk{Chunk: chunk}})
}

func (replica *Replica) stepChunkResult(from ReplicaID, result *quorumpb.ChunkResult) {
	peer := replica.peer(from)
	if replica.role != Leader || peer == nil {
		return
	}
	peer.recentlyActive = true
	if peer.mode != snapshotMode || Index(result.GetIndex()) != peer.snapshot.Index {
		return
	}
	offset := int(result.GetOffset())
	if offset == peer.snapshotOffset || offset < 0 || offset > len(peer.snapshot.Data) {
		return
	}
	peer.snapshotOffset = offset
	peer.awaitingResult = false
}

func (replica *Replica) stepChunk(from ReplicaID, chunk *quorumpb.Chunk) {
	index, term := Index(chunk.GetIndex()), Term(chunk.GetTerm())
	if index <= replica.log.commitIndex || replica.log.matchesTerm(index, term) {
		replica.advanceFollowerCommit(index)
		replica.acknowledgeSnapshot(from, max(index, replica.log.commitIndex))
		return
	}
	if chunk.GetSize() > uint64(replica.MaxSnapshotBytes) {
		return
	}
	replica.addChunk(from, chunk)
	if uint64(len(replica.incomingSnapshot.data)) < replica.incomingSnapshot.size {
		replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_ChunkResult{ChunkResult: &quorumpb.ChunkResult{
			Index:  chunk.GetIndex(),
			Offset: uint64(len(replica.incomingSnapshot.data)),
		}}})
		return
	}
	replica.installSnapshot()
	replica.acknowledgeSnapshot(from, index)
}

// addChunk appends a chunk to the snapshot that is being received from this
// leader, if it is the next one. A chunk of another snapshot or of another leader
// starts over.
func (replica *Replica) addChunk(from ReplicaID, chunk *quorumpb.Chunk) {
	received := &replica.incomingSnapshot
	sameSnapshot := received.from == from && received.leaderTerm == replica.hardState.Term &&
		received.index == Index(chunk.GetIndex()) && received.size == chunk.GetSize()
	if !sameSnapshot {
		*received = incomingSnapshot{
			from:       from,
			leaderTerm: replica.hardState.Term,
			index:      Index(chunk.GetIndex()),
			term:       Term(chunk.GetTerm()),
			size:       chunk.GetSize(),
		}
	}
	if chunk.GetOffset() != uint64(len(received.data)) {
		return
	}
	if chunk.GetOffset() == 0 {
		received.membership = DecodeMembership(chunk.GetMembership())
	}
	received.data = append(received.data, chunk.GetData()...)
}

// installSnapshot replaces the log with the received snapshot.
func (replica *Replica) installSnapshot() {
	received := replica.incomingSnapshot
	replica.incomingSnapshot = incomingSnapshot{}
	replica.snapshot = Snapshot{
		Index:      received.index,
		Term:       received.term,
		Membership: received.membership,
		Data:       received.data,
	}
	replica.log.reset(received.index, received.term)
	replica.membershipHistory = membershipHistory{{received.index, received.membership}}
	snapshot := replica.snapshot
	replica.nextOutput.Snapshot = &snapshot
}

func (replica *Replica) acknowledgeSnapshot(to ReplicaID, index Index) {
	replica.acknowledge(to, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{Index: uint64(index)}}})
}
