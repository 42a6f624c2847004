package quorum_test

import (
	"encoding/binary"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// event draws one event.
func (run *history) event() {
	kind := run.draw.IntN(100)
	switch {
	case kind < 6:
		run.calm(run.draw.IntN(3) == 0)
	case kind < 62:
		run.deliver()
	case kind < 78:
		run.tick()
	default:
		run.atHost(run.hosts[run.draw.IntN(len(run.hosts))], kind)
	}
}

func (run *history) atHost(host *host, kind int) {
	switch {
	case !host.up && !host.lost:
		if run.draw.IntN(4) == 0 {
			run.start(host)
		}
	case kind < 87:
		run.propose(run.preferLeader(host))
	case kind < 91:
		run.read(run.preferLeader(host))
	case kind < 93:
		run.snapshot(host)
	case kind < 97:
		run.change()
	case kind == 97 && run.draw.IntN(2) == 0:
		run.queue = append(run.queue, run.late...)
		run.late = nil
	case kind == 97:
		run.cutLinks(run.preferLeader(host))
	case kind == 98:
		clear(run.cut)
	case run.draw.IntN(2) == 0:
		run.loseDisk(host)
	case host.up:
		run.crash(host)
	}
	for _, host := range run.hosts {
		run.pump(host, true)
	}
}

// deliver takes one message out of the queue, in any order. Most arrive; some
// are lost and some stay to arrive again.
func (run *history) deliver() {
	if len(run.queue) == 0 {
		run.tick()
		return
	}
	at := run.draw.IntN(len(run.queue))
	message := run.queue[at]
	fate := run.draw.IntN(20)
	if fate != 0 {
		run.queue = slices.Delete(run.queue, at, at+1)
	}
	if fate != 1 {
		run.arrive(message, true)
	}
}

func (run *history) arrive(message *quorumpb.Message, faults bool) {
	target := run.find(quorum.ReplicaID(message.GetTo()))
	cut := run.cut[link{quorum.ReplicaID(message.GetFrom()), target.id}]
	if !target.up || cut {
		return
	}
	target.replica.Step(message)
	run.pump(target, faults)
}

// preferLeader gives half of the time a host that takes itself for the leader.
func (run *history) preferLeader(host *host) *host {
	if run.draw.IntN(2) == 0 {
		return host
	}
	for _, other := range run.hosts {
		if other.up && other.replica.Status().Role == quorum.Leader {
			return other
		}
	}
	return host
}

func (run *history) find(id quorum.ReplicaID) *host { return run.hosts[id-1] }

func (run *history) tick() {
	for _, host := range run.hosts {
		if host.up && run.draw.IntN(8) != 0 {
			host.replica.Tick()
			run.pump(host, true)
		}
	}
}

func (run *history) propose(host *host) {
	if !host.up {
		return
	}
	run.number++
	command := binary.LittleEndian.AppendUint64(nil, run.number)
	index, term, err := host.replica.Propose(command)
	if err != nil {
		_ = host.replica.Forward(quorum.RequestID(run.number), command)
		return
	}
	host.proposed[index] = term
}

func (run *history) read(host *host) {
	if !host.up {
		return
	}
	run.number++
	run.reads[quorum.RequestID(run.number)] = askedRead{run.floor, host}
	host.replica.Read(quorum.RequestID(run.number))
}

func (run *history) snapshot(host *host) {
	if !host.up || host.pending != nil || host.state.applied <= host.disk.Snapshot.Index {
		return
	}
	snapshot, err := host.replica.MakeSnapshot(host.state.applied, host.state.encode())
	run.check(err == nil, "snapshot on %d: %v", host.id, err)
	host.disk.Snapshot = snapshot
	host.disk.Entries = slices.DeleteFunc(slices.Clone(host.disk.Entries), func(entry quorum.Entry) bool { return entry.Index <= snapshot.Index })
	host.replica.Compact(snapshot)
}

func (run *history) cutLinks(host *host) {
	direction := run.draw.IntN(3)
	for _, other := range run.hosts {
		if direction != 0 {
			run.cut[link{host.id, other.id}] = true
		}
		if direction != 1 {
			run.cut[link{other.id, host.id}] = true
		}
	}
}

// change does an operator's next step at whoever leads: a lost replica is
// replaced by a learner, which is promoted before the lost one is removed.
func (run *history) change() {
	for _, host := range run.hosts {
		if host.up && host.replica.Status().Role == quorum.Leader {
			_, _, _ = host.replica.ProposeChange(run.nextChange())
			run.pump(host, true)
		}
	}
}

func (run *history) nextChange() quorum.Change {
	members := run.model.members
	for _, host := range run.hosts {
		member, in := members.Find(host.id)
		switch {
		case !host.lost && !in && !members.IsRemoved(host.id):
			return quorum.Change{Kind: quorum.AddLearner, Member: quorum.Member{ID: host.id}}
		case !host.lost && in && member.Learner:
			return quorum.Change{Kind: quorum.Promote, Member: member}
		}
	}
	for _, member := range members.Members {
		if run.find(member.ID).lost {
			return quorum.Change{Kind: quorum.Remove, Member: member}
		}
	}
	return quorum.Change{Kind: quorum.Remove, Member: members.Members[run.draw.IntN(len(members.Members))]}
}

// loseDisk loses a host's disk for good, if the quorum of every membership
// that is in force anywhere survives it. A new replica takes its place.
func (run *history) loseDisk(host *host) {
	if host.lost || !run.survives(run.model.members, host.id) {
		return
	}
	for _, other := range run.hosts {
		if !other.lost && !run.survives(other.replica.Status().Membership, host.id) {
			return
		}
	}
	run.crash(host)
	host.lost = true
	run.seen.lost++
	run.start(run.addHost())
}

func (run *history) survives(members quorum.Membership, losing quorum.ReplicaID) bool {
	alive := 0
	for _, member := range members.Members {
		if !member.Learner && member.ID != losing && !run.find(member.ID).lost {
			alive++
		}
	}
	return alive >= members.Majority()
}

// settle heals everything; then every member has to reach one new command.
func (run *history) settle() {
	clear(run.cut)
	for _, host := range run.hosts {
		if !host.up && !host.lost {
			run.start(host)
		}
		run.pump(host, false)
	}
	target := quorum.Index(0)
	for round := range 300 {
		run.calm(false)
		if round%30 == 29 {
			target = 0 // its leader may have been deposed
		}
		if leader := run.agreedLeader(); leader != nil && target == 0 {
			index, _, err := leader.replica.Propose([]byte("last"))
			run.check(err == nil, "last command: %v", err)
			target = index
			run.pump(leader, false)
		}
		if run.fault != nil || run.settled(target) {
			return
		}
	}
	run.check(false, "the replicas do not come to rest")
}

// calm delivers in order; with late, some messages stay for a later time.
func (run *history) calm(late bool) {
	for _, host := range run.hosts {
		if host.up {
			host.replica.Tick()
			run.pump(host, false)
		}
	}
	for rounds := 0; len(run.queue) > 0 && rounds < 4; rounds++ {
		arriving := run.queue
		run.queue = nil
		for _, message := range arriving {
			if late && run.draw.IntN(4) == 0 {
				run.late = append(run.late, message)
				continue
			}
			run.arrive(message, false)
		}
	}
}

func (run *history) agreedLeader() *host {
	var leader *host
	for _, host := range run.hosts {
		if host.up && host.replica.Status().Role == quorum.Leader {
			if leader != nil {
				return nil
			}
			leader = host
		}
	}
	return leader
}

func (run *history) settled(target quorum.Index) bool {
	for _, member := range run.model.members.Members {
		host := run.find(member.ID)
		if target == 0 || (!host.lost && host.state.applied < max(target, run.model.acknowledged)) {
			return false
		}
	}
	return true
}
