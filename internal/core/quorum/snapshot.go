package quorum

import (
	"errors"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// incoming is a snapshot of which a part has arrived.
type incoming struct {
	from       ReplicaID
	leaderTerm Term
	index      Index
	term       Term
	membership Membership
	size       uint64
	data       []byte
}

// MakeSnapshot gives a snapshot for the state after applying the entries up to
// index. It is to be stored and then given to Compact.
func (replica *Replica) MakeSnapshot(index Index, state []byte) (Snapshot, error) {
	term, ok := replica.log.term(index)
	if !ok || index > replica.log.emitted {
		return Snapshot{}, errors.New("a snapshot stands for entries that were applied and are still in the log")
	}
	return Snapshot{Index: index, Term: term, Membership: replica.history.at(index), Data: state}, nil
}

// Compact drops entries that a stored snapshot stands for, but for the last
// KeptEntries.
func (replica *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index <= replica.snapshot.Index {
		return
	}
	replica.snapshot = snapshot
	if snapshot.Index <= Index(replica.KeptEntries) {
		return
	}
	base := snapshot.Index - Index(replica.KeptEntries)
	replica.log.compact(base)
	replica.history = replica.history.compacted(replica.log.base)
}

// flushChunk sends the next part of the snapshot, and sends it again when its
// result is overdue.
func (replica *Replica) flushChunk(peer *peer) {
	if peer.heartbeatDue && peer.waiting {
		peer.waited += replica.HeartbeatTicks
		peer.waiting = peer.waited < replica.ElectionTicks
	}
	if peer.waiting {
		return
	}
	peer.waiting = true
	peer.waited = 0
	snapshot := peer.snapshot
	end := min(peer.offset+replica.MessageBytes, len(snapshot.Data))
	chunk := &quorumpb.Chunk{
		Index:  uint64(snapshot.Index),
		Term:   uint64(snapshot.Term),
		Offset: uint64(peer.offset),
		Size:   uint64(len(snapshot.Data)),
		Data:   snapshot.Data[peer.offset:end],
	}
	if peer.offset == 0 {
		chunk.Membership = EncodeMembership(snapshot.Membership)
	}
	replica.send(peer.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_Chunk{Chunk: chunk}})
}

func (replica *Replica) stepChunkResult(from ReplicaID, result *quorumpb.ChunkResult) {
	peer := replica.peer(from)
	if replica.role != Leader || peer == nil {
		return
	}
	peer.heard = true
	if peer.progress != installing || Index(result.GetIndex()) != peer.snapshot.Index {
		return
	}
	offset := int(result.GetOffset())
	if offset == peer.offset || offset < 0 || offset > len(peer.snapshot.Data) {
		return
	}
	peer.offset = offset
	peer.waiting = false
}

func (replica *Replica) stepChunk(from ReplicaID, chunk *quorumpb.Chunk) {
	index, term := Index(chunk.GetIndex()), Term(chunk.GetTerm())
	if index <= replica.log.commit || replica.log.matches(index, term) {
		replica.followCommit(index)
		replica.acknowledgeSnapshot(from, max(index, replica.log.commit))
		return
	}
	if chunk.GetSize() > uint64(replica.SnapshotBytes) {
		return
	}
	replica.collect(from, chunk)
	if uint64(len(replica.incoming.data)) < replica.incoming.size {
		replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_ChunkResult{ChunkResult: &quorumpb.ChunkResult{
			Index:  chunk.GetIndex(),
			Offset: uint64(len(replica.incoming.data)),
		}}})
		return
	}
	replica.install()
	replica.acknowledgeSnapshot(from, index)
}

// collect adds a chunk that continues what has arrived from this leader, and
// starts anew with a chunk of another snapshot.
func (replica *Replica) collect(from ReplicaID, chunk *quorumpb.Chunk) {
	arrived := &replica.incoming
	same := arrived.from == from && arrived.leaderTerm == replica.hardState.Term &&
		arrived.index == Index(chunk.GetIndex()) && arrived.size == chunk.GetSize()
	if !same {
		*arrived = incoming{
			from:       from,
			leaderTerm: replica.hardState.Term,
			index:      Index(chunk.GetIndex()),
			term:       Term(chunk.GetTerm()),
			size:       chunk.GetSize(),
		}
	}
	if chunk.GetOffset() != uint64(len(arrived.data)) {
		return
	}
	if chunk.GetOffset() == 0 {
		arrived.membership = DecodeMembership(chunk.GetMembership())
	}
	arrived.data = append(arrived.data, chunk.GetData()...)
}

func (replica *Replica) install() {
	arrived := replica.incoming
	replica.incoming = incoming{}
	replica.snapshot = Snapshot{
		Index:      arrived.index,
		Term:       arrived.term,
		Membership: arrived.membership,
		Data:       arrived.data,
	}
	replica.log.reset(arrived.index, arrived.term)
	replica.history = memberships{{arrived.index, arrived.membership}}
	installed := replica.snapshot
	replica.output.Snapshot = &installed
}

func (replica *Replica) acknowledgeSnapshot(to ReplicaID, index Index) {
	replica.acknowledge(to, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{Index: uint64(index)}}})
}
