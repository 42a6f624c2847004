package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxRounds is the number of rounds after which a command counts as unanswered.
const maxRounds = 300

// testReplica is a replica of the log with its disk and its ledger.
type testReplica struct {
	log     *quorum.Replica
	disk    quorum.PersistentState
	ledger  *ledger.Machine
	applied quorum.Index
	running bool
	// side is the side of the network partition that the replica is on.
	side int
}

// cluster is a set of replicas whose messages may be lost and reordered.
type cluster struct {
	random      *rand.Rand
	replicas    map[quorum.ReplicaID]*testReplica
	order       []quorum.ReplicaID
	messages    []*quorumpb.Message
	results     map[string][]byte
	initialDisk quorum.PersistentState
}

func newCluster(seed uint64) *cluster {
	cluster := &cluster{
		random:   rand.New(rand.NewPCG(seed, 5)),
		replicas: make(map[quorum.ReplicaID]*testReplica),
		results:  make(map[string][]byte),
	}
	var members []quorum.Member
	for id := quorum.ReplicaID(1); id <= 5; id++ {
		members = append(members, quorum.Member{ID: id})
	}
	formed, err := quorum.InitialState(members)
	if err != nil {
		panic(err)
	}
	cluster.initialDisk = formed
	for _, member := range members {
		cluster.add(member.ID, formed)
	}
	return cluster
}

func (cluster *cluster) add(id quorum.ReplicaID, disk quorum.PersistentState) {
	if !slices.Contains(cluster.order, id) {
		cluster.order = append(cluster.order, id)
	}
	cluster.replicas[id] = &testReplica{disk: disk}
	cluster.start(id)
}

func (cluster *cluster) start(id quorum.ReplicaID) {
	replica := cluster.replicas[id]
	replica.disk.Entries = slices.Clone(replica.disk.Entries)
	replica.log = &quorum.Replica{ID: id, Seed: cluster.random.Uint64(), ElectionTicks: 4, HeartbeatTicks: 1, KeptEntries: 2}
	if err := replica.log.Start(replica.disk); err != nil {
		panic(err)
	}
	replica.ledger, replica.applied, replica.running = ledger.New(), replica.disk.Snapshot.Index, true
	replica.restore(replica.disk.Snapshot)
}

func (replica *testReplica) restore(snapshot quorum.Snapshot) {
	if err := replica.ledger.Restore(snapshot.Data); err != nil {
		panic(err)
	}
	replica.applied = snapshot.Index
}

// round ticks every replica once and delivers the messages that were sent.
func (cluster *cluster) round() {
	for _, id := range cluster.order {
		if replica := cluster.replicas[id]; replica.running {
			replica.log.Tick()
			cluster.processOutput(replica)
		}
	}
	sent := cluster.messages
	cluster.messages = nil
	cluster.random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	for _, message := range sent {
		sender, receiver := cluster.replicas[quorum.ReplicaID(message.GetFrom())], cluster.replicas[quorum.ReplicaID(message.GetTo())]
		if receiver == nil || !receiver.running || sender.side != receiver.side || cluster.random.IntN(20) == 0 {
			continue
		}
		receiver.log.Step(message)
		cluster.processOutput(receiver)
	}
}

func (cluster *cluster) processOutput(replica *testReplica) {
	for {
		output := replica.log.TakeOutput()
		if output.Empty() {
			return
		}
		if output.Fault != nil {
			panic(output.Fault)
		}
		cluster.messages = append(cluster.messages, output.Messages...)
		replica.store(output)
		cluster.messages = append(cluster.messages, output.MessagesAfterSync...)
		if output.Snapshot != nil {
			replica.restore(*output.Snapshot)
		}
		for _, entry := range output.CommittedEntries {
			cluster.apply(replica, entry)
		}
		replica.log.OutputDone(output)
		replica.compact()
	}
}

