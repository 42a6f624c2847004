package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// replicationMode is the way in which a leader sends its log to a peer.
type replicationMode uint8

const (
	// probeMode sends one message and waits for its result, to find the index
	// at which the logs match.
	probeMode replicationMode = iota
	// pipelineMode sends further messages before earlier ones are acknowledged,
	// up to MaxInflightMessages.
	pipelineMode
	// snapshotMode sends a snapshot in chunks, one at a time.
	snapshotMode
)

// peer is the replication state that a leader keeps for each member, itself
// included.
type peer struct {
	id   ReplicaID
	mode replicationMode
	// matchIndex is the last index known to be synced by the peer, nextIndex
	// the first one to send.
	matchIndex Index
	nextIndex  Index
	// confirmedRound is the last heartbeat round that the peer answered.
	confirmedRound uint64
	// recentlyActive says that the peer answered since the last quorum check.
	recentlyActive bool
	// wasActive is recentlyActive at the last quorum check.
	wasActive bool

	heartbeatDue bool
	// awaitingResult stops sending in probe and snapshot mode until the result
	// of the last message arrives.
	awaitingResult bool
	// sentCommit is the commit index of the last Append.
	sentCommit Index
	// inflight holds the last index of each message with entries that is not
	// acknowledged yet.
	inflight []Index

	// snapshot, snapshotOffset and chunkWaitTicks are used in snapshot mode:
	// the offset of the current chunk and the time since it was sent.
	snapshot       *Snapshot
	snapshotOffset int
	chunkWaitTicks int
}

// startProbing returns to probe mode. It also abandons a snapshot transfer.
func (peer *peer) startProbing(next Index) {
	peer.mode = probeMode
	peer.nextIndex = max(next, peer.matchIndex+1)
	peer.awaitingResult = false
	peer.inflight = peer.inflight[:0]
	peer.snapshot = nil
}

// acknowledge records that the peer has synced the log up to index.
func (peer *peer) acknowledge(index Index) {
	peer.matchIndex = max(peer.matchIndex, index)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	acknowledgedCount := 0
	for acknowledgedCount < len(peer.inflight) && peer.inflight[acknowledgedCount] <= index {
		acknowledgedCount++
	}
	peer.inflight = append(peer.inflight[:0], peer.inflight[acknowledgedCount:]...)
	if peer.mode == probeMode {
		peer.mode = pipelineMode
		peer.nextIndex = peer.matchIndex + 1
	}
}

// sendToPeers sends each peer the entries, snapshot chunk or heartbeat that it
// may receive now.
func (replica *Replica) sendToPeers() {
	for _, peer := range replica.leaderState.peers {
		if peer.id != replica.ID {
			replica.sendToPeer(peer)
		}
	}
}

func (replica *Replica) sendToPeer(peer *peer) {
	if peer.mode != snapshotMode && peer.nextIndex <= replica.log.baseIndex {
		peer.mode = snapshotMode
		snapshot := replica.snapshot
		peer.snapshot = &snapshot
		peer.snapshotOffset = 0
		peer.awaitingResult = false
	}
	switch peer.mode {
	case snapshotMode:
		replica.sendChunk(peer)
	case probeMode:
		if !peer.awaitingResult {
			peer.awaitingResult = true
			replica.sendAppend(peer, peer.nextIndex-1, replica.log.entriesFrom(peer.nextIndex, replica.MaxMessageBytes))
		}
	case pipelineMode:
		replica.sendEntries(peer)
	}
	if peer.heartbeatDue || (peer.mode == pipelineMode && peer.sentCommit < replica.log.commitIndex) {
		replica.sendHeartbeat(peer)
	}
}

func (replica *Replica) sendEntries(peer *peer) {
	for len(peer.inflight) < replica.MaxInflightMessages && peer.nextIndex <= replica.log.lastIndex() {
		entries := replica.log.entriesFrom(peer.nextIndex, replica.MaxMessageBytes)
		replica.sendAppend(peer, peer.nextIndex-1, entries)
		peer.nextIndex = entries[len(entries)-1].Index + 1
		peer.inflight = append(peer.inflight, peer.nextIndex-1)
	}
}

func (replica *Replica) sendHeartbeat(peer *peer) {
	if peer.mode == snapshotMode {
		replica.sendAppend(peer, 0, nil)
		return
	}
	replica.sendAppend(peer, peer.nextIndex-1, nil)
}

func (replica *Replica) sendAppend(peer *peer, previous Index, entries []Entry) {
	previousTerm, _ := replica.log.termAt(previous)
	if previous == 0 {
		previousTerm = 0
	}
	peer.heartbeatDue = false
	peer.sentCommit = replica.log.commitIndex
	replica.send(peer.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_Append{Append: &quorumpb.Append{
		PreviousIndex: uint64(previous),
		PreviousTerm:  uint64(previousTerm),
		Commit:        uint64(replica.log.commitIndex),
		Round:         replica.leaderState.readRound,
		Entries:       EncodeEntries(entries),
	}}})
}

func (replica *Replica) stepAppendResult(from ReplicaID, result *quorumpb.AppendResult) {
	peer := replica.peer(from)
	if replica.role != Leader || peer == nil {
		return
	}
	index := Index(result.GetIndex())
	peer.recentlyActive = true
	peer.confirmedRound = max(peer.confirmedRound, result.GetRound())
	if result.GetRefused() {
		replica.stepAppendRefused(peer, index, result)
	} else if index <= replica.log.lastIndex() {
		replica.stepAppendMatched(peer, index)
	}
	replica.answerConfirmedReads()
}

func (replica *Replica) stepAppendMatched(peer *peer, index Index) {
	peer.acknowledge(index)
	if peer.mode == snapshotMode && peer.matchIndex >= peer.snapshot.Index {
		peer.startProbing(peer.matchIndex + 1)
	}
	replica.advanceCommit()
	if replica.role == Leader && replica.leaderState.successor == peer.id {
		replica.sendTakeOver()
	}
}

// stepAppendRefused resumes at the last index that can match by the follower's
// hint. Results that refer to an outdated position are ignored.
func (replica *Replica) stepAppendRefused(peer *peer, index Index, result *quorumpb.AppendResult) {
	if peer.mode == snapshotMode || index <= peer.matchIndex {
		return
	}
	if peer.mode == probeMode && index != peer.nextIndex-1 {
		return
	}
	hintIndex := min(index-1, Index(result.GetHintIndex()))
	hintTerm := Term(result.GetHintTerm())
	if hintIndex < replica.log.baseIndex || (hintIndex == replica.log.baseIndex && hintTerm < replica.log.baseTerm) {
		// The entries that the follower lacks were compacted. Probing from
		// baseIndex makes the next send switch to a snapshot.
		peer.startProbing(replica.log.baseIndex)
		return
	}
	peer.startProbing(replica.log.lastIndexUpToTerm(hintIndex, hintTerm) + 1)
}
