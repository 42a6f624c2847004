package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Member is one replica of the group. A learner receives entries but has no
// vote and does not count toward a majority.
type Member struct {
	ID            ReplicaID
	Learner       bool
	Address       string
	FailureDomain string
	// Node is the id of the node on the replica's host.
	Node string
}

// Membership is the set of replicas in the group. It is immutable once it is in
// use.
type Membership struct {
	// Members are ordered by id.
	Members []Member
	// Removed are the ids of all former members, which cannot be reused.
	Removed []ReplicaID
}

// Find returns the member with the given id.
func (membership Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the id is a member that counts toward a majority.
func (membership Membership) IsVoter(id ReplicaID) bool {
	member, ok := membership.Find(id)
	return ok && !member.Learner
}

// IsRemoved reports whether the id is that of a former member.
func (membership Membership) IsRemoved(id ReplicaID) bool {
	return slices.Contains(membership.Removed, id)
}

// VoterCount returns the number of members that count toward a majority.
func (membership Membership) VoterCount() int {
	count := 0
	for _, member := range membership.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// Majority returns the smallest number of voters that is more than half of them.
func (membership Membership) Majority() int {
	return membership.VoterCount()/2 + 1
}

// QuorumsMeet reports whether every majority of this membership has a voter in common
// with every majority of the next one, so that one entry may lead from one to the other.
func (membership Membership) QuorumsMeet(next Membership) bool {
	common := 0
	for _, member := range membership.Members {
		if !member.Learner && next.IsVoter(member.ID) {
			common++
		}
	}
	left := membership.VoterCount() - common
	joined := next.VoterCount() - common
	return membership.Majority()-left+next.Majority()-joined > common
}

// MembershipChangeKind is the kind of a membership change.
type MembershipChangeKind uint8

// The kinds of membership changes.
const (
	// AddLearner adds a replica as a learner.
	AddLearner MembershipChangeKind = iota
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a member. Its id can never be added again.
	Remove
	// Relocate changes a member's address and failure domain.
	Relocate
)

// String returns the change as a noun, such as "removal".
func (kind MembershipChangeKind) String() string {
	switch kind {
	case AddLearner:
		return "addition"
	case Promote:
		return "promotion"
	case Remove:
		return "removal"
	case Relocate:
		return "move"
	}
	return "invalid change"
}

// MembershipChange is a change of one member. Remove and Promote use only the
// member's id.
type MembershipChange struct {
	Kind   MembershipChangeKind
	Member Member
}

// withChange returns a copy of the membership to which the change was applied.
func (membership Membership) withChange(change MembershipChange) (Membership, error) {
	id := change.Member.ID
	position := slices.IndexFunc(membership.Members, func(member Member) bool { return member.ID == id })
	if change.Kind == AddLearner {
		return membership.withLearner(change.Member, position)
	}
	if position < 0 {
		return Membership{}, ErrNotMember
	}
	next := Membership{
		Members: slices.Clone(membership.Members),
		Removed: slices.Clone(membership.Removed),
	}
	switch change.Kind {
	case Promote:
		next.Members[position].Learner = false
	case Relocate:
		next.Members[position].Address = change.Member.Address
		next.Members[position].FailureDomain = change.Member.FailureDomain
	case Remove:
		next.Members = slices.Delete(next.Members, position, position+1)
		next.Removed = append(next.Removed, id)
		if next.VoterCount() == 0 {
			return Membership{}, ErrLastVoter
		}
	}
	return next, nil
}

func (membership Membership) withLearner(member Member, position int) (Membership, error) {
	if position >= 0 {
		return Membership{}, ErrAlreadyMember
	}
	if member.ID == None || membership.IsRemoved(member.ID) {
		return Membership{}, ErrIDUsed
	}
	member.Learner = true
	next := Membership{
		Members: append(slices.Clone(membership.Members), member),
		Removed: membership.Removed,
	}
	slices.SortFunc(next.Members, compareByID)
	return next, nil
}

func compareByID(left, right Member) int {
	if left.ID < right.ID {
		return -1
	}
	return 1
}

// EncodeMembership returns the protobuf form of a membership.
func EncodeMembership(membership Membership) *quorumpb.Membership {
	encoded := &quorumpb.Membership{}
	for _, member := range membership.Members {
		encoded.Members = append(encoded.Members, &quorumpb.Member{
			Id:            uint64(member.ID),
			Learner:       member.Learner,
			Address:       member.Address,
			FailureDomain: member.FailureDomain,
			Node:          member.Node,
		})
	}
	for _, id := range membership.Removed {
		encoded.Removed = append(encoded.Removed, uint64(id))
	}
	return encoded
}

// DecodeMembership decodes the protobuf form of a membership.
func DecodeMembership(encoded *quorumpb.Membership) Membership {
	var membership Membership
	for _, member := range encoded.GetMembers() {
		membership.Members = append(membership.Members, Member{
			ID:            ReplicaID(member.GetId()),
			Learner:       member.GetLearner(),
			Address:       member.GetAddress(),
			FailureDomain: member.GetFailureDomain(),
			Node:          member.GetNode(),
		})
	}
	for _, id := range encoded.GetRemoved() {
		membership.Removed = append(membership.Removed, ReplicaID(id))
	}
	slices.SortFunc(membership.Members, compareByID)
	return membership
}

// InitialState returns the initial persistent state of a new group. Each member
// stores the same state before its first start. This is done only once for a
// group; a replica that lost its disk is added as a learner instead.
func InitialState(members []Member) (PersistentState, error) {
	membership := Membership{Members: slices.Clone(members)}
	slices.SortFunc(membership.Members, compareByID)
	data, err := marshalMembership(membership)
	if err != nil {
		return PersistentState{}, err
	}
	first := Entry{Index: 1, Term: 1, Kind: MembershipEntry, Data: data}
	return PersistentState{HardState: HardState{Term: 1}, Entries: []Entry{first}}, nil
}

func marshalMembership(membership Membership) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(EncodeMembership(membership))
}

func unmarshalMembership(data []byte) (Membership, error) {
	encoded := &quorumpb.Membership{}
	if err := proto.Unmarshal(data, encoded); err != nil {
		return Membership{}, err
	}
	return DecodeMembership(encoded), nil
}

// indexedMembership is a membership with the index of the entry that holds it.
type indexedMembership struct {
	index      Index
	membership Membership
}

// membershipHistory holds the membership at the start of the log and those of
// the later entries, ordered by index. The last one is in effect. While it is
// not committed, it can be dropped again with its entry.
type membershipHistory []indexedMembership

func (history membershipHistory) latest() indexedMembership {
	return history[len(history)-1]
}

// at returns the membership that was in effect at an index.
func (history membershipHistory) at(index Index) Membership {
	for i := len(history) - 1; i > 0; i-- {
		if history[i].index <= index {
			return history[i].membership
		}
	}
	return history[0].membership
}

// isVoterSince reports whether a replica is a voter in the membership at an
// index or in a later one.
func (history membershipHistory) isVoterSince(index Index, id ReplicaID) bool {
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].membership.IsVoter(id) {
			return true
		}
		if history[i].index <= index {
			return false
		}
	}
	return false
}

// truncateAfter drops the memberships of entries after an index.
func (history membershipHistory) truncateAfter(after Index) membershipHistory {
	length := len(history)
	for length > 1 && history[length-1].index > after {
		length--
	}
	return history[:length]
}

// compactTo drops the memberships that no index from to on needs.
func (history membershipHistory) compactTo(to Index) membershipHistory {
	first := 0
	for first+1 < len(history) && history[first+1].index <= to {
		first++
	}
	return slices.Clone(history[first:])
}
