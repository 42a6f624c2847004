package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// commandList is a state machine that lists its commands, each of them once. A
// command may carry a text after a zero byte, which replaces the text before it.
type commandList struct {
	Commands []string
	Text     string
}

func (list *commandList) Apply(_ uint64, command []byte) ([]byte, error) {
	name, text, replaces := strings.Cut(string(command), textSeparator)
	if replaces {
		list.Text = text
	}
	at := slices.Index(list.Commands, name)
	if at < 0 {
		at = len(list.Commands)
		list.Commands = append(list.Commands, name)
	}
	return fmt.Append(nil, at), nil
}

// textSeparator separates the name of a command from its text.
const textSeparator = "\x00"

func (list *commandList) Snapshot() []byte {
	encoded, _ := json.Marshal(list)
	return encoded
}

func (list *commandList) Restore(snapshot []byte) error {
	*list = commandList{}
	return json.Unmarshal(snapshot, list)
}

// memoryDisk is a disk that loses nothing; its Sync can be made to fail.
type memoryDisk struct {
	files     map[string][]byte
	syncFails bool
}

var errDisk = errors.New("input/output error")

func (disk *memoryDisk) List() ([]string, error) {
	var names []string
	for name := range disk.files {
		names = append(names, name)
	}
	return names, nil
}

func (disk *memoryDisk) Read(name string) ([]byte, error) { return slices.Clone(disk.files[name]), nil }

func (disk *memoryDisk) Append(name string, data []byte) error {
	disk.files[name] = append(disk.files[name], data...)
	return nil
}

func (disk *memoryDisk) Truncate(name string, size int64) error {
	disk.files[name] = disk.files[name][:size]
	return nil
}

func (disk *memoryDisk) Sync(string) error {
	if disk.syncFails {
		return errDisk
	}
	return nil
}

func (disk *memoryDisk) Rename(from, to string) error {
	disk.files[to] = disk.files[from]
	delete(disk.files, from)
	return nil
}

func (disk *memoryDisk) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

func (disk *memoryDisk) SyncFolder() error       { return nil }
func (disk *memoryDisk) Path(name string) string { return name }

// testMessenger is the messenger of one host. Messages over a blocked link are lost.
type testMessenger struct {
	cluster  *testCluster
	address  string
	received chan *quorumpb.Message
}

func (messenger *testMessenger) Send(address string, message *quorumpb.Message) {
	messenger.cluster.lock.Lock()
	defer messenger.cluster.lock.Unlock()
	target := messenger.cluster.hosts[address]
	if target == nil || !target.up || messenger.cluster.blocked[[2]string{messenger.address, address}] {
		return
	}
	copied := proto.Clone(message).(*quorumpb.Message)
	if messenger.cluster.faults.intercept(address, copied) {
		return
	}
	if messenger.cluster.links != nil {
		messenger.cluster.links.send(messenger.address, address, copied)
		return
	}
	select {
	case target.messenger.received <- copied:
	default:
	}
}

func (messenger *testMessenger) Received() <-chan *quorumpb.Message { return messenger.received }

// host is one replica with its disk, driven by the goroutine of the test.
type host struct {
	*Replica[*commandList]
	disk      *memoryDisk
	messenger *testMessenger
	up        bool
	// frozen stops the host without losing what it has not handled.
	frozen bool
}

type testCluster struct {
	*gomega.WithT
	lock    sync.Mutex
	hosts   map[string]*host
	order   []string
	blocked map[[2]string]bool
	ids     quorum.ReplicaID
	seed    uint64
	// prepare changes the settings of a host before it starts; nil changes nothing.
	prepare func(started *host)
	// faults delays and duplicates messages; nil delivers each message once.
	faults *messageFaults
	// links gives messages a delay by their size; nil delivers them at once.
	links *linkModel
}

func newCluster(t *testing.T, size int) *testCluster {
	cluster := &testCluster{WithT: gomega.NewWithT(t), ids: 100, hosts: map[string]*host{}, blocked: map[[2]string]bool{}}
	for number := range size {
		cluster.order = append(cluster.order, fmt.Sprintf("host-%d", number))
	}
	for _, address := range cluster.order {
		cluster.loseDisk(address)
		cluster.start(address)
	}
	cluster.await("a formed log", func() bool {
		formed := cluster.leader() != nil
		for _, each := range cluster.hosts {
			formed = formed && each.appliedIndex > 0
		}
		return formed
	})
	return cluster
}

