package quorum

import (
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// leading is the state that only a leader has.
type leading struct {
	peers     []*peer
	heartbeat int
	// first is the index of the first entry of the leader's own term.
	first       Index
	round       uint64
	reads       []read
	waiting     []read
	uncommitted int
	successor   ReplicaID
}

// becomeLeader takes the lead of this term, and appends an empty entry: only
// with it are entries of earlier terms committed.
func (replica *Replica) becomeLeader() {
	replica.role = Leader
	replica.leader = replica.ID
	replica.votes = nil
	replica.elapsed = 0
	replica.leading = leading{first: replica.log.last() + 1}
	replica.followMembership()
	replica.appendOwn(EmptyEntry, nil)
	replica.heartbeatDue()
}

func (replica *Replica) tickLeader() {
	if replica.elapsed >= replica.ElectionTicks && !replica.checkQuorum() {
		replica.becomeFollower(replica.hardState.Term, None)
		return
	}
	replica.leading.heartbeat++
	if replica.leading.heartbeat >= replica.HeartbeatTicks {
		replica.leading.heartbeat = 0
		replica.heartbeatDue()
	}
}

// checkQuorum tells whether a majority was heard since the last check.
func (replica *Replica) checkQuorum() bool {
	replica.elapsed = 0
	replica.leading.successor = None
	membership := replica.membership()
	heard := 0
	for _, peer := range replica.leading.peers {
		if membership.IsVoter(peer.id) && (peer.heard || peer.id == replica.ID) {
			heard++
		}
		peer.heard = false
	}
	return heard >= membership.Majority()
}

func (replica *Replica) heartbeatDue() {
	for _, peer := range replica.leading.peers {
		peer.heartbeatDue = true
	}
}

// Propose appends a command when this replica leads. It gives the command's
// place; another entry that is committed at that index means that the command
// was dropped.
func (replica *Replica) Propose(command []byte) (Index, Term, error) {
	if replica.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(command) > replica.EntryBytes {
		return 0, 0, ErrTooLarge
	}
	if replica.leading.successor != None {
		return 0, 0, ErrTransferring
	}
	if replica.leading.uncommitted+len(command) > replica.UncommittedBytes {
		return 0, 0, ErrBusy
	}
	replica.leading.uncommitted += len(command) + entryOverhead
	return replica.appendOwn(CommandEntry, command), replica.hardState.Term, nil
}

// ProposeChange appends a change of members when this replica leads and no
// other change is under way.
func (replica *Replica) ProposeChange(change Change) (Index, Term, error) {
	if replica.role != Leader {
		return 0, 0, ErrNotLeader
	}
	latest := replica.history.latest()
	if latest.index > replica.log.commit || replica.log.commit < replica.leading.first {
		return 0, 0, ErrChangePending
	}
	next, err := latest.membership.with(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Promote && !replica.caughtUp(change.Member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	data, err := marshalMembership(next)
	if err != nil {
		return 0, 0, err
	}
	return replica.appendOwn(MembershipEntry, data), replica.hardState.Term, nil
}

func (replica *Replica) caughtUp(id ReplicaID) bool {
	peer := replica.peer(id)
	return peer != nil && peer.match >= replica.log.commit
}

func (replica *Replica) appendOwn(kind EntryKind, data []byte) Index {
	entry := Entry{Index: replica.log.last() + 1, Term: replica.hardState.Term, Kind: kind, Data: data}
	replica.log.append(entry)
	if kind == MembershipEntry {
		replica.fail(replica.noteMembership(entry))
		replica.followMembership()
	}
	return entry.Index
}

// followMembership keeps one peer for each member.
func (replica *Replica) followMembership() {
	membership := replica.membership()
	peers := make([]*peer, 0, len(membership.Members))
	for _, member := range membership.Members {
		known := replica.peer(member.ID)
		if known == nil {
			known = &peer{id: member.ID, next: replica.log.last() + 1}
		}
		peers = append(peers, known)
	}
	replica.leading.peers = peers
}

func (replica *Replica) peer(id ReplicaID) *peer {
	for _, peer := range replica.leading.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// agreed gives the largest value that a majority of voters has reached.
func (replica *Replica) agreed(reached func(*peer) uint64) uint64 {
	membership := replica.membership()
	var values [maxMembers]uint64
	sorted := values[:0]
	for _, peer := range replica.leading.peers {
		if membership.IsVoter(peer.id) {
			sorted = append(sorted, reached(peer))
		}
	}
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	return sorted[len(sorted)-membership.Majority()]
}

// maxMembers is the usual size up to which a count needs no allocation.
const maxMembers = 16

// advanceCommit commits what a majority has synced, if it is of this term.
func (replica *Replica) advanceCommit() {
	if replica.role != Leader {
		return
	}
	if own := replica.peer(replica.ID); own != nil {
		own.match = replica.log.stable
	}
	index := Index(replica.agreed(func(peer *peer) uint64 { return uint64(peer.match) }))
	if index <= replica.log.commit || !replica.log.matches(index, replica.hardState.Term) {
		return
	}
	replica.releaseUncommitted(index)
	replica.log.commit = index
	if !replica.committedMembership().IsVoter(replica.ID) {
		replica.flushPeers()
		replica.becomeFollower(replica.hardState.Term, None)
	}
}

func (replica *Replica) releaseUncommitted(to Index) {
	for _, entry := range replica.log.between(replica.log.commit, to) {
		if entry.Kind == CommandEntry && entry.Index >= replica.leading.first {
			replica.leading.uncommitted -= len(entry.Data) + entryOverhead
		}
	}
}

// Transfer hands the lead to a voter that has caught up, for a planned stop.
// Commands are refused until the voter leads or an election timeout passes.
func (replica *Replica) Transfer(to ReplicaID) error {
	if replica.role != Leader {
		return ErrNotLeader
	}
	if !replica.membership().IsVoter(to) || to == replica.ID {
		return ErrNotMember
	}
	replica.leading.successor = to
	replica.handOver()
	return nil
}

// Successor gives the voter that has most of the log besides the leader, or
// [None].
func (replica *Replica) Successor() ReplicaID {
	membership := replica.membership()
	var best *peer
	for _, peer := range replica.leading.peers {
		if peer.id == replica.ID || !membership.IsVoter(peer.id) {
			continue
		}
		if best == nil || peer.match > best.match {
			best = peer
		}
	}
	if best == nil {
		return None
	}
	return best.id
}

// handOver tells the chosen successor to start once it has every entry.
func (replica *Replica) handOver() {
	successor := replica.peer(replica.leading.successor)
	if successor == nil || successor.match < replica.log.last() {
		return
	}
	replica.send(successor.id, replica.hardState.Term, &quorumpb.Message{Body: &quorumpb.Message_TakeOver{TakeOver: &quorumpb.TakeOver{}}})
}
