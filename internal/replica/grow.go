package replica

import (
	"errors"
	"maps"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	// silentTicks is how long a member must be silent before another host of
	// its failure domain takes its place: six election timeouts, so that a
	// change of leader or a short cut moves nobody.
	silentTicks = 60
	// quietTicks outlasts a message on its way and several heartbeats: who was not
	// heard for as long does not speak at the moment.
	quietTicks = 30
	// joinerTicks is how long the question of a host that wants to join counts.
	joinerTicks = 30
	// mostVoters bounds the group: each further voter makes every commit wait
	// for one more disk.
	mostVoters = 9
)

// growth is what a leader knows of the hosts that hold replicas or want to.
type growth struct {
	ticks int
	// ledSince is the tick at which this replica began to lead.
	ledSince int
	leads    bool
	heard    map[quorum.ReplicaID]int
	joiners  map[quorum.ReplicaID]joiner
	// met are addresses of replicas that were named in answers.
	met []string
}

// joiner is a host without a log that asked to be let in.
type joiner struct {
	member quorum.Member
	at     int
}

// NeededVoters is how many replicas must vote before anything is recorded, so
// that what was recorded outlasts the loss of LostDisks disks.
func (replica *Replica[M]) NeededVoters() int {
	if !replica.FormsFromSeeds {
		return 1
	}
	return 2*replica.LostDisks + 1
}

func (replica *Replica[M]) hear(from quorum.ReplicaID) {
	if replica.growth.heard == nil {
		replica.growth.heard = make(map[quorum.ReplicaID]int)
	}
	replica.growth.heard[from] = replica.growth.ticks
}

// noteJoiner remembers a host that asks whether there is a log.
func (replica *Replica[M]) noteJoiner(message *quorumpb.Message, greeting *quorumpb.Greeting) {
	if !replica.FormsFromSeeds || greeting.GetFormed() {
		return
	}
	if replica.growth.joiners == nil {
		replica.growth.joiners = make(map[quorum.ReplicaID]joiner)
	}
	member := memberOf(message, greeting)
	replica.growth.joiners[member.ID] = joiner{member: member, at: replica.growth.ticks}
}

func memberOf(message *quorumpb.Message, greeting *quorumpb.Greeting) quorum.Member {
	return quorum.Member{
		ID:            quorum.ReplicaID(message.GetFrom()),
		Address:       message.GetSenderAddress(),
		FailureDomain: greeting.GetFailureDomain(),
		Node:          greeting.GetNode(),
	}
}

// grow lets a leader take in new hosts and take out lost ones, one change at a
// time: the log refuses a change while another is under way.
func (replica *Replica[M]) grow() {
	replica.growth.ticks++
	if !replica.FormsFromSeeds {
		return
	}
	status := replica.core.Status()
	if leads := status.Role == quorum.Leader; leads != replica.growth.leads {
		replica.growth.leads = leads
		replica.growth.ledSince = replica.growth.ticks
	}
	if !replica.growth.leads {
		return
	}
	change, due := replica.nextChange(status.Membership)
	if !due {
		return
	}
	_, _, err := replica.core.ProposeChange(change)
	switch {
	case err == nil:
		replica.info("%s of %d at %s", change.Kind, change.Member.ID, change.Member.Address)
	case !errors.Is(err, quorum.ErrNotCaughtUp) && !errors.Is(err, quorum.ErrChangePending):
		replica.info("%s of %d at %s was refused: %v", change.Kind, change.Member.ID, change.Member.Address, err)
	}
}

// nextChange gives the change that is due. A host that lost its disk is taken
// in under its new id before its old id is removed, so that the group is never
// smaller than it was.
func (replica *Replica[M]) nextChange(membership quorum.Membership) (quorum.MembershipChange, bool) {
	for _, member := range membership.Members {
		if member.Learner && replica.silence(member.ID) < joinerTicks {
			return quorum.MembershipChange{Kind: quorum.Promote, Member: member}, true
		}
	}
	for _, member := range membership.Members {
		if replica.replaced(membership, member) {
			return quorum.MembershipChange{Kind: quorum.Remove, Member: member}, true
		}
	}
	for _, asked := range replica.waitingJoiners(membership) {
		return quorum.MembershipChange{Kind: quorum.AddLearner, Member: asked}, true
	}
	return quorum.MembershipChange{}, false
}

