package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// journal is a machine that lists its commands, each once.
type journal struct{ Commands []string }

func (state *journal) Apply(_ uint64, command []byte) ([]byte, error) {
	at := slices.Index(state.Commands, string(command))
	if at < 0 {
		at = len(state.Commands)
		state.Commands = append(state.Commands, string(command))
	}
	return fmt.Append(nil, at), nil
}

func (state *journal) Snapshot() []byte {
	encoded, _ := json.Marshal(state)
	return encoded
}

func (state *journal) Restore(snapshot []byte) error {
	*state = journal{}
	return json.Unmarshal(snapshot, state)
}

// memory is a disk that loses nothing, until it fails.
type memory struct {
	files map[string][]byte
	fails bool
}

var errDisk = errors.New("input/output error")

func (disk *memory) List() ([]string, error) {
	var names []string
	for name := range disk.files {
		names = append(names, name)
	}
	return names, nil
}

func (disk *memory) Read(name string) ([]byte, error) { return slices.Clone(disk.files[name]), nil }

func (disk *memory) Append(name string, data []byte) error {
	disk.files[name] = append(disk.files[name], data...)
	return nil
}

func (disk *memory) Truncate(name string, size int64) error {
	disk.files[name] = disk.files[name][:size]
	return nil
}

func (disk *memory) Sync(string) error {
	if disk.fails {
		return errDisk
	}
	return nil
}

func (disk *memory) Rename(from, to string) error {
	disk.files[to] = disk.files[from]
	delete(disk.files, from)
	return nil
}

func (disk *memory) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

func (disk *memory) SyncFolder() error       { return nil }
func (disk *memory) Path(name string) string { return name }

// wire is one host's messenger; cut links lose what is sent over them.
type wire struct {
	cluster  *cluster
	address  string
	received chan *quorumpb.Message
}

func (end *wire) Send(address string, message *quorumpb.Message) {
	end.cluster.lock.Lock()
	defer end.cluster.lock.Unlock()
	target := end.cluster.hosts[address]
	if target == nil || !target.up || end.cluster.cut[[2]string{end.address, address}] {
		return
	}
	copied := proto.Clone(message).(*quorumpb.Message)
	if end.cluster.mischief.take(address, copied) {
		return
	}
	select {
	case target.wire.received <- copied:
	default:
	}
}

func (end *wire) Received() <-chan *quorumpb.Message { return end.received }

// host is one replica with its disk, driven by the test's own goroutine.
type host struct {
	*Replica[*journal]
	disk *memory
	wire *wire
	up   bool
}

type cluster struct {
	*gomega.WithT
	lock  sync.Mutex
	hosts map[string]*host
	order []string
	cut   map[[2]string]bool
	ids   quorum.ReplicaID
	seed  uint64
	// prepare sets what differs from a group that is listed; nil sets nothing.
	prepare func(started *host)
	// mischief holds back and doubles messages; nil delivers each once.
	mischief *mischief
}

func newCluster(t *testing.T, size int) *cluster {
	made := &cluster{WithT: gomega.NewWithT(t), ids: 100, hosts: map[string]*host{}, cut: map[[2]string]bool{}}
	for number := range size {
		made.order = append(made.order, fmt.Sprintf("host-%d", number))
	}
	for _, address := range made.order {
		made.loseDisk(address)
		made.start(address)
	}
	made.until("a formed log", func() bool {
		formed := made.leader() != nil
		for _, each := range made.hosts {
			formed = formed && each.applied > 0
		}
		return formed
	})
	return made
}

func (made *cluster) loseDisk(address string) {
	made.lock.Lock()
	defer made.lock.Unlock()
	made.hosts[address] = &host{disk: &memory{files: map[string][]byte{}}}
}

func (made *cluster) start(address string) {
	made.lock.Lock()
	defer made.lock.Unlock()
	started := made.hosts[address]
	made.seed += 1 << 32
	started.wire = &wire{made, address, make(chan *quorumpb.Message, 10_000)}
	started.up = true
	started.Replica = &Replica[*journal]{
		Machine: &journal{}, Disk: started.disk, Messenger: started.wire,
		Address: address, Peers: made.order, Seed: made.seed, SnapshotEntries: 120, KeptEntries: 20, HandOverBytes: 500,
		NewID: func() quorum.ReplicaID {
			made.ids-- // a new id may be less than all before
			return made.ids
		},
	}
	if made.prepare != nil {
		made.prepare(started)
	}
	made.Expect(started.open()).To(gomega.Succeed())
}

func (made *cluster) round() {
	for _, address := range made.order {
		if each := made.hosts[address]; each.up {
			each.tick()
			each.takeIn()
			made.Expect(each.carryOut()).To(gomega.Succeed())
		}
	}
}

func (made *cluster) until(what string, reached func() bool) {
	for range 500 {
		made.round()
		if reached() {
			return
		}
	}
	made.Expect(reached()).To(gomega.BeTrue(), what)
}

func (made *cluster) leader() *host {
	for _, address := range made.order {
		each := made.hosts[address]
		if each.up && each.core.Status().Role == quorum.Leader && made.reaches(each) {
			return each
		}
	}
	return nil
}

// reaches tells whether both directions to another host are open.
func (made *cluster) reaches(each *host) bool {
	for _, other := range made.order {
		if other != each.Address && !made.cut[[2]string{each.Address, other}] && !made.cut[[2]string{other, each.Address}] {
			return true
		}
	}
	return false
}

func (made *cluster) submit(at *host, command string) *proposal {
	waiting := &proposal{command: []byte(command), done: make(chan outcome, 1)}
	at.submit(waiting)
	return waiting
}

func (made *cluster) propose(at *host, command string) {
	waiting := made.submit(at, command)
	made.until("result of "+command, func() bool { return len(waiting.done) == 1 })
	out := <-waiting.done
	made.Expect(out.err).NotTo(gomega.HaveOccurred())
}

func (made *cluster) proposeMany(at *host, first, count int) {
	for number := first; number < first+count; number++ {
		made.propose(at, fmt.Sprint("command-", number))
	}
}

// read gives the commands that a linearizable read sees.
func (made *cluster) read(at *host) []string {
	var seen []string
	asked := &look[*journal]{done: make(chan struct{})}
	asked.call = func(state *journal) { seen = slices.Clone(state.Commands) }
	at.reads.fresh = append(at.reads.fresh, asked)
	made.until("a read", func() bool { return asked.state.Load() == lookRuns })
	return seen
}

func (made *cluster) change(wanted quorum.MembershipChange) {
	made.until(fmt.Sprint("change ", wanted), func() bool {
		leader := made.leader()
		if leader == nil {
			return false
		}
		waiting := &change{done: make(chan error, 1)}
		leader.submitChange(wanted, waiting)
		for range 20 {
			made.round()
		}
		return len(waiting.done) == 1 && <-waiting.done == nil
	})
}

// replace does what Replace does, step by step.
func (made *cluster) replace(lost quorum.ReplicaID, address string) {
	added := quorum.Member{ID: made.hosts[address].core.ID, Address: address}
	made.change(quorum.MembershipChange{Kind: quorum.AddLearner, Member: added})
	made.change(quorum.MembershipChange{Kind: quorum.Promote, Member: added})
	made.change(quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: lost}})
}

func (made *cluster) others(than *host) []*host {
	var rest []*host
	for _, address := range made.order {
		if address != than.Address {
			rest = append(rest, made.hosts[address])
		}
	}
	return rest
}
