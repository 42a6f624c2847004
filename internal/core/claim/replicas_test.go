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

// patience is how many rounds a command may take.
const patience = 300

// keeper is a host with a disk: a replica of the log and its ledger.
type keeper struct {
	replica *quorum.Replica
	disk    quorum.Restored
	ledger  *ledger.Machine
	applied quorum.Index
	up      bool
	// side is the side of a partition.
	side int
}

// site is a set of keepers over a queue that loses and reorders.
type site struct {
	random  *rand.Rand
	keepers map[quorum.ReplicaID]*keeper
	order   []quorum.ReplicaID
	queue   []*quorumpb.Message
	results map[string][]byte
	formed  quorum.Restored
}

func newSite(seed uint64) *site {
	made := &site{
		random:  rand.New(rand.NewPCG(seed, 5)),
		keepers: make(map[quorum.ReplicaID]*keeper),
		results: make(map[string][]byte),
	}
	var members []quorum.Member
	for id := quorum.ReplicaID(1); id <= 5; id++ {
		members = append(members, quorum.Member{ID: id})
	}
	formed, err := quorum.Form(members)
	if err != nil {
		panic(err)
	}
	made.formed = formed
	for _, member := range members {
		made.add(member.ID, formed)
	}
	return made
}

func (s *site) add(id quorum.ReplicaID, disk quorum.Restored) {
	if !slices.Contains(s.order, id) {
		s.order = append(s.order, id)
	}
	s.keepers[id] = &keeper{disk: disk}
	s.start(id)
}

func (s *site) start(id quorum.ReplicaID) {
	one := s.keepers[id]
	one.disk.Entries = slices.Clone(one.disk.Entries)
	one.replica = &quorum.Replica{ID: id, Seed: s.random.Uint64(), ElectionTicks: 4, HeartbeatTicks: 1, KeptEntries: 2}
	if err := one.replica.Start(one.disk); err != nil {
		panic(err)
	}
	one.ledger, one.applied, one.up = ledger.New(), one.disk.Snapshot.Index, true
	one.restore(one.disk.Snapshot)
}

func (k *keeper) restore(snapshot quorum.Snapshot) {
	if err := k.ledger.Restore(snapshot.Data); err != nil {
		panic(err)
	}
	k.applied = snapshot.Index
}

// round is one tick of everyone and the delivery of what they send.
func (s *site) round() {
	for _, id := range s.order {
		if one := s.keepers[id]; one.up {
			one.replica.Tick()
			s.pump(one)
		}
	}
	sent := s.queue
	s.queue = nil
	s.random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	for _, message := range sent {
		from, to := s.keepers[quorum.ReplicaID(message.GetFrom())], s.keepers[quorum.ReplicaID(message.GetTo())]
		if to == nil || !to.up || from.side != to.side || s.random.IntN(20) == 0 {
			continue
		}
		to.replica.Step(message)
		s.pump(to)
	}
}

func (s *site) pump(one *keeper) {
	for {
		output := one.replica.Take()
		if output.Empty() {
			return
		}
		if output.Fault != nil {
			panic(output.Fault)
		}
		s.queue = append(s.queue, output.Messages...)
		one.store(output)
		s.queue = append(s.queue, output.Acknowledgements...)
		if output.Snapshot != nil {
			one.restore(*output.Snapshot)
		}
		for _, entry := range output.Committed {
			s.apply(one, entry)
		}
		one.replica.Stored(output)
		one.compact()
	}
}

func (k *keeper) store(output quorum.Output) {
	if output.Snapshot != nil {
		k.disk.Snapshot, k.disk.Entries = *output.Snapshot, nil
	}
	if output.HardState != nil {
		k.disk.HardState = *output.HardState
	}
	if len(output.Entries) == 0 {
		return
	}
	first := output.Entries[0].Index
	k.disk.Entries = slices.DeleteFunc(slices.Clone(k.disk.Entries), func(entry quorum.Entry) bool { return entry.Index >= first })
	k.disk.Entries = append(k.disk.Entries, output.Entries...)
}

func (s *site) apply(one *keeper, entry quorum.Entry) {
	one.applied = entry.Index
	if entry.Kind != quorum.CommandEntry {
		return
	}
	result, err := one.ledger.Apply(uint64(entry.Index), entry.Data)
	if err != nil {
		panic(err)
	}
	s.results[string(entry.Data)] = result
}

func (k *keeper) compact() {
	if k.applied < k.disk.Snapshot.Index+5 {
		return
	}
	snapshot, err := k.replica.MakeSnapshot(k.applied, k.ledger.Snapshot())
	if err != nil {
		return
	}
	k.disk.Snapshot = snapshot
	k.disk.Entries = slices.DeleteFunc(slices.Clone(k.disk.Entries), func(entry quorum.Entry) bool { return entry.Index <= snapshot.Index })
	k.replica.Compact(snapshot)
}

// propose sends a command again and again to whoever leads on one side, and
// gives its latest result, or false if no quorum answers.
func (s *site) propose(side int, command []byte) ([]byte, bool) {
	delete(s.results, string(command))
	for number := range patience {
		for _, id := range s.order {
			one := s.keepers[id]
			if number%10 == 0 && one.up && one.side == side && one.replica.Status().Role == quorum.Leader {
				_, _, _ = one.replica.Propose(command)
				s.pump(one)
			}
		}
		s.round()
		if result, done := s.results[string(command)]; done {
			return result, true
		}
	}
	return nil, false
}

func (s *site) change(kind quorum.ChangeKind, id quorum.ReplicaID) {
	for range patience {
		for _, other := range s.order {
			one := s.keepers[other]
			if !one.up || one.replica.Status().Role != quorum.Leader {
				continue
			}
			member, in := one.replica.Status().Membership.Find(id)
			if in && kind == quorum.AddLearner || in && kind == quorum.Promote && !member.Learner || !in && kind == quorum.Remove {
				return
			}
			_, _, _ = one.replica.ProposeChange(quorum.Change{Kind: kind, Member: quorum.Member{ID: id}})
			s.pump(one)
		}
		s.round()
	}
	panic(fmt.Sprintf("no leader carried out change %d of %d", kind, id))
}

// loseAndRepair loses a host with its disk and puts a new replica in its place.
func (s *site) loseAndRepair(lost, fresh quorum.ReplicaID) {
	s.keepers[lost].up = false
	s.add(fresh, quorum.Restored{})
	s.change(quorum.AddLearner, fresh)
	s.change(quorum.Promote, fresh)
	s.change(quorum.Remove, lost)
}

// claimAs asks for a claim and notes who was granted it.
func (s *site) claimAs(side int, name byte, key request.IdempotencyKey) (ledger.ClaimResult, bool) {
	command := ledger.ClaimCommand{Kind: "tally/complete", Key: key, Attempt: request.AttemptID{name}, Node: "n1"}
	result, answered := s.propose(side, command.Encode())
	if !answered {
		return ledger.ClaimResult{}, false
	}
	decoded, err := ledger.DecodeClaim(result)
	if err != nil {
		panic(err)
	}
	return decoded, true
}