// silence is for how many ticks nothing was heard of a member, counted from the
// time at which this replica began to lead.
func (replica *Replica[M]) silence(id quorum.ReplicaID) int {
	if id == replica.core.ID {
		return 0
	}
	return replica.growth.ticks - max(replica.growth.heard[id], replica.growth.ledSince)
}

// replaced tells whether another voter stands in the place of a member: one at
// the same address, which shows that the member's disk is gone, or one of the
// same failure domain while the member is silent. Of two ids at one address the
// one that was not heard for a while goes, and not the one that was heard a
// little earlier: a message of a lost disk may come late.
func (replica *Replica[M]) replaced(membership quorum.Membership, member quorum.Member) bool {
	if member.ID == replica.core.ID {
		return false
	}
	for _, other := range membership.Members {
		if other.ID == member.ID || other.Learner {
			continue
		}
		lively := replica.silence(other.ID) < quietTicks
		if other.Address == member.Address && lively && replica.silence(member.ID) >= quietTicks {
			return true
		}
		silent := lively && replica.silence(member.ID) >= silentTicks
		if silent && other.FailureDomain == member.FailureDomain && membership.VoterCount() > replica.NeededVoters() {
			return true
		}
	}
	return member.Learner && replica.silence(member.ID) >= silentTicks
}

// waitingJoiners gives the hosts that asked lately and are not in the group,
// those that lost a member's disk first, in the order of their ids.
func (replica *Replica[M]) waitingJoiners(membership quorum.Membership) []quorum.Member {
	var back, fresh []quorum.Member
	for _, id := range slices.Sorted(maps.Keys(replica.growth.joiners)) {
		asked := replica.growth.joiners[id]
		_, known := membership.Find(id)
		if known || membership.IsRemoved(id) || replica.growth.ticks-asked.at > joinerTicks {
			delete(replica.growth.joiners, id)
			continue
		}
		before := slices.ContainsFunc(membership.Members, func(member quorum.Member) bool { return member.Address == asked.member.Address })
		switch {
		case before:
			back = append(back, asked.member)
		case membership.VoterCount() < mostVoters, replica.standsIn(membership, asked.member):
			fresh = append(fresh, asked.member)
		}
	}
	return append(back, fresh...)
}

// standsIn tells whether a host that asks to join comes in the place of a member
// of its failure domain that fell silent. The full group takes it in, since the
// silent one leaves once it votes.
func (replica *Replica[M]) standsIn(membership quorum.Membership, asked quorum.Member) bool {
	return membership.VoterCount() == mostVoters && slices.ContainsFunc(membership.Members, func(member quorum.Member) bool {
		return member.FailureDomain == asked.FailureDomain && replica.silence(member.ID) >= silentTicks
	})
}

// meet notes the replicas that an answer names, and asks those that are new.
func (replica *Replica[M]) meet(members []*quorumpb.Member) {
	for _, member := range members {
		address := member.GetAddress()
		if address == replica.Address || slices.Contains(replica.growth.met, address) {
			continue
		}
		replica.growth.met = append(replica.growth.met, address)
		replica.sendGreeting(address, true, replica.forming.round)
	}
}

// greeted gives the addresses that a replica without a log asks.
func (replica *Replica[M]) greeted() []string {
	if !replica.FormsFromSeeds || replica.Seeds == nil {
		return replica.Peers
	}
	addresses := slices.Clone(replica.Seeds())
	for _, address := range replica.growth.met {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// mayForm tells whether this replica may be one of the first.
func (replica *Replica[M]) mayForm() bool {
	if !replica.FormsFromSeeds {
		return true
	}
	return replica.FirstStart && slices.Contains(replica.Peers, replica.Address)
}
