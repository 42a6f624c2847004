package quorum_test

import (
	"encoding/binary"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// randomSource decides the random events of a simulation.
type randomSource interface{ IntN(n int) int }

// hashMachine is a minimal state machine whose state is a hash of all entries.
type hashMachine struct {
	applied quorum.Index
	hash    uint64
}

func (machine *hashMachine) apply(entry quorum.Entry) {
	machine.applied = entry.Index
	for _, value := range append(slices.Clone(entry.Data), byte(entry.Term), byte(entry.Kind)) {
		machine.hash = (machine.hash ^ uint64(value)) * 1099511628211
	}
}

func (machine *hashMachine) encode() []byte {
	data := make([]byte, 100)
	binary.LittleEndian.PutUint64(data, uint64(machine.applied))
	binary.LittleEndian.PutUint64(data[8:], machine.hash)
	return data
}

func (machine *hashMachine) decode(data []byte) {
	*machine = hashMachine{}
	if len(data) > 0 {
		machine.applied = quorum.Index(binary.LittleEndian.Uint64(data))
		machine.hash = binary.LittleEndian.Uint64(data[8:])
	}
}

// referenceModel is the expected state of the log, which all replicas share.
type referenceModel struct {
	// committed holds the committed entries, and states the state machine after
	// each of them. Both start with an element for index 0.
	committed []quorum.Entry
	states    []hashMachine
	// acknowledged is the last index whose command was confirmed to its proposer.
	acknowledged quorum.Index
	members      quorum.Membership
}

// host is a replica with its disk, which survives a crash.
type host struct {
	id            quorum.ReplicaID
	replica       *quorum.Replica
	disk          quorum.PersistentState
	state         hashMachine
	pendingOutput *quorum.Output
	proposedTerms map[quorum.Index]quorum.Term
	up            bool
	lost          bool
	replaced      bool
}

// coverage counts the events that the histories reached.
type coverage struct{ entries, acknowledged, terms, reads, installed, lost, replaced, crashes int }

func (total *coverage) add(other coverage) {
	total.entries += other.entries
	total.acknowledged += other.acknowledged
	total.terms += other.terms
	total.reads += other.reads
	total.installed += other.installed
	total.lost += other.lost
	total.replaced += other.replaced
	total.crashes += other.crashes
}

type link struct{ from, to quorum.ReplicaID }

// startedRead is a read that has not been answered yet.
type startedRead struct {
	// minIndex is the least index that the read must return.
	minIndex quorum.Index
	host     *host
}

// simulation runs replicas over a network that loses, repeats, delays and
// reorders messages, and compares them with a reference model.
type simulation struct {
	random randomSource
	hosts  []*host
	queue  []*quorumpb.Message
	// delayed are messages that return to the queue by a later event.
	delayed []*quorumpb.Message
	// crashOdds is n for a crash in one of n outputs.
	crashOdds int
	// blockedLinks are the links that deliver nothing.
	blockedLinks map[link]bool
	model        referenceModel
	reads        map[quorum.RequestID]startedRead
	nextID       quorum.ReplicaID
	// lastRequest numbers the reads and commands.
	lastRequest uint64
	// minReadIndex is the least index that a read started now must return: that
	// of the last committed entry and of the last granted read.
	minReadIndex quorum.Index
	// fault is the first violation that was found.
	fault    error
	coverage coverage
	// skipSync simulates a disk that loses the last entry at a crash.
	skipSync bool
	seed     uint64
}

func newSimulation(random randomSource, size int, seed uint64) *simulation {
	simulation := &simulation{
		random: random, blockedLinks: map[link]bool{}, reads: map[quorum.RequestID]startedRead{}, nextID: 1, seed: seed,
		model: referenceModel{committed: make([]quorum.Entry, 1), states: make([]hashMachine, 1)},
	}
	simulation.crashOdds = [...]int{30, 200, 1000}[random.IntN(3)]
	var members []quorum.Member
	for range size {
		members = append(members, quorum.Member{ID: simulation.nextID})
		simulation.addHost()
	}
	initial, err := quorum.InitialState(members)
	simulation.check(err == nil, "form: %v", err)
	simulation.model.members = quorum.Membership{Members: members}
	for _, host := range simulation.hosts {
		host.disk = initial
		simulation.start(host)
	}
	return simulation
}

func (simulation *simulation) check(ok bool, format string, values ...any) {
	if !ok && simulation.fault == nil {
		simulation.fault = fmt.Errorf(format, values...)
	}
}

func (simulation *simulation) addHost() *host {
	added := &host{id: simulation.nextID}
	simulation.nextID++
	simulation.hosts = append(simulation.hosts, added)
	return added
}

func (simulation *simulation) start(host *host) {
	host.replica = &quorum.Replica{
		ID: host.id, Seed: simulation.seed, ElectionTicks: 4, HeartbeatTicks: 1,
		MaxMessageBytes: 64, MaxInflightMessages: 2, KeptEntries: 2,
	}
	host.disk.Entries = slices.Clone(host.disk.Entries)
	err := host.replica.Start(host.disk)
	simulation.check(err == nil, "start of %d: %v", host.id, err)
	host.state.decode(host.disk.Snapshot.Data)
	host.proposedTerms = map[quorum.Index]quorum.Term{}
	host.pendingOutput = nil
	host.up = true
}

func (simulation *simulation) crash(host *host) {
	simulation.coverage.crashes++
	host.up = false
	host.pendingOutput = nil
	if simulation.skipSync && len(host.disk.Entries) > 1 {
		host.disk.Entries = host.disk.Entries[:len(host.disk.Entries)-1]
	}
}

// processOutput carries out the output of a replica until there is none. With
// faults, the host may crash before or after it stores an output.
func (simulation *simulation) processOutput(host *host, faults bool) {
	for host.up && simulation.fault == nil {
		if host.pendingOutput == nil {
			output := host.replica.TakeOutput()
			if output.Empty() {
				return
			}
			host.pendingOutput = &output
			simulation.check(output.Fault == nil, "replica %d: %v", host.id, output.Fault)
			simulation.queue = append(simulation.queue, output.Messages...)
		}
		if faults && simulation.random.IntN(8) == 0 {
			return // a later call stores it, after other events
		}
		if faults && simulation.random.IntN(simulation.crashOdds) == 0 {
			simulation.crash(host) // before anything is stored
			return
		}
		output := *host.pendingOutput
		simulation.storeOutput(host, output)
		if faults && simulation.random.IntN(simulation.crashOdds) == 0 {
			simulation.crash(host) // after storing, before sending
			return
		}
		simulation.queue = append(simulation.queue, output.MessagesAfterSync...)
		simulation.applyOutput(host, output)
		host.pendingOutput = nil
		host.replica.OutputDone(output)
	}
}

func (simulation *simulation) storeOutput(host *host, output quorum.Output) {
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
		replaced := slices.IndexFunc(disk.Entries, func(entry quorum.Entry) bool { return entry.Index >= first })
		if replaced >= 0 {
			disk.Entries = disk.Entries[:replaced:replaced]
		}
		disk.Entries = append(disk.Entries, output.Entries...)
	}
}

