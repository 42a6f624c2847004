package quorum

import "errors"

// ReplicaID names one replica and its disk. It is never used again.
type ReplicaID uint64

// None is the id of no replica.
const None ReplicaID = 0

// Index is the place of an entry in the log, from one.
type Index uint64

// Term numbers the leaders.
type Term uint64

// RequestID names a read or a forwarded proposal. It must differ from all
// earlier ones of the same replica, also across restarts.
type RequestID uint64

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	CommandEntry EntryKind = iota
	MembershipEntry
	EmptyEntry
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica has promised and must find again after a
// restart.
type HardState struct {
	Term Term
	Vote ReplicaID
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// Restored is what a replica finds on its disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow on each other; the first follows on the snapshot.
	Entries []Entry
}

// Role is the part that a replica plays.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String gives the role's name.
func (role Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[role]
}

// Status tells where a replica stands.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       Term
	Leader     ReplicaID
	Commit     Index
	Last       Index
	Snapshot   Index
	Membership Membership
	// Committed is the membership that is certain to stand.
	Committed Membership
	// MembershipIndex is the entry that brought the membership; after Commit
	// the change is not committed yet.
	MembershipIndex Index
	// Removed says that the replica's id was removed from the members.
	Removed bool
}

// ReadResult answers [Replica.Read]. A granted read is linearizable once the
// entries up to Index are applied.
type ReadResult struct {
	Request RequestID
	Index   Index
	Granted bool
}

// ProposalResult answers [Replica.Forward]. A nil error says that the leader
// appended the command, and not that it is committed.
type ProposalResult struct {
	Request RequestID
	Err     error
}

// Refusals of proposals; a command that was refused is in no log.
var (
	ErrNotLeader     = errors.New("this replica is not the leader: send the command to the leader")
	ErrNoLeader      = errors.New("no leader is known: try again after an election")
	ErrBusy          = errors.New("too many commands wait for a quorum: try again later")
	ErrTransferring  = errors.New("the lead is being handed over: try again soon")
	ErrTooLarge      = errors.New("the command is larger than an entry may be")
	ErrChangePending = errors.New("another change of members is not committed yet: try again later")
	ErrNotCaughtUp   = errors.New("the learner has not caught up yet: try again later")
	ErrNotMember     = errors.New("the replica is not a member")
	ErrMember        = errors.New("the replica is a member already")
	ErrIDUsed        = errors.New("the replica id was removed and is never used again: start the host with an empty data folder")
	ErrLastVoter     = errors.New("the last voter cannot be removed")
)

// ErrDiverged says that this replica holds another committed entry than its
// leader; it must stop.
var ErrDiverged = errors.New("a committed entry differs from the leader's: stop this replica and replace it under a new id")
