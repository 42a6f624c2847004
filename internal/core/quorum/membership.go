package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Member is one replica of the log. A learner receives entries and does not
// count for a majority.
type Member struct {
	ID            ReplicaID
	Learner       bool
	Address       string
	FailureDomain string
	// Node names the node of the replica's host.
	Node string
}

// Membership is the set of replicas, ordered by id. It is not changed once it
// is in use.
type Membership struct {
	Members []Member
	Removed []ReplicaID
}

// Find gives the member of an id.
func (membership Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter tells whether the id counts for a majority.
func (membership Membership) IsVoter(id ReplicaID) bool {
	member, ok := membership.Find(id)
	return ok && !member.Learner
}

// IsRemoved tells whether the id was a member and is one no more.
func (membership Membership) IsRemoved(id ReplicaID) bool {
	return slices.Contains(membership.Removed, id)
}

// Voters counts the members that count for a majority.
func (membership Membership) Voters() int {
	count := 0
	for _, member := range membership.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// Majority is the least number of voters that is more than half of them.
func (membership Membership) Majority() int {
	return membership.Voters()/2 + 1
}

// ChangeKind names a change of members.
type ChangeKind uint8

// The changes of members.
const (
	// AddLearner adds a replica that does not vote yet.
	AddLearner ChangeKind = iota
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a member; its id is never used again.
	Remove
	// Move changes a member's address and failure domain.
	Move
)

// String gives the name of the change.
func (kind ChangeKind) String() string {
	switch kind {
	case AddLearner:
		return "addition"
	case Promote:
		return "promotion"
	case Remove:
		return "removal"
	case Move:
		return "move"
	}
	return "invalid change"
}

// Change is a change of one member.
type Change struct {
	Kind   ChangeKind
	Member Member
}

func (membership Membership) with(change Change) (Membership, error) {
	id := change.Member.ID
	at := slices.IndexFunc(membership.Members, func(member Member) bool { return member.ID == id })
	if change.Kind == AddLearner {
		return membership.withLearner(change.Member, at)
	}
	if at < 0 {
		return Membership{}, ErrNotMember
	}
	next := Membership{
		Members: slices.Clone(membership.Members),
		Removed: slices.Clone(membership.Removed),
	}
	switch change.Kind {
	case Promote:
		next.Members[at].Learner = false
	case Move:
		next.Members[at].Address = change.Member.Address
		next.Members[at].FailureDomain = change.Member.FailureDomain
	case Remove:
		next.Members = slices.Delete(next.Members, at, at+1)
		next.Removed = append(next.Removed, id)
		if next.Voters() == 0 {
			return Membership{}, ErrLastVoter
		}
	}
	return next, nil
}

func (membership Membership) withLearner(member Member, at int) (Membership, error) {
	if at >= 0 {
		return Membership{}, ErrMember
	}
	if member.ID == None || membership.IsRemoved(member.ID) {
		return Membership{}, ErrIDUsed
	}
	member.Learner = true
	next := Membership{
		Members: append(slices.Clone(membership.Members), member),
		Removed: membership.Removed,
	}
	slices.SortFunc(next.Members, byID)
	return next, nil
}

func byID(left, right Member) int {
	if left.ID < right.ID {
		return -1
	}
	return 1
}

// EncodeMembership gives the wire form of a membership.
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

// DecodeMembership reads the wire form of a membership.
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
	slices.SortFunc(membership.Members, byID)
	return membership
}

// Form gives what each of the first members of a new log stores before its
// first start. It is done once for a log; a replica that lost its disk is
// added as a learner instead.
func Form(members []Member) (Restored, error) {
	membership := Membership{Members: slices.Clone(members)}
	slices.SortFunc(membership.Members, byID)
	data, err := marshalMembership(membership)
	if err != nil {
		return Restored{}, err
	}
	first := Entry{Index: 1, Term: 1, Kind: MembershipEntry, Data: data}
	return Restored{HardState: HardState{Term: 1}, Entries: []Entry{first}}, nil
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

// membershipAt is a membership with the index of the entry that brought it.
type membershipAt struct {
	index      Index
	membership Membership
}

// memberships are those of the snapshot and of the entries after it. The last
// one is in force; it may be taken back while it is not committed.
type memberships []membershipAt

func (history memberships) latest() membershipAt {
	return history[len(history)-1]
}

func (history memberships) at(index Index) Membership {
	for at := len(history) - 1; at > 0; at-- {
		if history[at].index <= index {
			return history[at].membership
		}
	}
	return history[0].membership
}

// votedSince tells whether a replica is a voter in the membership at index or
// in a later one.
func (history memberships) votedSince(index Index, id ReplicaID) bool {
	for at := len(history) - 1; at >= 0; at-- {
		if history[at].membership.IsVoter(id) {
			return true
		}
		if history[at].index <= index {
			return false
		}
	}
	return false
}

func (history memberships) truncated(after Index) memberships {
	kept := len(history)
	for kept > 1 && history[kept-1].index > after {
		kept--
	}
	return history[:kept]
}

func (history memberships) compacted(to Index) memberships {
	first := 0
	for first+1 < len(history) && history[first+1].index <= to {
		first++
	}
	return slices.Clone(history[first:])
}
