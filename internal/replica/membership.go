package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	// lostMemberTicks is how long a member must be silent before another host of
	// its failure domain replaces it: six election timeouts, so that a change of
	// leader or a short partition removes no member.
	lostMemberTicks = 60
	// unresponsiveTicks is longer than the delay of a message and several
	// heartbeats; a member that is silent for as long is not in contact now.
	unresponsiveTicks = 30
	// joinRequestTicks is how long a request to join is valid, and how long a
	// learner may be silent and still be promoted.
	joinRequestTicks = 30
	// maxVoters bounds the voters, since each further voter makes every commit wait
	// for one more disk.
	maxVoters = 9
)

// membershipState is what a leader knows of members and of hosts that want to join.
type membershipState struct {
	ticks int
	// leaderSince is the tick at which this replica became the leader.
	leaderSince int
	leading     bool
	lastHeard   map[quorum.ReplicaID]int
	joiners     map[quorum.ReplicaID]joiner
	// namedAddresses are the addresses of members that were named in answers.
	namedAddresses []string
	// waiting names the change that is due and what it waits for.
	waiting string
	// loggedGroup is the state of the group that was logged last.
	loggedGroup string
}

// joiner is a host without a log that asked to join.
type joiner struct {
	member  quorum.Member
	askedAt int
}

// NeededVoters is the number of voters before commands are recorded: enough for
// recorded commands to survive the loss of LostDisks disks.
func (replica *Replica[M]) NeededVoters() int {
	if !replica.FormsFromSeeds {
		return 1
	}
	return 2*replica.LostDisks + 1
}

func (replica *Replica[M]) recordHeard(from quorum.ReplicaID) {
	if replica.membership.lastHeard == nil {
		replica.membership.lastHeard = make(map[quorum.ReplicaID]int)
	}
	replica.membership.lastHeard[from] = replica.membership.ticks
}

// recordJoiner records a host without a log that asks whether there is one.
func (replica *Replica[M]) recordJoiner(message *quorumpb.Message, greeting *quorumpb.Greeting) {
	if !replica.FormsFromSeeds || greeting.GetFormed() {
		return
	}
	if replica.membership.joiners == nil {
		replica.membership.joiners = make(map[quorum.ReplicaID]joiner)
	}
	member := memberOf(message, greeting)
	replica.membership.joiners[member.ID] = joiner{member: member, askedAt: replica.membership.ticks}
}

func memberOf(message *quorumpb.Message, greeting *quorumpb.Greeting) quorum.Member {
	return quorum.Member{
		ID:            quorum.ReplicaID(message.GetFrom()),
		Address:       message.GetSenderAddress(),
		FailureDomain: greeting.GetFailureDomain(),
		Node:          greeting.GetNode(),
	}
}

// manageMembership lets the leader add new hosts and remove lost ones, one change at
// a time: the log refuses a change while another is pending.
func (replica *Replica[M]) manageMembership() {
	replica.membership.ticks++
	if !replica.FormsFromSeeds {
		return
	}
	status := replica.core.Status()
	if leads := status.Role == quorum.Leader; leads != replica.membership.leading {
		replica.membership.leading = leads
		replica.membership.leaderSince = replica.membership.ticks
	}
	replica.membership.waiting = ""
	if !replica.membership.leading {
		return
	}
	change, due := replica.nextChange(status.Membership)
	if !due {
		return
	}
	_, _, err := replica.core.ProposeChange(change)
	if err != nil {
		replica.membership.waiting = fmt.Sprintf("%s of replica %d at %s: %v", change.Kind, change.Member.ID, change.Member.Address, err)
	}
	switch {
	case err == nil:
		replica.logInfo("proposed change of members: %s of replica %d at %s", change.Kind, change.Member.ID, change.Member.Address)
	case !errors.Is(err, quorum.ErrNotCaughtUp) && !errors.Is(err, quorum.ErrChangePending):
		replica.logInfo("change of members refused: %s of replica %d at %s: %v", change.Kind, change.Member.ID, change.Member.Address, err)
	}
}

