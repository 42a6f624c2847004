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
	defaultTickInterval          = 50 * time.Millisecond
	defaultElectionTicks         = 10
	defaultSnapshotEntries       = 10_000
	defaultSnapshotBytes         = 1 << 20
	defaultTransferSnapshotBytes = 4 << 20
	requestQueueLength           = 1024
	// maxBatchInputs bounds the inputs that are processed with one sync.
	maxBatchInputs = 4096
)

// Machine is the state machine that the log drives. It must be deterministic: the
// same commands in the same order give the same state on every replica. Applying a
// command twice must have the effect of applying it once.
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
	// Address is the address at which other replicas reach this one.
	Address       string
	FailureDomain string
	// Node is the id of the node on this replica's host.
	Node string
	// Peers are the addresses of all initial replicas, including this one.
	Peers []string
	// FormsFromSeeds makes the group manage its members itself. Peers are then the
	// seeds, which need not include this replica; they create the log at the
	// FirstStart of the cluster, and the leader adds each other replica that asks.
	FormsFromSeeds bool
	FirstStart     bool
	// LostDisks is the number of disks that may be lost at the same time.
	LostDisks int
	// Seeds gives the current seeds; nil means Peers.
	Seeds func() []string
	// Tick is the interval of ticks. An election timeout is ElectionTicks to
	// 2*ElectionTicks ticks.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotEntries and SnapshotBytes are the number and the size of the entries
	// applied since the last snapshot from which the next one is due. The size of the
	// entries must also reach that of the last snapshot.
	SnapshotEntries int
	SnapshotBytes   int
	// TransferSnapshotBytes is the size of the last snapshot from which a leader
	// transfers leadership before it takes the next one.
	TransferSnapshotBytes int
	// KeptEntries is the number of entries before a snapshot kept for followers.
	KeptEntries int
	// NewID gives the id for an empty disk; nil means a random id.
	NewID func() quorum.ReplicaID
	// Seed is the start of the request numbers and the seed of the election
	// timeouts. It must differ between processes; zero means a random seed.
	Seed uint64
	// Ticks replaces the replica's own ticker; nil means a ticker of Tick.
	Ticks  <-chan time.Time
	Logger *log.Logger

	once     sync.Once
	requests chan func()
	stopped  chan struct{}

	core          *quorum.Replica
	store         *store.Store
	appliedIndex  quorum.Index
	snapshotIndex quorum.Index
	// snapshotSize is the size in bytes of that snapshot, and appliedBytes the size
	// of the entries applied since.
	snapshotSize       int
	appliedBytes       int
	transferPauseTicks int
	loggedRole         quorum.Role
	removalLogged      bool
	lastNumber         uint64
	sentProposals      map[uint64]*proposal
	unsentProposals    []*proposal
	pendingChanges     map[quorum.Index]*change
	reads              readQueue[M]
	bootstrap          bootstrapState
	membership         membershipState
	senderAddresses    map[quorum.ReplicaID]string
	failure            error
}

func (replica *Replica[M]) init() {
	replica.once.Do(func() {
		replica.requests = make(chan func(), requestQueueLength)
		replica.stopped = make(chan struct{})
		replica.sentProposals = make(map[uint64]*proposal)
		replica.pendingChanges = make(map[quorum.Index]*change)
		replica.senderAddresses = make(map[quorum.ReplicaID]string)
		replica.reads.groups = make(map[quorum.RequestID]*readGroup[M])
		replica.lastNumber = replica.Seed
		if replica.lastNumber == 0 {
			replica.lastNumber = randomNumber()
		}
		if replica.Tick == 0 {
			replica.Tick = defaultTickInterval
		}
		if replica.ElectionTicks == 0 {
			replica.ElectionTicks = defaultElectionTicks
		}
		if replica.SnapshotEntries == 0 {
			replica.SnapshotEntries = defaultSnapshotEntries
		}
		if replica.SnapshotBytes == 0 {
			replica.SnapshotBytes = defaultSnapshotBytes
		}
		if replica.TransferSnapshotBytes == 0 {
			replica.TransferSnapshotBytes = defaultTransferSnapshotBytes
		}
	})
}

// randomNumber gives the first request number of a process, so that an answer to an
// earlier process is not taken for one to this process.
func randomNumber() uint64 {
	var seed [8]byte
	if _, err := crypto.Read(seed[:]); err != nil {
		return rand.Uint64()
	}
	return binary.LittleEndian.Uint64(seed[:])
}

// open reads the disk and starts the core.
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
	replica.appliedIndex = found.Snapshot.Index
	replica.recordSnapshot(found.Snapshot)
	return replica.startCore(found)
}

func (replica *Replica[M]) startCore(found store.Recovered) error {
	replica.core = &quorum.Replica{
		ID:            found.ID,
		Seed:          replica.lastNumber,
		ElectionTicks: replica.ElectionTicks,
		KeptEntries:   replica.KeptEntries,
	}
	if err := replica.core.Start(found.PersistentState); err != nil {
		return fmt.Errorf("start replica %d: %w", found.ID, err)
	}
	replica.logInfo("started at entry %d with the snapshot at entry %d", replica.core.Status().LastIndex, found.Snapshot.Index)
	return nil
}

func (replica *Replica[M]) newID() quorum.ReplicaID {
	if replica.NewID != nil {
		return replica.NewID()
	}
	return quorum.ReplicaID(randomNumber()>>1 | 1)
}

func (replica *Replica[M]) nextNumber() uint64 {
	replica.lastNumber++
	if replica.lastNumber == 0 {
		replica.lastNumber++
	}
	return replica.lastNumber
}

func (replica *Replica[M]) logInfo(format string, values ...any) {
	if replica.Logger != nil {
		replica.Logger.Info().Msgf("replica: "+format, values...)
	}
}
