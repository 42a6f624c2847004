package quorum

import (
	"errors"
	"math/rand/v2"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	defaultElectionTicks = 10
	// firstTicks lets the others of a group that starts as a whole come up, and
	// turnTicks is time for a pre-vote and a vote between regions.
	firstTicks              = 2
	turnTicks               = 3
	defaultHeartbeatTicks   = 2
	defaultMessageBytes     = 256 << 10
	defaultEntryBytes       = 768 << 10
	defaultWindow           = 16
	defaultUncommittedBytes = 16 << 20
	defaultSnapshotBytes    = 1 << 30
	defaultKeptEntries      = 10_000

	// entryOverhead is what an entry costs besides its data.
	entryOverhead = 32
)

// Replica is one replica of the log. Its exported fields are set before
// Start; zero values stand for defaults. It is used by one goroutine.
type Replica struct {
	// ID names this replica.
	ID ReplicaID
	// Seed makes the election timeouts of the replicas differ.
	Seed uint64
	// ElectionTicks is the shortest time without a leader before an election;
	// the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// MessageBytes bounds the data in a message.
	MessageBytes int
	// EntryBytes bounds the data of an entry.
	EntryBytes int
	// Window bounds the messages with entries in flight to a follower.
	Window int
	// UncommittedBytes bounds what the leader takes before it is committed.
	UncommittedBytes int
	// SnapshotBytes bounds a snapshot that is received.
	SnapshotBytes int
	// KeptEntries is how many entries stay behind a snapshot for followers
	// that are a little late.
	KeptEntries int

	random    *rand.Rand
	hardState HardState
	saved     HardState
	role      Role
	leader    ReplicaID
	history   memberships
	log       entryLog
	snapshot  Snapshot

	elapsed int
	timeout int
	votes   map[ReplicaID]bool
	// voteSaved says that the vote for itself is on disk.
	voteSaved bool

	leading  leading
	incoming incoming
	forwards []forward
	output   Output
	taken    bool
	removed  bool
	fault    error
}

// Start sets the replica up with what was found on its disk. A replica that is
// in no membership waits until a leader adds it.
func (replica *Replica) Start(restored Restored) error {
	if replica.ID == None {
		return errors.New("a replica needs an id")
	}
	replica.setDefaults()
	replica.random = rand.New(rand.NewPCG(replica.Seed, uint64(replica.ID)))
	replica.hardState = restored.HardState
	replica.saved = restored.HardState
	replica.snapshot = restored.Snapshot
	replica.history = memberships{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	replica.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	for _, entry := range restored.Entries {
		if entry.Index != replica.log.last()+1 {
			return errors.New("the restored entries do not follow on the snapshot")
		}
		replica.log.append(entry)
		if err := replica.noteMembership(entry); err != nil {
			return err
		}
	}
	replica.log.stable = replica.log.last()
	replica.becomeFollower(replica.hardState.Term, None)
	replica.timeout = min(replica.timeout, replica.firstTimeout())
	return nil
}

// firstTimeout is the time without a leader before the first election after a
// start. It is shorter than later ones, so that a group that starts as a whole
// has a leader soon: a pre-vote does not disturb a leader that others hear. The
// voters take turns, so that they do not split the votes.
func (replica *Replica) firstTimeout() int {
	turn := 0
	for _, member := range replica.membership().Members {
		if !member.Learner && member.ID < replica.ID {
			turn++
		}
	}
	return firstTicks + turn*turnTicks
}

func (replica *Replica) setDefaults() {
	setDefault(&replica.ElectionTicks, defaultElectionTicks)
	setDefault(&replica.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&replica.MessageBytes, defaultMessageBytes)
	setDefault(&replica.EntryBytes, defaultEntryBytes)
	setDefault(&replica.Window, defaultWindow)
	setDefault(&replica.UncommittedBytes, defaultUncommittedBytes)
	setDefault(&replica.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&replica.KeptEntries, defaultKeptEntries)
}

func setDefault(value *int, otherwise int) {
	if *value == 0 {
		*value = otherwise
	}
}

// Status tells where the replica stands.
func (replica *Replica) Status() Status {
	return Status{
		ID:              replica.ID,
		Role:            replica.role,
		Term:            replica.hardState.Term,
		Leader:          replica.leader,
		Commit:          replica.log.commit,
		Last:            replica.log.last(),
		Snapshot:        replica.snapshot.Index,
		Membership:      replica.membership(),
		Committed:       replica.committedMembership(),
		MembershipIndex: replica.history.latest().index,
		Removed:         replica.removed || replica.committedMembership().IsRemoved(replica.ID),
	}
}

// HardState gives what the replica has promised, stored or not.
func (replica *Replica) HardState() HardState {
	return replica.hardState
}

func (replica *Replica) membership() Membership {
	return replica.history.latest().membership
}

func (replica *Replica) committedMembership() Membership {
	return replica.history.at(replica.log.commit)
}

func (replica *Replica) noteMembership(entry Entry) error {
	if entry.Kind != MembershipEntry {
		return nil
	}
	membership, err := unmarshalMembership(entry.Data)
	if err != nil {
		return err
	}
	replica.history = append(replica.history[:len(replica.history):len(replica.history)], membershipAt{entry.Index, membership})
	return nil
}

// Tick tells the replica that one tick has passed.
func (replica *Replica) Tick() {
	replica.elapsed++
	if replica.role == Leader {
		replica.tickLeader()
		return
	}
	if replica.elapsed >= replica.timeout && replica.mayCampaign() {
		replica.campaign(preVote)
	}
}

// Step gives the replica a message from another one.
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
	if term > replica.hardState.Term && !replica.followTerm(from, term, message) {
		return
	}
	if term < replica.hardState.Term {
		replica.answerOldTerm(from, message)
		return
	}
	replica.stepInTerm(from, message)
}

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
		replica.removed = true
	}
}

