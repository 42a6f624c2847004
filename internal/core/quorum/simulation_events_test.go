package quorum_test

import (
	"encoding/binary"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// randomEvent runs one random event.
func (simulation *simulation) randomEvent() {
	kind := simulation.random.IntN(100)
	switch {
	case kind < 6:
		simulation.tickAndDeliver(simulation.random.IntN(3) == 0)
	case kind < 62:
		simulation.deliverRandom()
	case kind < 78:
		simulation.tick()
	default:
		simulation.hostEvent(simulation.hosts[simulation.random.IntN(len(simulation.hosts))], kind)
	}
}

func (simulation *simulation) hostEvent(host *host, kind int) {
	switch {
	case !host.up && !host.lost:
		if simulation.random.IntN(4) == 0 {
			simulation.start(host)
		}
	case kind < 87:
		simulation.propose(simulation.preferLeader(host))
	case kind < 91:
		simulation.read(simulation.preferLeader(host))
	case kind < 93:
		simulation.takeSnapshot(host)
	case kind < 97:
		simulation.changeMembership()
	case kind == 97 && simulation.random.IntN(2) == 0:
		simulation.queue = append(simulation.queue, simulation.delayed...)
		simulation.delayed = nil
	case kind == 97:
		simulation.blockLinks(simulation.preferLeader(host))
	case kind == 98:
		clear(simulation.blockedLinks)
	case simulation.random.IntN(2) == 0:
		simulation.loseDisk(host)
	case host.up:
		simulation.crash(host)
	}
	for _, host := range simulation.hosts {
		simulation.processOutput(host, true)
	}
}

// deliverRandom delivers a random message of the queue. Some messages are lost
// instead, and some stay in the queue to be delivered again.
func (simulation *simulation) deliverRandom() {
	if len(simulation.queue) == 0 {
		simulation.tick()
		return
	}
	position := simulation.random.IntN(len(simulation.queue))
	message := simulation.queue[position]
	fate := simulation.random.IntN(20)
	if fate != 0 {
		simulation.queue = slices.Delete(simulation.queue, position, position+1)
	}
	if fate != 1 {
		simulation.deliverMessage(message, true)
	}
}

func (simulation *simulation) deliverMessage(message *quorumpb.Message, faults bool) {
	target := simulation.hostByID(quorum.ReplicaID(message.GetTo()))
	cut := simulation.blockedLinks[link{quorum.ReplicaID(message.GetFrom()), target.id}]
	if !target.up || cut {
		return
	}
	target.replica.Step(message)
	simulation.processOutput(target, faults)
}

// preferLeader returns, half of the time, a host whose replica believes that it
// leads instead of the given one.
func (simulation *simulation) preferLeader(host *host) *host {
	if simulation.random.IntN(2) == 0 {
		return host
	}
	for _, other := range simulation.hosts {
		if other.up && other.replica.Status().Role == quorum.Leader {
			return other
		}
	}
	return host
}

func (simulation *simulation) hostByID(id quorum.ReplicaID) *host { return simulation.hosts[id-1] }

func (simulation *simulation) tick() {
	for _, host := range simulation.hosts {
		if host.up && simulation.random.IntN(8) != 0 {
			host.replica.Tick()
			simulation.processOutput(host, true)
		}
	}
}

func (simulation *simulation) propose(host *host) {
	if !host.up {
		return
	}
	simulation.lastRequest++
	command := binary.LittleEndian.AppendUint64(nil, simulation.lastRequest)
	index, term, err := host.replica.Propose(command)
	if err != nil {
		_ = host.replica.Forward(quorum.RequestID(simulation.lastRequest), command)
		return
	}
	host.proposedTerms[index] = term
}

func (simulation *simulation) read(host *host) {
	if !host.up {
		return
	}
	simulation.lastRequest++
	simulation.reads[quorum.RequestID(simulation.lastRequest)] = startedRead{simulation.minReadIndex, host}
	host.replica.ReadIndex(quorum.RequestID(simulation.lastRequest))
}

func (simulation *simulation) takeSnapshot(host *host) {
	if !host.up || host.pendingOutput != nil || host.state.applied <= host.disk.Snapshot.Index {
		return
	}
	snapshot, err := host.replica.MakeSnapshot(host.state.applied, host.state.encode())
	simulation.check(err == nil, "snapshot on %d: %v", host.id, err)
	host.disk.Snapshot = snapshot
	host.disk.Entries = slices.DeleteFunc(slices.Clone(host.disk.Entries), func(entry quorum.Entry) bool { return entry.Index <= snapshot.Index })
	host.replica.Compact(snapshot)
}

func (simulation *simulation) blockLinks(host *host) {
	direction := simulation.random.IntN(3)
	for _, other := range simulation.hosts {
		if direction != 0 {
			simulation.blockedLinks[link{host.id, other.id}] = true
		}
		if direction != 1 {
			simulation.blockedLinks[link{other.id, host.id}] = true
		}
	}
}

// changeMembership proposes an operator's next membership changes at every leader. A lost
// replica is replaced by a learner: in one entry, or else by a promotion and a removal in
// either order.
func (simulation *simulation) changeMembership() {
	for _, host := range simulation.hosts {
		if host.up && host.replica.Status().Role == quorum.Leader {
			_, _, _ = host.replica.ProposeChange(simulation.nextChanges()...)
			simulation.processOutput(host, true)
		}
	}
}

// nextChanges gives the next change, or several of which some together are not safe.
func (simulation *simulation) nextChanges() []quorum.MembershipChange {
	first := simulation.nextChange()
	if simulation.random.IntN(2) == 0 {
		return []quorum.MembershipChange{first}
	}
	members := simulation.model.members
	var changes []quorum.MembershipChange
	for _, member := range members.Members {
		switch {
		case member.Learner && !simulation.hostByID(member.ID).lost:
			changes = append(changes, quorum.MembershipChange{Kind: quorum.Promote, Member: member})
		case simulation.hostByID(member.ID).lost:
			changes = append(changes, quorum.MembershipChange{Kind: quorum.Remove, Member: member})
		}
	}
	if len(changes) == 0 {
		return []quorum.MembershipChange{first}
	}
	return changes
}

func (simulation *simulation) nextChange() quorum.MembershipChange {
	members := simulation.model.members
	for _, host := range simulation.hosts {
		member, in := members.Find(host.id)
		switch {
		case !host.lost && !in && !members.IsRemoved(host.id):
			return quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: host.id}}
		case !host.lost && in && member.Learner:
			return quorum.MembershipChange{Kind: quorum.Promote, Member: member}
		}
	}
	for _, member := range members.Members {
		if simulation.hostByID(member.ID).lost {
			return quorum.MembershipChange{Kind: quorum.Remove, Member: member}
		}
	}
	return quorum.MembershipChange{Kind: quorum.Remove, Member: members.Members[simulation.random.IntN(len(members.Members))]}
}