func (cluster *testCluster) loseDisk(address string) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.hosts[address] = &host{disk: &memoryDisk{files: map[string][]byte{}}}
}

func (cluster *testCluster) start(address string) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	started := cluster.hosts[address]
	cluster.links.reset(address)
	cluster.seed += 1 << 32
	started.messenger = &testMessenger{cluster, address, make(chan *quorumpb.Message, 10_000)}
	started.up = true
	started.Replica = &Replica[*commandList]{
		Machine: &commandList{}, Disk: started.disk, Messenger: started.messenger,
		Address: address, Peers: cluster.order, Seed: cluster.seed, SnapshotEntries: 120, KeptEntries: 20, TransferSnapshotBytes: 500,
		NewID: func() quorum.ReplicaID {
			cluster.ids-- // a new id may be lower than all ids before it
			return cluster.ids
		},
	}
	if cluster.prepare != nil {
		cluster.prepare(started)
	}
	cluster.Expect(started.open()).To(gomega.Succeed())
}

func (cluster *testCluster) runRound() {
	cluster.links.advance()
	for _, address := range cluster.order {
		if each := cluster.hosts[address]; each.up && !each.frozen {
			cluster.links.deliver(each)
			each.tick()
			each.drainInputs()
			cluster.Expect(each.process()).To(gomega.Succeed())
		}
	}
}

func (cluster *testCluster) await(what string, reached func() bool) {
	for range 500 {
		cluster.runRound()
		if reached() {
			return
		}
	}
	cluster.Expect(reached()).To(gomega.BeTrue(), what)
}

func (cluster *testCluster) leader() *host {
	for _, address := range cluster.order {
		each := cluster.hosts[address]
		if each.up && !each.frozen && each.core.Status().Role == quorum.Leader && cluster.reaches(each) {
			return each
		}
	}
	return nil
}

// reaches reports whether the links to another host are open in both directions.
func (cluster *testCluster) reaches(each *host) bool {
	for _, other := range cluster.order {
		if other != each.Address && !cluster.blocked[[2]string{each.Address, other}] && !cluster.blocked[[2]string{other, each.Address}] {
			return true
		}
	}
	return false
}

func (cluster *testCluster) submit(at *host, command string) *proposal {
	pending := &proposal{command: []byte(command), done: make(chan proposalResult, 1)}
	at.submit(pending)
	return pending
}

func (cluster *testCluster) propose(at *host, command string) {
	pending := cluster.submit(at, command)
	cluster.await("result of "+command, func() bool { return len(pending.done) == 1 })
	result := <-pending.done
	cluster.Expect(result.err).NotTo(gomega.HaveOccurred())
}

func (cluster *testCluster) proposeMany(at *host, first, count int) {
	for number := first; number < first+count; number++ {
		cluster.propose(at, fmt.Sprint("command-", number))
	}
}

// read gives the commands that a linearizable read sees.
func (cluster *testCluster) read(at *host) []string {
	var seen []string
	view := &stateView[*commandList]{done: make(chan struct{})}
	view.call = func(state *commandList) { seen = slices.Clone(state.Commands) }
	at.reads.pending = append(at.reads.pending, view)
	cluster.await("a read", func() bool { return view.state.Load() == viewRunning })
	return seen
}

func (cluster *testCluster) change(wanted quorum.MembershipChange) {
	cluster.await(fmt.Sprint("change ", wanted), func() bool {
		leader := cluster.leader()
		if leader == nil {
			return false
		}
		pending := &change{done: make(chan error, 1)}
		leader.submitChange(wanted, pending)
		for range 20 {
			cluster.runRound()
		}
		return len(pending.done) == 1 && <-pending.done == nil
	})
}

// replace makes the changes of [Replica.Replace] one by one.
func (cluster *testCluster) replace(lost quorum.ReplicaID, address string) {
	added := quorum.Member{ID: cluster.hosts[address].core.ID, Address: address}
	cluster.change(quorum.MembershipChange{Kind: quorum.AddLearner, Member: added})
	cluster.change(quorum.MembershipChange{Kind: quorum.Promote, Member: added})
	cluster.change(quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: lost}})
}

func (cluster *testCluster) others(than *host) []*host {
	var rest []*host
	for _, address := range cluster.order {
		if address != than.Address {
			rest = append(rest, cluster.hosts[address])
		}
	}
	return rest
}
