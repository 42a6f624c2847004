package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// read waits for a round of heartbeats that confirms the leader.
type read struct {
	request RequestID
	origin  ReplicaID
	index   Index
	round   uint64
}

// Read asks for an index that a linearizable read must see. The answer comes
// in [Output.Reads]; it may be lost on the way to the leader, so the owner
// keeps a deadline.
func (replica *Replica) Read(request RequestID) {
	switch {
	case replica.role == Leader:
		replica.leading.waiting = append(replica.leading.waiting, read{request: request, origin: replica.ID})
	case replica.leader != None:
		replica.send(replica.leader, 0, &quorumpb.Message{Body: &quorumpb.Message_ReadRequest{ReadRequest: &quorumpb.ReadRequest{Request: uint64(request)}}})
	default:
		replica.output.Reads = append(replica.output.Reads, ReadResult{Request: request})
	}
}

func (replica *Replica) stepReadRequest(from ReplicaID, request RequestID) {
	asked := read{request: request, origin: from}
	if replica.role != Leader {
		replica.answerRead(asked, false)
		return
	}
	replica.leading.waiting = append(replica.leading.waiting, asked)
}

func (replica *Replica) stepReadResult(result *quorumpb.ReadResult) {
	replica.output.Reads = append(replica.output.Reads, ReadResult{
		Request: RequestID(result.GetRequest()),
		Index:   Index(result.GetIndex()),
		Granted: result.GetGranted(),
	})
}

// startReads opens one round for all reads that wait. A new leader first has
// to commit an entry of its own term to know what is committed.
func (replica *Replica) startReads() {
	if len(replica.leading.waiting) == 0 || replica.log.commit < replica.leading.first {
		return
	}
	replica.leading.round++
	for _, asked := range replica.leading.waiting {
		asked.index = replica.log.commit
		asked.round = replica.leading.round
		replica.leading.reads = append(replica.leading.reads, asked)
	}
	replica.leading.waiting = nil
	replica.heartbeatDue()
	replica.releaseReads()
}

// releaseReads answers the reads whose round a majority has confirmed.
func (replica *Replica) releaseReads() {
	if replica.role != Leader || len(replica.leading.reads) == 0 {
		return
	}
	if own := replica.peer(replica.ID); own != nil {
		own.round = replica.leading.round
	}
	confirmed := replica.agreed(func(peer *peer) uint64 { return peer.round })
	done := 0
	for done < len(replica.leading.reads) && replica.leading.reads[done].round <= confirmed {
		replica.answerRead(replica.leading.reads[done], true)
		done++
	}
	replica.leading.reads = replica.leading.reads[done:]
}

func (replica *Replica) answerRead(asked read, granted bool) {
	if asked.origin == replica.ID {
		replica.output.Reads = append(replica.output.Reads, ReadResult{
			Request: asked.request,
			Index:   asked.index,
			Granted: granted,
		})
		return
	}
	replica.send(asked.origin, 0, &quorumpb.Message{Body: &quorumpb.Message_ReadResult{ReadResult: &quorumpb.ReadResult{
		Request: uint64(asked.request),
		Index:   uint64(asked.index),
		Granted: granted,
	}}})
}

// failRequests refuses the reads of a leader that steps down.
func (replica *Replica) failRequests() {
	for _, asked := range replica.leading.reads {
		replica.answerRead(asked, false)
	}
	for _, asked := range replica.leading.waiting {
		replica.answerRead(asked, false)
	}
	replica.leading.reads = nil
	replica.leading.waiting = nil
}
