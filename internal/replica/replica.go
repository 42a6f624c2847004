package replica

import (
	crypto "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/store"
)

const (
	defaultTick            = 50 * time.Millisecond
	defaultElectionTicks   = 10
	defaultSnapshotEntries = 10_000
	defaultHandOverBytes   = 4 << 20
	requestQueue           = 1024
	// batchInputs bounds what is taken in before one sync.
	batchInputs = 4096
)

// Machine is the state that the log drives. The same commands in the same
// order give the same state on every replica, and a command that is applied
// twice has the effect of one.
type Machine interface {
	Apply(index uint64, command []byte) (result []byte, err error)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Replica runs one replica. The exported fields are set before Run.
type Replica[M Machine] struct {
	Machine   M
	Disk      port.Disk
	Messenger port.Messenger
	// Address is where this replica listens.
	Address       string
	FailureDomain string
	// Node names the node of this replica's host.
	Node string
	// Peers are the addresses of all first replicas, this one included.
	Peers []string
	// FormsFromSeeds lets the group form and mend itself: Peers are the seeds,
	// which need not include this replica, and form the log at the FirstStart of
	// the site; every other replica that asks is taken in.
	FormsFromSeeds bool
	FirstStart     bool
	// LostDisks is how many disks may be lost at once.
	LostDisks int
	// Seeds gives the seeds as they are now; nil means Peers.
	Seeds func() []string
	// Tick is the length of a tick; an election takes ElectionTicks to twice
	// as many.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotEntries is how many entries are applied between snapshots at
	// least; for a large state it is as many bytes as the state has.
	SnapshotEntries int
	// HandOverBytes is the size of a snapshot before which a leader hands over
	// the lead.
	HandOverBytes int
	// KeptEntries is how many entries stay behind a snapshot for followers.
	KeptEntries int
	// NewID gives the id for an empty disk; nil means a random one.
	NewID func() quorum.ReplicaID
	// Seed starts the numbers of this process and its election timeouts, and
	// must differ from process to process; zero means a random one.
	Seed uint64
	// Ticks replaces the replica's own ticker.
	Ticks  <-chan time.Time
	Logger *log.Logger

	once     sync.Once
	requests chan func()
	stopped  chan struct{}

	core     *quorum.Replica
	store    *store.Store
	applied  quorum.Index
	snapshot quorum.Index
	// snapshotSize is the size of that snapshot; appliedBytes were applied
	// since.
	snapshotSize  int
	appliedBytes  int
	handOverPause int
	lastRole      quorum.Role
	removed       bool
	number        uint64
	commands      map[uint64]*proposal
	unsent        []*proposal
	changes       map[quorum.Index]*change
	reads         readers[M]
	forming       forming
	growth        growth
	learned       map[quorum.ReplicaID]string
	failure       error
}

func (replica *Replica[M]) init() {
	replica.once.Do(func() {
		replica.requests = make(chan func(), requestQueue)
		replica.stopped = make(chan struct{})
		replica.commands = make(map[uint64]*proposal)
		replica.changes = make(map[quorum.Index]*change)
		replica.learned = make(map[quorum.ReplicaID]string)
		replica.reads.groups = make(map[quorum.RequestID]*readGroup[M])
		replica.number = replica.Seed
		if replica.number == 0 {
			replica.number = randomNumber()
		}
		if replica.Tick == 0 {
			replica.Tick = defaultTick
		}
		if replica.ElectionTicks == 0 {
			replica.ElectionTicks = defaultElectionTicks
		}
		if replica.SnapshotEntries == 0 {
			replica.SnapshotEntries = defaultSnapshotEntries
		}
		if replica.HandOverBytes == 0 {
			replica.HandOverBytes = defaultHandOverBytes
		}
	})
}

// randomNumber starts the numbers of a process, so that an answer to an earlier
// process is not taken for one to this.
func randomNumber() uint64 {
	var seed [8]byte
	if _, err := crypto.Read(seed[:]); err != nil {
		return rand.Uint64()
	}
	return binary.LittleEndian.Uint64(seed[:])
}

// open reads the disk and sets up the core.
func (replica *Replica[M]) open() error {
	replica.init()
	replica.store = &store.Store{Disk: replica.Disk}
	found, err := replica.store.Open()
	if err != nil {
		return err
	}
	if found.ID == quorum.None {
		found.ID = replica.newID()
		if err := replica.store.Create(found.ID); err != nil {
			return err
		}
	}
	if found.Snapshot.Index > 0 {
		if err := replica.Machine.Restore(found.Snapshot.Data); err != nil {
			return err
		}
	}
	replica.applied = found.Snapshot.Index
	replica.noteSnapshot(found.Snapshot)
	return replica.start(found)
}

func (replica *Replica[M]) start(found store.Found) error {
	replica.core = &quorum.Replica{
		ID:            found.ID,
		Seed:          replica.number,
		ElectionTicks: replica.ElectionTicks,
		KeptEntries:   replica.KeptEntries,
	}
	if err := replica.core.Start(found.PersistentState); err != nil {
		return fmt.Errorf("start replica %d: %w", found.ID, err)
	}
	replica.info("started at entry %d with snapshot %d", replica.core.Status().LastIndex, found.Snapshot.Index)
	return nil
}

func (replica *Replica[M]) newID() quorum.ReplicaID {
	if replica.NewID != nil {
		return replica.NewID()
	}
	return quorum.ReplicaID(randomNumber()>>1 | 1)
}

func (replica *Replica[M]) nextNumber() uint64 {
	replica.number++
	if replica.number == 0 {
		replica.number++
	}
	return replica.number
}

func (replica *Replica[M]) info(format string, values ...any) {
	if replica.Logger != nil {
		replica.Logger.Info().Msgf("replica: "+format, values...)
	}
}
