package quorum

import (
	"errors"
	"math/rand/v2"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	defaultElectionTicks = 10
	// firstElectionTicks gives the other replicas of a group time to start when
	// all start together. firstElectionStaggerTicks, the delay from one voter to
	// the next, is enough for a pre-vote and a vote between regions.
	firstElectionTicks         = 2
	firstElectionStaggerTicks  = 3
	defaultHeartbeatTicks      = 2
	defaultMaxMessageBytes     = 256 << 10
	defaultMaxEntryBytes       = 768 << 10
	defaultMaxInflightMessages = 16
	defaultMaxUncommittedBytes = 16 << 20
	defaultMaxSnapshotBytes    = 1 << 30
	defaultKeptEntries         = 10_000
	defaultKeptBytes           = 1 << 20
	defaultMaxLagBytes         = 16 << 20

	// entryOverheadBytes is counted for each entry in addition to its data.
	entryOverheadBytes = 32
)

// Replica is one replica of the log. Set its exported fields before Start; a
// zero field selects the default. It is not safe for concurrent use.
type Replica struct {
	// ID identifies this replica and must not be [None].
	ID ReplicaID
	// Seed seeds the random election timeouts, together with ID.
	Seed uint64
	// ElectionTicks is the shortest election timeout; the longest is just under
	// twice that. The default is 10.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats. The default is 2.
	HeartbeatTicks int
	// MaxMessageBytes limits the entries or the snapshot chunk in a message. A
	// single entry may exceed it. The default is 256 KiB.
	MaxMessageBytes int
	// MaxEntryBytes limits the command in an entry. The default is 768 KiB.
	MaxEntryBytes int
	// MaxInflightMessages limits the unacknowledged messages with entries to a
	// follower. The default is 16.
	MaxInflightMessages int
	// MaxUncommittedBytes limits the uncommitted commands of a leader. The
	// default is 16 MiB.
	MaxUncommittedBytes int
	// MaxSnapshotBytes limits the size of a received snapshot; a larger one is
	// ignored. The default is 1 GiB.
	MaxSnapshotBytes int
	// KeptEntries is the number of entries kept in the log behind a snapshot, so
	// that a follower that is slightly behind needs no snapshot. The default is
	// 10000.
	KeptEntries int
	// KeptBytes limits the size of these entries. The default is 1 MiB.
	KeptBytes int
	// MaxLagBytes limits the size of the entries that a leader keeps for members that
	// are catching up, so that they do not need one snapshot after the other. The default
	// is 16 MiB.
	MaxLagBytes int

	random    *rand.Rand
	hardState HardState
	// storedHardState is the last one that the owner has synced.
	storedHardState   HardState
	role              Role
	leaderID          ReplicaID
	membershipHistory membershipHistory
	log               entryLog
	snapshot          Snapshot

	// electionElapsed counts the ticks since the last contact with a leader, the
	// last vote or the start of an election; on a leader, since the last quorum
	// check. An election starts at electionTimeout.
	electionElapsed int
	electionTimeout int
	votes           map[ReplicaID]bool
	// ownVoteStored says that the candidate's vote for itself is synced.
	ownVoteStored bool

	leaderState      leaderState
	incomingSnapshot incomingSnapshot
	forwardQueue     []forwardedCommand
	// nextOutput collects what the next TakeOutput returns. outputTaken is set
	// from then until OutputDone.
	nextOutput  Output
	outputTaken bool
	// toldRemoved is set when another replica says that this id was removed.
	toldRemoved bool
	fault       error
}