// loseDisk loses a host's disk permanently, provided that every membership that
// is in effect on any replica keeps a majority. A new replica replaces it.
func (simulation *simulation) loseDisk(host *host) {
	if host.lost || !simulation.keepsMajority(simulation.model.members, host.id) {
		return
	}
	for _, other := range simulation.hosts {
		if !other.lost && !simulation.keepsMajority(other.replica.Status().Membership, host.id) {
			return
		}
	}
	simulation.crash(host)
	host.lost = true
	simulation.coverage.lost++
	simulation.start(simulation.addHost())
}

func (simulation *simulation) keepsMajority(members quorum.Membership, lost quorum.ReplicaID) bool {
	remaining := 0
	for _, member := range members.Members {
		if !member.Learner && member.ID != lost && !simulation.hostByID(member.ID).lost {
			remaining++
		}
	}
	return remaining >= members.Majority()
}

// recoverAll heals the network and restarts the replicas. Then every member must
// apply one new command and every acknowledged one.
func (simulation *simulation) recoverAll() {
	clear(simulation.blockedLinks)
	for _, host := range simulation.hosts {
		if !host.up && !host.lost {
			simulation.start(host)
		}
		simulation.processOutput(host, false)
	}
	target := quorum.Index(0)
	for round := range 300 {
		simulation.tickAndDeliver(false)
		if round%30 == 29 {
			target = 0 // the command may be lost with its leader; propose it again
		}
		if leader := simulation.soleLeader(); leader != nil && target == 0 {
			index, _, err := leader.replica.Propose([]byte("last"))
			simulation.check(err == nil, "last command: %v", err)
			target = index
			simulation.processOutput(leader, false)
		}
		if simulation.fault != nil || simulation.allApplied(target) {
			return
		}
	}
	simulation.check(false, "the replicas did not converge")
}

// tickAndDeliver ticks every replica once and delivers the messages in order and
// without faults. With delays, it sets some messages aside for a later event.
func (simulation *simulation) tickAndDeliver(delays bool) {
	for _, host := range simulation.hosts {
		if host.up {
			host.replica.Tick()
			simulation.processOutput(host, false)
		}
	}
	for rounds := 0; len(simulation.queue) > 0 && rounds < 4; rounds++ {
		messages := simulation.queue
		simulation.queue = nil
		for _, message := range messages {
			if delays && simulation.random.IntN(4) == 0 {
				simulation.delayed = append(simulation.delayed, message)
				continue
			}
			simulation.deliverMessage(message, false)
		}
	}
}

func (simulation *simulation) soleLeader() *host {
	var leader *host
	for _, host := range simulation.hosts {
		if host.up && host.replica.Status().Role == quorum.Leader {
			if leader != nil {
				return nil
			}
			leader = host
		}
	}
	return leader
}

func (simulation *simulation) allApplied(target quorum.Index) bool {
	for _, member := range simulation.model.members.Members {
		host := simulation.hostByID(member.ID)
		if target == 0 || (!host.lost && host.state.applied < max(target, simulation.model.acknowledged)) {
			return false
		}
	}
	return true
}
