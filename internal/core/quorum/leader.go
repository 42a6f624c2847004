package quorum

import (
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	peers []*peer
	// heartbeatElapsed counts the ticks since the last heartbeat.
	heartbeatElapsed int
	// termStart is the index of the first entry of the leader's own term.
	termStart Index
	// readRound numbers the heartbeat rounds that confirm reads.
	readRound uint64
	// pendingReads wait for their round to be confirmed, queuedReads for the
	// next round to start.
	pendingReads []pendingRead
	queuedReads  []pendingRead
	// uncommittedBytes is the size of the uncommitted commands of this term.
	uncommittedBytes int
	// successor is the voter that leadership is being transferred to, or None.
	successor ReplicaID
}

// becomeLeader starts leading the current term. It appends an empty entry,
// because entries of earlier terms become committed only together with an entry
// of the leader's own term.
func (replica *Replica) becomeLeader() {
	replica.role = Leader
	replica.leaderID = replica.ID
	replica.votes = nil
	replica.electionElapsed = 0
	replica.leaderState = leaderState{termStart: replica.log.lastIndex() + 1}
	replica.updatePeers()
	replica.appendEntry(EmptyEntry, nil)
	replica.scheduleHeartbeats()
}

func (replica *Replica) tickLeader() {
	if replica.electionElapsed >= replica.ElectionTicks && !replica.checkQuorum() {
		replica.becomeFollower(replica.hardState.Term, None)
		return
	}
	replica.leaderState.heartbeatElapsed++
	if replica.leaderState.heartbeatElapsed >= replica.HeartbeatTicks {
		replica.leaderState.heartbeatElapsed = 0
		replica.scheduleHeartbeats()
	}
}

// checkQuorum reports whether a majority of voters was active since the last
// check. It also ends a leadership transfer that has not succeeded by then.
func (replica *Replica) checkQuorum() bool {
	replica.electionElapsed = 0
	replica.leaderState.successor = None
	membership := replica.membership()
	active := 0
	for _, peer := range replica.leaderState.peers {
		if membership.IsVoter(peer.id) && (peer.recentlyActive || peer.id == replica.ID) {
			active++
		}
		peer.wasActive, peer.recentlyActive = peer.recentlyActive, false
	}
	return active >= membership.Majority()
}

func (replica *Replica) scheduleHeartbeats() {
	for _, peer := range replica.leaderState.peers {
		peer.heartbeatDue = true
	}
}

// Propose appends a command to the log if this replica is the leader, and
// returns the index and term of its entry. If an entry of another term is
// committed at that index, the command was dropped.
func (replica *Replica) Propose(command []byte) (Index, Term, error) {
	if replica.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(command) > replica.MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	if replica.leaderState.successor != None {
		return 0, 0, ErrLeadershipTransfer
	}
	if replica.leaderState.uncommittedBytes+len(command) > replica.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	replica.leaderState.uncommittedBytes += len(command) + entryOverheadBytes
	return replica.appendEntry(CommandEntry, command), replica.hardState.Term, nil
}

