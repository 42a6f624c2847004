package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// pendingRead is a read that waits until a round of heartbeats confirms that
// this replica still leads.
type pendingRead struct {
	request RequestID
	origin  ReplicaID
	index   Index
	round   uint64
}

// ReadIndex requests the index up to which entries must be applied before a
// linearizable read. The result arrives in [Output.ReadResults]. The request can
// be lost on the way to the leader, so the owner must set a deadline.
func (replica *Replica) ReadIndex(request RequestID) {
	switch {
	case replica.role == Leader:
		replica.leaderState.queuedReads = append(replica.leaderState.queuedReads, pendingRead{request: request, origin: replica.ID})
	case replica.leaderID != None:
		replica.send(replica.leaderID, 0, &quorumpb.Message{Body: &quorumpb.Message_ReadRequest{ReadRequest: &quorumpb.ReadRequest{Request: uint64(request)}}})
	default:
		replica.nextOutput.ReadResults = append(replica.nextOutput.ReadResults, ReadResult{Request: request})
	}
}

func (replica *Replica) stepReadRequest(from ReplicaID, request RequestID) {
	pending := pendingRead{request: request, origin: from}
	if replica.role != Leader {
		replica.answerRead(pending, false)
		return
	}
	replica.leaderState.queuedReads = append(replica.leaderState.queuedReads, pending)
}

func (replica *Replica) stepReadResult(result *quorumpb.ReadResult) {
	replica.nextOutput.ReadResults = append(replica.nextOutput.ReadResults, ReadResult{
		Request: RequestID(result.GetRequest()),
		Index:   Index(result.GetIndex()),
		Granted: result.GetGranted(),
	})
}

// startReadRound starts one round of heartbeats for all queued reads. A new
// leader must first commit an entry of its own term, because until then it does
// not know which entries are committed.
func (replica *Replica) startReadRound() {
	if len(replica.leaderState.queuedReads) == 0 || replica.log.commitIndex < replica.leaderState.termStart {
		return
	}
	replica.leaderState.readRound++
	for _, pending := range replica.leaderState.queuedReads {
		pending.index = replica.log.commitIndex
		pending.round = replica.leaderState.readRound
		replica.leaderState.pendingReads = append(replica.leaderState.pendingReads, pending)
	}
	replica.leaderState.queuedReads = nil
	replica.scheduleHeartbeats()
	replica.answerConfirmedReads()
}

// answerConfirmedReads answers the reads whose round a majority has confirmed.
func (replica *Replica) answerConfirmedReads() {
	if replica.role != Leader || len(replica.leaderState.pendingReads) == 0 {
		return
	}
	if self := replica.peer(replica.ID); self != nil {
		self.confirmedRound = replica.leaderState.readRound
	}
	confirmedRound := replica.majorityValue(func(peer *peer) uint64 { return peer.confirmedRound })
	answered := 0
	for answered < len(replica.leaderState.pendingReads) && replica.leaderState.pendingReads[answered].round <= confirmedRound {
		replica.answerRead(replica.leaderState.pendingReads[answered], true)
		answered++
	}
	replica.leaderState.pendingReads = replica.leaderState.pendingReads[answered:]
}

func (replica *Replica) answerRead(pending pendingRead, granted bool) {
	if pending.origin == replica.ID {
		replica.nextOutput.ReadResults = append(replica.nextOutput.ReadResults, ReadResult{
			Request: pending.request,
			Index:   pending.index,
			Granted: granted,
		})
		return
	}
	replica.send(pending.origin, 0, &quorumpb.Message{Body: &quorumpb.Message_ReadResult{ReadResult: &quorumpb.ReadResult{
		Request: uint64(pending.request),
		Index:   uint64(pending.index),
		Granted: granted,
	}}})
}

// refuseReads refuses the pending and queued reads of a leader that steps down.
func (replica *Replica) refuseReads() {
	for _, pending := range replica.leaderState.pendingReads {
		replica.answerRead(pending, false)
	}
	for _, pending := range replica.leaderState.queuedReads {
		replica.answerRead(pending, false)
	}
	replica.leaderState.pendingReads = nil
	replica.leaderState.queuedReads = nil
}