// followTerm moves to a newer term where the message asks for it. It tells
// whether the message is still to be handled.
func (replica *Replica) followTerm(from ReplicaID, term Term, message *quorumpb.Message) bool {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_VoteRequest:
		if replica.hearsLeader() && !body.VoteRequest.GetTransfer() {
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

// answerOldTerm tells a leader or candidate of an earlier term about this one.
func (replica *Replica) answerOldTerm(from ReplicaID, message *quorumpb.Message) {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_Append, *quorumpb.Message_Chunk:
		replica.acknowledge(from, &quorumpb.Message{Body: &quorumpb.Message_AppendResult{AppendResult: &quorumpb.AppendResult{Refused: true}}})
	case *quorumpb.Message_VoteRequest:
		replica.acknowledgeVote(from, replica.hardState.Term, body.VoteRequest.GetPre(), false)
	}
}

func (replica *Replica) stepInTerm(from ReplicaID, message *quorumpb.Message) {
	switch body := message.GetBody().(type) {
	case *quorumpb.Message_VoteRequest:
		replica.stepVoteRequest(from, body.VoteRequest)
	case *quorumpb.Message_VoteResult:
		replica.stepVoteResult(from, body.VoteResult)
	case *quorumpb.Message_Append:
		replica.hear(from)
		replica.stepAppend(from, body.Append)
	case *quorumpb.Message_Chunk:
		replica.hear(from)
		replica.stepChunk(from, body.Chunk)
	case *quorumpb.Message_AppendResult:
		replica.stepAppendResult(from, body.AppendResult)
	case *quorumpb.Message_ChunkResult:
		replica.stepChunkResult(from, body.ChunkResult)
	case *quorumpb.Message_TakeOver:
		if from == replica.leader && replica.mayCampaign() {
			replica.campaign(transfer)
		}
	}
}

// hear notes a sign of life of the leader of this term.
func (replica *Replica) hear(from ReplicaID) {
	if replica.role != Follower {
		replica.becomeFollower(replica.hardState.Term, from)
	}
	replica.leader = from
	replica.elapsed = 0
}

func (replica *Replica) becomeFollower(term Term, leader ReplicaID) {
	replica.failRequests()
	if term > replica.hardState.Term {
		replica.hardState = HardState{Term: term}
	}
	replica.role = Follower
	replica.leader = leader
	replica.votes = nil
	replica.leading = leading{}
	replica.resetTimeout()
}

func (replica *Replica) resetTimeout() {
	replica.elapsed = 0
	replica.timeout = replica.ElectionTicks + replica.random.IntN(replica.ElectionTicks)
}