func (simulation *simulation) applyOutput(host *host, output quorum.Output) {
	if output.Snapshot != nil {
		host.state.decode(output.Snapshot.Data)
		simulation.checkState(host)
		simulation.coverage.installed++
	}
	for _, entry := range output.CommittedEntries {
		simulation.check(entry.Index == host.state.applied+1, "replica %d applies entry %d after %d", host.id, entry.Index, host.state.applied)
		simulation.checkCommitted(host, entry)
		host.state.apply(entry)
		simulation.checkState(host)
		if host.proposedTerms[entry.Index] == entry.Term && entry.Kind == quorum.CommandEntry {
			simulation.model.acknowledged = max(simulation.model.acknowledged, entry.Index)
			simulation.coverage.acknowledged++
		}
		delete(host.proposedTerms, entry.Index)
	}
	for _, result := range output.ReadResults {
		read, known := simulation.reads[result.Request]
		if !known || read.host != host || !result.Granted {
			continue
		}
		simulation.check(result.Index >= read.minIndex, "a read on replica %d returned index %d, but index %d was committed or read before it started", host.id, result.Index, read.minIndex)
		simulation.minReadIndex = max(simulation.minReadIndex, result.Index)
		simulation.coverage.reads++
	}
}

func (simulation *simulation) checkCommitted(host *host, entry quorum.Entry) {
	model := &simulation.model
	if entry.Index == quorum.Index(len(model.committed)) {
		model.committed = append(model.committed, entry)
		state := model.states[len(model.states)-1]
		state.apply(entry)
		model.states = append(model.states, state)
		simulation.coverage.entries++
		if entry.Kind == quorum.EmptyEntry {
			simulation.coverage.terms++
		}
		simulation.minReadIndex = max(simulation.minReadIndex, entry.Index)
		if entry.Kind == quorum.MembershipEntry {
			encoded := &quorumpb.Membership{}
			simulation.check(proto.Unmarshal(entry.Data, encoded) == nil, "entry %d holds no membership", entry.Index)
			model.members = quorum.DecodeMembership(encoded)
			simulation.countReplaced()
		}
		return
	}
	simulation.check(entry.Index < quorum.Index(len(model.committed)), "entry %d is committed out of order", entry.Index)
	if simulation.fault == nil {
		committed := model.committed[entry.Index]
		simulation.check(committed.Term == entry.Term && slices.Equal(committed.Data, entry.Data),
			"different committed entries at index %d: term %d, and term %d on replica %d", entry.Index, committed.Term, entry.Term, host.id)
	}
}

func (simulation *simulation) checkState(host *host) {
	simulation.check(host.state.applied < quorum.Index(len(simulation.model.states)) && simulation.model.states[host.state.applied] == host.state,
		"the state of replica %d at index %d differs from that of the model", host.id, host.state.applied)
}

func (simulation *simulation) countReplaced() {
	for _, id := range simulation.model.members.Removed {
		if simulation.hostByID(id).lost && !simulation.hostByID(id).replaced {
			simulation.hostByID(id).replaced = true
			simulation.coverage.replaced++
		}
	}
}