// ProposeChange appends a membership change if this replica is the leader and
// no other change is uncommitted. It returns the index and term of the entry.
func (replica *Replica) ProposeChange(change MembershipChange) (Index, Term, error) {
	if replica.role != Leader {
		return 0, 0, ErrNotLeader
	}
	latest := replica.membershipHistory.latest()
	if latest.index > replica.log.commitIndex || replica.log.commitIndex < replica.leaderState.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := latest.membership.withChange(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Promote && !replica.isCaughtUp(change.Member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	data, err := marshalMembership(next)
	if err != nil {
		return 0, 0, err
	}
	return replica.appendEntry(MembershipEntry, data), replica.hardState.Term, nil
}

func (replica *Replica) isCaughtUp(id ReplicaID) bool {
	peer := replica.peer(id)
	return peer != nil && peer.matchIndex >= replica.log.commitIndex
}

// MatchIndex returns the last index that a leader knows a member to have synced, or
// false if this replica does not lead or the id is not that of a member.
func (replica *Replica) MatchIndex(id ReplicaID) (Index, bool) {
	peer := replica.peer(id)
	if replica.role != Leader || peer == nil {
		return 0, false
	}
	return peer.matchIndex, true
}

func (replica *Replica) appendEntry(kind EntryKind, data []byte) Index {
	entry := Entry{Index: replica.log.lastIndex() + 1, Term: replica.hardState.Term, Kind: kind, Data: data}
	replica.log.append(entry)
	if kind == MembershipEntry {
		replica.setFault(replica.recordMembership(entry))
		replica.updatePeers()
	}
	return entry.Index
}

// updatePeers keeps one peer for each member of the latest membership.
func (replica *Replica) updatePeers() {
	membership := replica.membership()
	peers := make([]*peer, 0, len(membership.Members))
	for _, member := range membership.Members {
		memberPeer := replica.peer(member.ID)
		if memberPeer == nil {
			memberPeer = &peer{id: member.ID, nextIndex: replica.log.lastIndex() + 1}
		}
		peers = append(peers, memberPeer)
	}
	replica.leaderState.peers = peers
}

func (replica *Replica) peer(id ReplicaID) *peer {
	for _, peer := range replica.leaderState.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// majorityValue returns the largest value that a majority of voters has reached.
func (replica *Replica) majorityValue(valueOf func(*peer) uint64) uint64 {
	membership := replica.membership()
	var buffer [stackVoters]uint64
	sorted := buffer[:0]
	for _, peer := range replica.leaderState.peers {
		if membership.IsVoter(peer.id) {
			sorted = append(sorted, valueOf(peer))
		}
	}
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	return sorted[len(sorted)-membership.Majority()]
}

// stackVoters is the number of voters up to which majorityValue does not
// allocate.
const stackVoters = 16

// advanceCommit commits the entries that a majority has synced, provided that
// the last of them is of the current term. A leader that is no voter in the
// committed membership then steps down.
func (replica *Replica) advanceCommit() {
	if replica.role != Leader {
		return
	}
	if self := replica.peer(replica.ID); self != nil {
		self.matchIndex = replica.log.stableIndex
	}
	index := Index(replica.majorityValue(func(peer *peer) uint64 { return uint64(peer.matchIndex) }))
	if index <= replica.log.commitIndex || !replica.log.matchesTerm(index, replica.hardState.Term) {
		return
	}
	replica.releaseUncommittedBytes(index)
	replica.log.commitIndex = index
	if !replica.committedMembership().IsVoter(replica.ID) {
		replica.sendToPeers()
		replica.becomeFollower(replica.hardState.Term, None)
	}
}

// releaseUncommittedBytes subtracts the commands that become committed.
func (replica *Replica) releaseUncommittedBytes(to Index) {
	for _, entry := range replica.log.entriesBetween(replica.log.commitIndex, to) {
		if entry.Kind == CommandEntry && entry.Index >= replica.leaderState.termStart {
			replica.leaderState.uncommittedBytes -= len(entry.Data) + entryOverheadBytes
		}
	}
}

// TransferLeadership transfers leadership to a voter, for example before a planned
// stop. The voter starts an election as soon as it has every entry. Commands are
// refused until it leads, or until the next quorum check, which is at most
// ElectionTicks later, gives up the transfer.
func (replica *Replica) TransferLeadership(to ReplicaID) error {
	if replica.role != Leader {
		return ErrNotLeader
	}
	if !replica.membership().IsVoter(to) || to == replica.ID {
		return ErrNotMember
	}
	replica.leaderState.successor = to
	replica.sendTakeOver()
	return nil
}

// Successor returns the voter other than this leader whose log is the most
// complete, or [None].
func (replica *Replica) Successor() ReplicaID {
	membership := replica.membership()
	var best *peer
	for _, peer := range replica.leaderState.peers {
		if peer.id == replica.ID || !membership.IsVoter(peer.id) {
			continue
		}
		if best == nil || peer.matchIndex > best.matchIndex {
			best = peer
		}
	}
	if best == nil {
		return None
	}
	return best.id
}

// sendTakeOver tells the successor to start an election, once it has every
// entry.
func (replica *Replica) sendTakeOver() {
	successor := replica.peer(replica.leaderState.successor)
	if successor == nil || successor.matchIndex < replica.log.lastIndex() {
		return
	}
	replica.send(successor.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_TakeOver{TakeOver: &quorumpb.TakeOver{}}})
}
