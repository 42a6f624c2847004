package quorum

import "errors"

// ReplicaID identifies a replica together with its disk. It is never reused,
// not even after the disk is lost.
type ReplicaID uint64

// None is the zero ReplicaID; it identifies no replica.
const None ReplicaID = 0

// Index is the position of an entry in the log; the first entry has index 1.
type Index uint64

// Term is a Raft term; each term has at most one leader.
type Term uint64

// RequestID identifies a read or a forwarded proposal. It must be unique among
// all requests of the replica, including those before a restart.
type RequestID uint64

// EntryKind is the kind of a log entry's data.
type EntryKind uint8

// The kinds of entries, with the values of the wire format.
const (
	// CommandEntry holds a command of the replicated state machine.
	CommandEntry EntryKind = iota
	// MembershipEntry holds an encoded [Membership].
	MembershipEntry
	// EmptyEntry holds nothing; a new leader commits one in its own term.
	EmptyEntry
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState holds the term and the vote that must survive a restart. The
// replica sends no message that depends on them before they are synced.
type HardState struct {
	Term Term
	Vote ReplicaID
}

// Snapshot replaces the entries up to and including Index. Term is that of the
// entry at Index, and Data the encoded state machine.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// PersistentState is the persistent state that a replica starts from.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries have consecutive indexes; the first is Snapshot.Index + 1.
	Entries []Entry
}

// Role is the Raft role of a replica.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (role Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[role]
}

// Status describes the current state of a replica.
type Status struct {
	ID   ReplicaID
	Role Role
	Term Term
	// Leader is [None] while no leader is known.
	Leader ReplicaID
	// CommitIndex is the index of the last entry known to be committed.
	CommitIndex Index
	// LastIndex is the index of the last entry of the log.
	LastIndex Index
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex Index
	// Membership is the latest membership in the log, which is the one in
	// effect even while it is uncommitted.
	Membership Membership
	// CommittedMembership is the latest committed membership.
	CommittedMembership Membership
	// MembershipIndex is the index of the entry that holds Membership. A value
	// above CommitIndex means that the change is not committed yet.
	MembershipIndex Index
	// Removed reports whether the replica's id was removed from the membership.
	Removed bool
}

// ReadResult is the result of [Replica.ReadIndex]. A granted read is linearizable
// once the entries up to Index are applied.
type ReadResult struct {
	Request RequestID
	Index   Index
	Granted bool
}

// ProposalResult is the result of [Replica.Forward]. A nil error means that the
// leader appended the command, not that the command is committed.
type ProposalResult struct {
	Request RequestID
	Err     error
}

// Errors of refused requests. A command that is refused with one of them was
// not appended to any log.
var (
	ErrNotLeader          = errors.New("this replica is not the leader: send the command to the leader")
	ErrNoLeader           = errors.New("no leader is known: try again after an election")
	ErrBusy               = errors.New("too many uncommitted bytes in the leader's log: try again later")
	ErrLeadershipTransfer = errors.New("leadership is being transferred: try again soon")
	ErrTooLarge           = errors.New("the command exceeds the size limit of a log entry")
	ErrChangePending      = errors.New("another membership change is not committed yet: try again later")
	ErrUnsafeChange       = errors.New("a majority before the changes and one after them may have no voter in common: make one change at a time")
	ErrNotCaughtUp        = errors.New("the learner has not caught up yet: try again later")
	ErrNotMember          = errors.New("the replica is not a member")
	ErrAlreadyMember      = errors.New("the replica is already a member")
	ErrIDUsed             = errors.New("the replica id was removed and cannot be reused: start the host with an empty data folder")
	ErrLastVoter          = errors.New("the last voter cannot be removed")
)

// ErrDiverged reports that a committed entry of this replica differs from the
// leader's entry at the same index. The replica must stop.
var ErrDiverged = errors.New("a committed entry differs from the leader's: stop this replica and replace it under a new id")
