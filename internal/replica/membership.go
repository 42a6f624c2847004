package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

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
	// lostDiskTicks is how long a member must be silent before a host with an empty
	// disk at the same address replaces it: five heartbeats. The empty disk already
	// shows that the other one is gone.
	lostDiskTicks = 10
	// joinRequestTicks is how long a request to join is valid.
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

// manageMembership lets the leader add new hosts and remove lost ones, one entry at a
// time: the log refuses a change while another is pending.
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
	changes := replica.nextChanges(status.Membership)
	if len(changes) == 0 {
		return
	}
	replica.refreshSnapshot(changes)
	_, _, err := replica.core.ProposeChange(changes...)
	if err != nil {
		replica.membership.waiting = fmt.Sprintf("%s: %v", describeChanges(changes), err)
	}
	switch {
	case err == nil:
		replica.logInfo("proposed change of members: %s", describeChanges(changes))
	case !errors.Is(err, quorum.ErrNotCaughtUp) && !errors.Is(err, quorum.ErrChangePending):
		replica.logInfo("change of members refused: %s: %v", describeChanges(changes), err)
	}
}

func describeChanges(changes []quorum.MembershipChange) string {
	var parts []string
	for _, change := range changes {
		parts = append(parts, fmt.Sprintf("%s of replica %d at %s", change.Kind, change.Member.ID, change.Member.Address))
	}
	return strings.Join(parts, ", ")
}

// nextChanges gives the changes to make with the next entry. All hosts that ask are added
// as learners at once, so that they catch up side by side. A voter whose disk is lost
// leaves when the learner at its address has caught up, and not after that votes: no lost
// disk adds to the votes that are needed, also if the same host loses its disk again.
func (replica *Replica[M]) nextChanges(membership quorum.Membership) []quorum.MembershipChange {
	var changes []quorum.MembershipChange
	for _, joiner := range replica.pendingJoiners(membership) {
		changes = append(changes, quorum.MembershipChange{Kind: quorum.AddLearner, Member: joiner})
	}
	if len(changes) > 0 {
		return changes
	}
	if changes = replica.nextExchange(membership); len(changes) > 0 {
		return changes
	}
	for _, member := range membership.Members {
		if _, replaces := voterAt(membership, member.Address); !replaces && replica.isReady(member) {
			return []quorum.MembershipChange{{Kind: quorum.Promote, Member: member}}
		}
	}
	for _, member := range membership.Members {
		if replica.isReplaced(membership, member) {
			return []quorum.MembershipChange{{Kind: quorum.Remove, Member: member}}
		}
	}
	return nil
}

// nextExchange puts a learner that is ready in the place of the voter whose disk it
// replaces. Where one entry may not do both, the voter is removed first.
func (replica *Replica[M]) nextExchange(membership quorum.Membership) []quorum.MembershipChange {
	for _, member := range membership.Members {
		lost, replaces := voterAt(membership, member.Address)
		if !replaces || !replica.isReady(member) {
			continue
		}
		if replica.silentFor(lost.ID) < lostDiskTicks {
			replica.membership.waiting = fmt.Sprintf("promotion of replica %d at %s: replica %d at the same address was heard lately", member.ID, member.Address, lost.ID)
			continue
		}
		removal := quorum.MembershipChange{Kind: quorum.Remove, Member: lost}
		if membership.VoterCount()%2 == 1 {
			return []quorum.MembershipChange{removal}
		}
		return []quorum.MembershipChange{removal, {Kind: quorum.Promote, Member: member}}
	}
	return nil
}

// isReady reports whether a member is a learner that may vote now.
func (replica *Replica[M]) isReady(member quorum.Member) bool {
	return member.Learner && replica.silentFor(member.ID) < lostDiskTicks && replica.core.IsCaughtUp(member.ID)
}

// voterAt gives the voter at an address.
func voterAt(membership quorum.Membership, address string) (quorum.Member, bool) {
	index := slices.IndexFunc(membership.Members, func(member quorum.Member) bool {
		return !member.Learner && member.Address == address
	})
	if index < 0 {
		return quorum.Member{}, false
	}
	return membership.Members[index], true
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
// been silent for lostDiskTicks is removed. Which of them was heard last does not
// decide, since a message of the lost disk may arrive late.
func (replica *Replica[M]) isReplaced(membership quorum.Membership, member quorum.Member) bool {
	if member.ID == replica.core.ID {
		return false
	}
	for _, other := range membership.Members {
		if other.ID == member.ID || other.Learner {
			continue
		}
		responsive := replica.silentFor(other.ID) < lostDiskTicks
		if other.Address == member.Address && responsive && replica.silentFor(member.ID) >= lostDiskTicks {
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
		case len(membership.Members)+len(joining) < maxVoters, replica.replacesLostMember(membership, joining, joiner.member):
			joining = append(joining, joiner.member)
		}
	}
	return append(returning, joining...)
}

// replacesLostMember reports whether a host that asks to join would replace a silent
// member of its failure domain that no other learner or joiner there replaces. Such a host
// is added even if the group is full, since the silent member is removed when the new one
// votes.
func (replica *Replica[M]) replacesLostMember(membership quorum.Membership, joining []quorum.Member, joiner quorum.Member) bool {
	lost, replacing := 0, 0
	for _, member := range membership.Members {
		switch {
		case member.FailureDomain != joiner.FailureDomain:
		case member.Learner:
			replacing++
		case replica.silentFor(member.ID) >= lostMemberTicks:
			lost++
		}
	}
	for _, other := range joining {
		if other.FailureDomain == joiner.FailureDomain {
			replacing++
		}
	}
	return membership.VoterCount() <= maxVoters && lost > replacing
}

// askNamedReplicas asks the replicas that an answer names, each once.
func (replica *Replica[M]) askNamedReplicas(members []*quorumpb.Member) {
	for _, member := range members {
		replica.askNamedReplica(member.GetAddress())
	}
}

func (replica *Replica[M]) askNamedReplica(address string) {
	if address == "" || address == replica.Address || slices.Contains(replica.membership.namedAddresses, address) {
		return
	}
	replica.membership.namedAddresses = append(replica.membership.namedAddresses, address)
	if replica.bootstrap.round > 0 {
		replica.sendGreeting(address, true, replica.bootstrap.round)
	}
}

// askSenderForLostID asks the sender of a message to another id whether it has a log. Such
// a message is meant for the disk that this host has lost, so it shows a member of the
// group even if no seed does.
func (replica *Replica[M]) askSenderForLostID(message *quorumpb.Message) {
	to := quorum.ReplicaID(message.GetTo())
	if replica.FormsFromSeeds && !replica.hasLog() && to != quorum.None && to != replica.core.ID {
		replica.askNamedReplica(message.GetSenderAddress())
	}
}

// questionAddresses gives the addresses that a replica without a log asks.
func (replica *Replica[M]) questionAddresses() []string {
	if !replica.FormsFromSeeds {
		return replica.Peers
	}
	addresses := slices.Clone(replica.Peers)
	if replica.Seeds != nil {
		addresses = slices.Clone(replica.Seeds())
	}
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