// Start initializes the replica from its persistent state. It returns an error
// if ID is missing or the state is inconsistent. A replica whose state holds no
// membership waits until a leader adds it.
func (replica *Replica) Start(restored PersistentState) error {
	if replica.ID == None {
		return errors.New("the replica id is missing")
	}
	replica.setDefaults()
	replica.random = rand.New(rand.NewPCG(replica.Seed, uint64(replica.ID)))
	replica.hardState = restored.HardState
	replica.storedHardState = restored.HardState
	replica.snapshot = restored.Snapshot
	replica.membershipHistory = membershipHistory{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	replica.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	for _, entry := range restored.Entries {
		if entry.Index != replica.log.lastIndex()+1 {
			return errors.New("the restored log has a gap: the index of an entry does not follow the one before it or the snapshot's")
		}
		replica.log.append(entry)
		if err := replica.recordMembership(entry); err != nil {
			return err
		}
	}
	replica.log.stableIndex = replica.log.lastIndex()
	replica.becomeFollower(replica.hardState.Term, None)
	replica.electionTimeout = min(replica.electionTimeout, replica.firstElectionTimeout())
	return nil
}

// firstElectionTimeout returns the election timeout that applies after a start.
// It is shorter than later ones, so that a group whose replicas all start
// together elects a leader soon. That is safe because the pre-vote does not
// disturb a leader that other replicas hear from. The timeouts of the voters are
// staggered by id, so that they do not split the votes.
func (replica *Replica) firstElectionTimeout() int {
	position := 0
	for _, member := range replica.membership().Members {
		if !member.Learner && member.ID < replica.ID {
			position++
		}
	}
	return firstElectionTicks + position*firstElectionStaggerTicks
}

func (replica *Replica) setDefaults() {
	setDefault(&replica.ElectionTicks, defaultElectionTicks)
	setDefault(&replica.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&replica.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&replica.MaxEntryBytes, defaultMaxEntryBytes)
	setDefault(&replica.MaxInflightMessages, defaultMaxInflightMessages)
	setDefault(&replica.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&replica.MaxSnapshotBytes, defaultMaxSnapshotBytes)
	setDefault(&replica.KeptEntries, defaultKeptEntries)
	setDefault(&replica.KeptBytes, defaultKeptBytes)
	setDefault(&replica.MaxLagBytes, defaultMaxLagBytes)
}

func setDefault(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Status returns the current state of the replica.
func (replica *Replica) Status() Status {
	return Status{
		ID:                  replica.ID,
		Role:                replica.role,
		Term:                replica.hardState.Term,
		Leader:              replica.leaderID,
		CommitIndex:         replica.log.commitIndex,
		LastIndex:           replica.log.lastIndex(),
		SnapshotIndex:       replica.snapshot.Index,
		Membership:          replica.membership(),
		CommittedMembership: replica.committedMembership(),
		MembershipIndex:     replica.membershipHistory.latest().index,
		Removed:             replica.toldRemoved || replica.committedMembership().IsRemoved(replica.ID),
	}
}

// HardState returns the current term and vote, which may not be stored yet.
func (replica *Replica) HardState() HardState {
	return replica.hardState
}

func (replica *Replica) membership() Membership {
	return replica.membershipHistory.latest().membership
}

func (replica *Replica) committedMembership() Membership {
	return replica.membershipHistory.at(replica.log.commitIndex)
}

// recordMembership puts the membership of an appended entry into effect.
func (replica *Replica) recordMembership(entry Entry) error {
	if entry.Kind != MembershipEntry {
		return nil
	}
	membership, err := unmarshalMembership(entry.Data)
	if err != nil {
		return err
	}
	replica.membershipHistory = append(replica.membershipHistory[:len(replica.membershipHistory):len(replica.membershipHistory)], indexedMembership{entry.Index, membership})
	return nil
}

// Tick advances the replica's logical clock by one tick.
func (replica *Replica) Tick() {
	replica.electionElapsed++
	if replica.role == Leader {
		replica.tickLeader()
		return
	}
	if replica.electionElapsed >= replica.electionTimeout && replica.mayCampaign() {
		replica.campaign(campaignPreVote)
	}
}

// Step processes a message from another replica.
func (replica *Replica) Step(message *quorumpb.Message) {
	from := ReplicaID(message.GetFrom())
	if ReplicaID(message.GetTo()) != replica.ID || from == None || from == replica.ID {
		return
	}
	if replica.committedMembership().IsRemoved(from) {
		replica.send(from, 0, &quorumpb.Message{Body: &quorumpb.Message_Removed{Removed: &quorumpb.Removed{}}})
		return
	}
	term := Term(message.GetTerm())
	if term == 0 {
		replica.stepWithoutTerm(from, message)
		return
	}
	if term > replica.hardState.Term && !replica.enterNewerTerm(from, term, message) {
		return
	}
	if term < replica.hardState.Term {
		replica.refuseEarlierTerm(from, message)
		return
	}
	replica.stepInTerm(from, message)
}

// stepWithoutTerm processes a message that is independent of terms.
func (replica *Replica) stepWithoutTerm(from ReplicaID, message *quorumpb.Message) {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_ReadRequest:
		replica.stepReadRequest(from, RequestID(body.ReadRequest.GetRequest()))
	case *quorumpb.Message_ReadResult:
		replica.stepReadResult(body.ReadResult)
	case *quorumpb.Message_Proposal:
		replica.stepProposal(from, body.Proposal)
	case *quorumpb.Message_ProposalResult:
		replica.stepProposalResult(body.ProposalResult)
	case *quorumpb.Message_Removed:
		replica.toldRemoved = true
	}
}

// enterNewerTerm moves to the newer term of a message, except for a pre-vote and
// for a vote request while a leader is active. It reports whether the message
// still has to be processed.
func (replica *Replica) enterNewerTerm(from ReplicaID, term Term, message *quorumpb.Message) bool {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_VoteRequest:
		if replica.hasActiveLeader() && !body.VoteRequest.GetTransfer() {
			return false
		}
		if body.VoteRequest.GetPre() {
			replica.answerPreVote(from, term, body.VoteRequest)
			return false
		}
		replica.becomeFollower(term, None)
	case *quorumpb.Message_VoteResult:
		if body.VoteResult.GetPre() && body.VoteResult.GetGranted() {
			replica.stepPreVoteResult(from, term)
			return false
		}
		replica.becomeFollower(term, None)
	case *quorumpb.Message_Append, *quorumpb.Message_Chunk:
		replica.becomeFollower(term, from)
	default:
		replica.becomeFollower(term, None)
	}
	return true
}

