package quorum_test

import (
	"encoding/binary"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// chooser draws the events of a history.
type chooser interface{ IntN(n int) int }

// machine is the smallest state machine: a hash over all entries.
type machine struct {
	applied quorum.Index
	chain   uint64
}

func (state *machine) apply(entry quorum.Entry) {
	state.applied = entry.Index
	for _, part := range append(slices.Clone(entry.Data), byte(entry.Term), byte(entry.Kind)) {
		state.chain = (state.chain ^ uint64(part)) * 1099511628211
	}
}

func (state *machine) encode() []byte {
	data := make([]byte, 100)
	binary.LittleEndian.PutUint64(data, uint64(state.applied))
	binary.LittleEndian.PutUint64(data[8:], state.chain)
	return data
}

func (state *machine) decode(data []byte) {
	*state = machine{}
	if len(data) > 0 {
		state.applied = quorum.Index(binary.LittleEndian.Uint64(data))
		state.chain = binary.LittleEndian.Uint64(data[8:])
	}
}

// model is the naive truth: one list of accepted entries, and the state after
// each of them.
type model struct {
	accepted     []quorum.Entry
	after        []machine
	acknowledged quorum.Index
	members      quorum.Membership
}

// host is a replica with its disk; the disk outlives a crash.
type host struct {
	id       quorum.ReplicaID
	replica  *quorum.Replica
	disk     quorum.Restored
	state    machine
	pending  *quorum.Output
	proposed map[quorum.Index]quorum.Term
	up       bool
	lost     bool
	replaced bool
}

// seen counts what the histories went through.
type seen struct{ entries, acknowledged, terms, reads, installed, lost, replaced, crashes int }

func (all *seen) add(one seen) {
	all.entries += one.entries
	all.acknowledged += one.acknowledged
	all.terms += one.terms
	all.reads += one.reads
	all.installed += one.installed
	all.lost += one.lost
	all.replaced += one.replaced
	all.crashes += one.crashes
}

type link struct{ from, to quorum.ReplicaID }

type askedRead struct {
	floor quorum.Index
	host  *host
}

// history drives hosts over a queue that loses, doubles, delays and reorders.
type history struct {
	draw  chooser
	hosts []*host
	queue []*quorumpb.Message
	late  []*quorumpb.Message
	// crashOdds is one crash in so many outputs.
	crashOdds int
	cut       map[link]bool
	model     model
	reads     map[quorum.RequestID]askedRead
	nextID    quorum.ReplicaID
	number    uint64
	floor     quorum.Index
	fault     error
	seen      seen
	// skipSync is a broken disk that forgets the last entries at a crash.
	skipSync bool
	seed     uint64
}

func newHistory(draw chooser, size int, seed uint64) *history {
	run := &history{
		draw: draw, cut: map[link]bool{}, reads: map[quorum.RequestID]askedRead{}, nextID: 1, seed: seed,
		model: model{accepted: make([]quorum.Entry, 1), after: make([]machine, 1)},
	}
	run.crashOdds = [...]int{30, 200, 1000}[draw.IntN(3)]
	var members []quorum.Member
	for range size {
		members = append(members, quorum.Member{ID: run.nextID})
		run.addHost()
	}
	formed, err := quorum.Form(members)
	run.check(err == nil, "form: %v", err)
	run.model.members = quorum.Membership{Members: members}
	for _, host := range run.hosts {
		host.disk = formed
		run.start(host)
	}
	return run
}

func (run *history) check(ok bool, format string, values ...any) {
	if !ok && run.fault == nil {
		run.fault = fmt.Errorf(format, values...)
	}
}

func (run *history) addHost() *host {
	added := &host{id: run.nextID}
	run.nextID++
	run.hosts = append(run.hosts, added)
	return added
}

func (run *history) start(host *host) {
	host.replica = &quorum.Replica{
		ID: host.id, Seed: run.seed, ElectionTicks: 4, HeartbeatTicks: 1,
		MessageBytes: 64, Window: 2, KeptEntries: 2,
	}
	host.disk.Entries = slices.Clone(host.disk.Entries)
	err := host.replica.Start(host.disk)
	run.check(err == nil, "start of %d: %v", host.id, err)
	host.state.decode(host.disk.Snapshot.Data)
	host.proposed = map[quorum.Index]quorum.Term{}
	host.pending = nil
	host.up = true
}

func (run *history) crash(host *host) {
	run.seen.crashes++
	host.up = false
	host.pending = nil
	if run.skipSync && len(host.disk.Entries) > 1 {
		host.disk.Entries = host.disk.Entries[:len(host.disk.Entries)-1]
	}
}

// pump carries out what a replica asks for; it may crash at each step.
func (run *history) pump(host *host, faults bool) {
	for host.up && run.fault == nil {
		if host.pending == nil {
			output := host.replica.Take()
			if output.Empty() {
				return
			}
			host.pending = &output
			run.check(output.Fault == nil, "replica %d: %v", host.id, output.Fault)
			run.queue = append(run.queue, output.Messages...)
		}
		if faults && run.draw.IntN(8) == 0 {
			return // stored later, other events come between
		}
		if faults && run.draw.IntN(run.crashOdds) == 0 {
			run.crash(host) // nothing of the output was stored
			return
		}
		output := *host.pending
		run.store(host, output)
		if faults && run.draw.IntN(run.crashOdds) == 0 {
			run.crash(host) // stored, but nobody heard of it
			return
		}
		run.queue = append(run.queue, output.Acknowledgements...)
		run.apply(host, output)
		host.pending = nil
		host.replica.Stored(output)
	}
}

func (run *history) store(host *host, output quorum.Output) {
	disk := &host.disk
	if output.Snapshot != nil {
		disk.Snapshot = *output.Snapshot
		disk.Entries = nil
	}
	if output.HardState != nil {
		disk.HardState = *output.HardState
	}
	if len(output.Entries) > 0 {
		first := output.Entries[0].Index
		kept := slices.IndexFunc(disk.Entries, func(entry quorum.Entry) bool { return entry.Index >= first })
		if kept >= 0 {
			disk.Entries = disk.Entries[:kept:kept]
		}
		disk.Entries = append(disk.Entries, output.Entries...)
	}
}

func (run *history) apply(host *host, output quorum.Output) {
	if output.Snapshot != nil {
		host.state.decode(output.Snapshot.Data)
		run.compare(host)
		run.seen.installed++
	}
	for _, entry := range output.Committed {
		run.check(entry.Index == host.state.applied+1, "replica %d applies %d after %d", host.id, entry.Index, host.state.applied)
		run.accept(host, entry)
		host.state.apply(entry)
		run.compare(host)
		if host.proposed[entry.Index] == entry.Term && entry.Kind == quorum.CommandEntry {
			run.model.acknowledged = max(run.model.acknowledged, entry.Index)
			run.seen.acknowledged++
		}
		delete(host.proposed, entry.Index)
	}
	for _, result := range output.Reads {
		asked, known := run.reads[result.Request]
		if !known || asked.host != host || !result.Granted {
			continue
		}
		run.check(result.Index >= asked.floor, "a read on %d sees %d, but %d was there before it", host.id, result.Index, asked.floor)
		run.floor = max(run.floor, result.Index)
		run.seen.reads++
	}
}

func (run *history) accept(host *host, entry quorum.Entry) {
	truth := &run.model
	if entry.Index == quorum.Index(len(truth.accepted)) {
		truth.accepted = append(truth.accepted, entry)
		state := truth.after[len(truth.after)-1]
		state.apply(entry)
		truth.after = append(truth.after, state)
		run.seen.entries++
		if entry.Kind == quorum.EmptyEntry {
			run.seen.terms++
		}
		run.floor = max(run.floor, entry.Index)
		if entry.Kind == quorum.MembershipEntry {
			encoded := &quorumpb.Membership{}
			run.check(proto.Unmarshal(entry.Data, encoded) == nil, "entry %d holds no membership", entry.Index)
			truth.members = quorum.DecodeMembership(encoded)
			run.noteReplaced()
		}
		return
	}
	run.check(entry.Index < quorum.Index(len(truth.accepted)), "entry %d is accepted out of order", entry.Index)
	if run.fault == nil {
		before := truth.accepted[entry.Index]
		run.check(before.Term == entry.Term && slices.Equal(before.Data, entry.Data),
			"two entries at %d: term %d and term %d on replica %d", entry.Index, before.Term, entry.Term, host.id)
	}
}

func (run *history) compare(host *host) {
	run.check(host.state.applied < quorum.Index(len(run.model.after)) && run.model.after[host.state.applied] == host.state,
		"the state of replica %d at %d is not that of the model", host.id, host.state.applied)
}

func (run *history) noteReplaced() {
	for _, id := range run.model.members.Removed {
		if run.find(id).lost && !run.find(id).replaced {
			run.find(id).replaced = true
			run.seen.replaced++
		}
	}
}