func (replica *testReplica) store(output quorum.Output) {
	if output.Snapshot != nil {
		replica.disk.Snapshot, replica.disk.Entries = *output.Snapshot, nil
	}
	if output.HardState != nil {
		replica.disk.HardState = *output.HardState
	}
	if len(output.Entries) == 0 {
		return
	}
	first := output.Entries[0].Index
	replica.disk.Entries = slices.DeleteFunc(slices.Clone(replica.disk.Entries), func(entry quorum.Entry) bool { return entry.Index >= first })
	replica.disk.Entries = append(replica.disk.Entries, output.Entries...)
}

func (cluster *cluster) apply(replica *testReplica, entry quorum.Entry) {
	replica.applied = entry.Index
	if entry.Kind != quorum.CommandEntry {
		return
	}
	result, err := replica.ledger.Apply(uint64(entry.Index), entry.Data)
	if err != nil {
		panic(err)
	}
	cluster.results[string(entry.Data)] = result
}

func (replica *testReplica) compact() {
	if replica.applied < replica.disk.Snapshot.Index+5 {
		return
	}
	snapshot, err := replica.log.MakeSnapshot(replica.applied, replica.ledger.Snapshot())
	if err != nil {
		return
	}
	replica.disk.Snapshot = snapshot
	replica.disk.Entries = slices.DeleteFunc(slices.Clone(replica.disk.Entries), func(entry quorum.Entry) bool { return entry.Index <= snapshot.Index })
	replica.log.Compact(snapshot)
}

// propose proposes a command every ten rounds to each leader on one side. It
// returns the latest result, or false if no quorum applied the command in time.
func (cluster *cluster) propose(side int, command []byte) ([]byte, bool) {
	delete(cluster.results, string(command))
	for round := range maxRounds {
		for _, id := range cluster.order {
			replica := cluster.replicas[id]
			if round%10 == 0 && replica.running && replica.side == side && replica.log.Status().Role == quorum.Leader {
				_, _, _ = replica.log.Propose(command)
				cluster.processOutput(replica)
			}
		}
		cluster.round()
		if result, done := cluster.results[string(command)]; done {
			return result, true
		}
	}
	return nil, false
}

func (cluster *cluster) changeMembership(kind quorum.MembershipChangeKind, id quorum.ReplicaID) {
	for range maxRounds {
		for _, other := range cluster.order {
			replica := cluster.replicas[other]
			if !replica.running || replica.log.Status().Role != quorum.Leader {
				continue
			}
			member, in := replica.log.Status().Membership.Find(id)
			if in && kind == quorum.AddLearner || in && kind == quorum.Promote && !member.Learner || !in && kind == quorum.Remove {
				return
			}
			_, _, _ = replica.log.ProposeChange(quorum.MembershipChange{Kind: kind, Member: quorum.Member{ID: id}})
			cluster.processOutput(replica)
		}
		cluster.round()
	}
	panic(fmt.Sprintf("no leader carried out change %d of %d", kind, id))
}

// replaceLost stops a replica, whose disk is lost, and adds a new one in its
// place.
func (cluster *cluster) replaceLost(lost, replacement quorum.ReplicaID) {
	cluster.replicas[lost].running = false
	cluster.add(replacement, quorum.PersistentState{})
	cluster.changeMembership(quorum.AddLearner, replacement)
	cluster.changeMembership(quorum.Promote, replacement)
	cluster.changeMembership(quorum.Remove, lost)
}

// claimAs proposes a claim on one side of the partition and returns its result,
// or false if no quorum applied it.
func (cluster *cluster) claimAs(side int, attempt byte, key request.IdempotencyKey) (ledger.ClaimResult, bool) {
	command := ledger.ClaimCommand{Kind: "tally/complete", Key: key, Attempt: request.AttemptID{attempt}, Node: "n1"}
	result, answered := cluster.propose(side, command.Encode())
	if !answered {
		return ledger.ClaimResult{}, false
	}
	decoded, err := ledger.DecodeClaim(result)
	if err != nil {
		panic(err)
	}
	return decoded, true
}