// nextChange gives the change to make next. A host that lost its disk is added
// under its new id before its old id is removed, so that the group does not shrink
// meanwhile.
func (replica *Replica[M]) nextChange(membership quorum.Membership) (quorum.MembershipChange, bool) {
	for _, member := range membership.Members {
		if member.Learner && replica.silentFor(member.ID) < joinRequestTicks {
			return quorum.MembershipChange{Kind: quorum.Promote, Member: member}, true
		}
	}
	for _, member := range membership.Members {
		if replica.isReplaced(membership, member) {
			return quorum.MembershipChange{Kind: quorum.Remove, Member: member}, true
		}
	}
	for _, joiner := range replica.pendingJoiners(membership) {
		return quorum.MembershipChange{Kind: quorum.AddLearner, Member: joiner}, true
	}
	return quorum.MembershipChange{}, false
}

// silentFor is the number of ticks since a member was last heard, or since this
// replica became the leader, if that is later.
func (replica *Replica[M]) silentFor(id quorum.ReplicaID) int {
	if id == replica.core.ID {
		return 0
	}
	return replica.membership.ticks - max(replica.membership.lastHeard[id], replica.membership.leaderSince)
}

// isReplaced reports whether another voter has replaced a member: one at the same
// address, which shows that the member's disk is lost, or one in the same failure
// domain while the member is silent. Of two ids at one address, the one that has
// been silent for unresponsiveTicks is removed. Which of them was heard last does
// not decide, since a message of the lost disk may arrive late.
func (replica *Replica[M]) isReplaced(membership quorum.Membership, member quorum.Member) bool {
	if member.ID == replica.core.ID {
		return false
	}
	for _, other := range membership.Members {
		if other.ID == member.ID || other.Learner {
			continue
		}
		responsive := replica.silentFor(other.ID) < unresponsiveTicks
		if other.Address == member.Address && responsive && replica.silentFor(member.ID) >= unresponsiveTicks {
			return true
		}
		silent := responsive && replica.silentFor(member.ID) >= lostMemberTicks
		if silent && other.FailureDomain == member.FailureDomain && membership.VoterCount() > replica.NeededVoters() {
			return true
		}
	}
	return member.Learner && replica.silentFor(member.ID) >= lostMemberTicks
}

// pendingJoiners gives the hosts outside the group that asked to join lately: those
// that return with a new disk first, each kind in the order of their ids.
func (replica *Replica[M]) pendingJoiners(membership quorum.Membership) []quorum.Member {
	var returning, joining []quorum.Member
	for _, id := range slices.Sorted(maps.Keys(replica.membership.joiners)) {
		joiner := replica.membership.joiners[id]
		_, known := membership.Find(id)
		if known || membership.IsRemoved(id) || replica.membership.ticks-joiner.askedAt > joinRequestTicks {
			delete(replica.membership.joiners, id)
			continue
		}
		returns := slices.ContainsFunc(membership.Members, func(member quorum.Member) bool { return member.Address == joiner.member.Address })
		switch {
		case returns:
			returning = append(returning, joiner.member)
		case membership.VoterCount() < maxVoters, replica.replacesLostMember(membership, joiner.member):
			joining = append(joining, joiner.member)
		}
	}
	return append(returning, joining...)
}

// replacesLostMember reports whether a host that asks to join would replace a silent
// member of its failure domain. Such a host is added even if the group is full,
// since the silent member is removed when the new one votes.
func (replica *Replica[M]) replacesLostMember(membership quorum.Membership, joiner quorum.Member) bool {
	return membership.VoterCount() == maxVoters && slices.ContainsFunc(membership.Members, func(member quorum.Member) bool {
		return member.FailureDomain == joiner.FailureDomain && replica.silentFor(member.ID) >= lostMemberTicks
	})
}

// askNamedReplicas asks the replicas that an answer names, each once.
func (replica *Replica[M]) askNamedReplicas(members []*quorumpb.Member) {
	for _, member := range members {
		address := member.GetAddress()
		if address == replica.Address || slices.Contains(replica.membership.namedAddresses, address) {
			continue
		}
		replica.membership.namedAddresses = append(replica.membership.namedAddresses, address)
		replica.sendGreeting(address, true, replica.bootstrap.round)
	}
}

// questionAddresses gives the addresses that a replica without a log asks.
func (replica *Replica[M]) questionAddresses() []string {
	if !replica.FormsFromSeeds || replica.Seeds == nil {
		return replica.Peers
	}
	addresses := slices.Clone(replica.Seeds())
	for _, address := range replica.membership.namedAddresses {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// mayBootstrap reports whether this replica may create the log.
func (replica *Replica[M]) mayBootstrap() bool {
	if !replica.FormsFromSeeds {
		return true
	}
	return replica.FirstStart && slices.Contains(replica.Peers, replica.Address)
}