// refuseEarlierTerm tells a leader or candidate of an earlier term the current
// term.
func (replica *Replica) refuseEarlierTerm(from ReplicaID, message *quorumpb.Message) {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_Append, *quorumpb.Message_Chunk:
		replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{Refused: true}}})
	case *quorumpb.Message_VoteRequest:
		replica.sendVoteResult(from, replica.hardState.Term, body.VoteRequest.GetPre(), false)
	}
}

// stepInTerm processes a message of the current term.
func (replica *Replica) stepInTerm(from ReplicaID, message *quorumpb.Message) {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_VoteRequest:
		replica.stepVoteRequest(from, body.VoteRequest)
	case *quorumpb.Message_VoteResult:
		replica.stepVoteResult(from, body.VoteResult)
	case *quorumpb.Message_Append:
		replica.noteLeader(from)
		replica.stepAppend(from, body.Append)
	case *quorumpb.Message_Chunk:
		replica.noteLeader(from)
		replica.stepChunk(from, body.Chunk)
	case *quorumpb.Message_AppendResult:
		replica.stepAppendResult(from, body.AppendResult)
	case *quorumpb.Message_ChunkResult:
		replica.stepChunkResult(from, body.ChunkResult)
	case *quorumpb.Message_TakeOver:
		if from == replica.leaderID && replica.mayCampaign() {
			replica.campaign(campaignTransfer)
		}
	}
}

// noteLeader records a message from the leader of the current term and restarts
// the election timeout.
func (replica *Replica) noteLeader(from ReplicaID) {
	if replica.role != Follower {
		replica.becomeFollower(replica.hardState.Term, from)
	}
	replica.leaderID = from
	replica.electionElapsed = 0
}

func (replica *Replica) becomeFollower(term Term, leader ReplicaID) {
	replica.refuseReads()
	if term > replica.hardState.Term {
		replica.hardState = HardState{Term: term}
	}
	replica.role = Follower
	replica.leaderID = leader
	replica.votes = nil
	replica.leaderState = leaderState{}
	replica.resetElectionTimeout()
}

func (replica *Replica) resetElectionTimeout() {
	replica.electionElapsed = 0
	replica.electionTimeout = replica.ElectionTicks + replica.random.IntN(replica.ElectionTicks)
}
