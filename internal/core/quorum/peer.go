package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// progress is how a leader sends to a peer.
type progress uint8

const (
	// probing sends one message and waits for its result.
	probing progress = iota
	// streaming sends ahead within the window.
	streaming
	// installing sends the chunks of a snapshot.
	installing
)

// peer is what a leader knows of another replica.
type peer struct {
	id       ReplicaID
	progress progress
	match    Index
	next     Index
	round    uint64
	heard    bool

	heartbeatDue bool
	waiting      bool
	commitSent   Index
	// inflight holds the last index of each message with entries that is not
	// acknowledged yet.
	inflight []Index

	snapshot *Snapshot
	offset   int
	waited   int
}

func (peer *peer) probe(next Index) {
	peer.progress = probing
	peer.next = max(next, peer.match+1)
	peer.waiting = false
	peer.inflight = peer.inflight[:0]
	peer.snapshot = nil
}

func (peer *peer) acknowledged(index Index) {
	peer.match = max(peer.match, index)
	peer.next = max(peer.next, peer.match+1)
	done := 0
	for done < len(peer.inflight) && peer.inflight[done] <= index {
		done++
	}
	peer.inflight = append(peer.inflight[:0], peer.inflight[done:]...)
	if peer.progress == probing {
		peer.progress = streaming
		peer.next = peer.match + 1
	}
}

// flushPeers sends to each peer what it lacks and may get now.
func (replica *Replica) flushPeers() {
	for _, peer := range replica.leading.peers {
		if peer.id != replica.ID {
			replica.flushPeer(peer)
		}
	}
}

func (replica *Replica) flushPeer(peer *peer) {
	if peer.progress != installing && peer.next <= replica.log.base {
		peer.progress = installing
		snapshot := replica.snapshot
		peer.snapshot = &snapshot
		peer.offset = 0
		peer.waiting = false
	}
	switch peer.progress {
	case installing:
		replica.flushChunk(peer)
	case probing:
		if !peer.waiting {
			peer.waiting = true
			replica.sendAppend(peer, peer.next-1, replica.log.from(peer.next, replica.MessageBytes))
		}
	case streaming:
		replica.flushEntries(peer)
	}
	if peer.heartbeatDue || (peer.progress == streaming && peer.commitSent < replica.log.commit) {
		replica.sendHeartbeat(peer)
	}
}

func (replica *Replica) flushEntries(peer *peer) {
	for len(peer.inflight) < replica.Window && peer.next <= replica.log.last() {
		entries := replica.log.from(peer.next, replica.MessageBytes)
		replica.sendAppend(peer, peer.next-1, entries)
		peer.next = entries[len(entries)-1].Index + 1
		peer.inflight = append(peer.inflight, peer.next-1)
	}
}

func (replica *Replica) sendHeartbeat(peer *peer) {
	if peer.progress == installing {
		replica.sendAppend(peer, 0, nil)
		return
	}
	replica.sendAppend(peer, peer.next-1, nil)
}

func (replica *Replica) sendAppend(peer *peer, previous Index, entries []Entry) {
	term, _ := replica.log.term(previous)
	if previous == 0 {
		term = 0
	}
	peer.heartbeatDue = false
	peer.commitSent = replica.log.commit
	replica.send(peer.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_Append{Append: &quorumpb.Append{
		PreviousIndex: uint64(previous),
		PreviousTerm:  uint64(term),
		Commit:        uint64(replica.log.commit),
		Round:         replica.leading.round,
		Entries:       EncodeEntries(entries),
	}}})
}

func (replica *Replica) stepAppendResult(from ReplicaID, result *quorumpb.AppendResult) {
	peer := replica.peer(from)
	if replica.role != Leader || peer == nil {
		return
	}
	index := Index(result.GetIndex())
	peer.heard = true
	peer.round = max(peer.round, result.GetRound())
	if result.GetRefused() {
		replica.stepRefused(peer, index, result)
	} else if index <= replica.log.last() {
		replica.stepMatched(peer, index)
	}
	replica.releaseReads()
}

func (replica *Replica) stepMatched(peer *peer, index Index) {
	peer.acknowledged(index)
	if peer.progress == installing && peer.match >= peer.snapshot.Index {
		peer.probe(peer.match + 1)
	}
	replica.advanceCommit()
	if replica.role == Leader && replica.leading.successor == peer.id {
		replica.handOver()
	}
}

func (replica *Replica) stepRefused(peer *peer, index Index, result *quorumpb.AppendResult) {
	if peer.progress == installing || index <= peer.match {
		return
	}
	if peer.progress == probing && index != peer.next-1 {
		return
	}
	hint := min(index-1, Index(result.GetHintIndex()))
	term := Term(result.GetHintTerm())
	if hint < replica.log.base || (hint == replica.log.base && term < replica.log.baseTerm) {
		peer.probe(replica.log.base) // only a snapshot reaches that far back
		return
	}
	peer.probe(replica.log.floor(hint, term) + 1)
}
