package host

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/disk"
	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/registry"
	"github.com/magnoliawall/magnoliawall/internal/adapter/replication"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

// seat is the part of a host that holds a replica of the control state.
type seat struct {
	host      *Host
	machine   *watchedMachine
	folder    *disk.Folder
	messenger *replication.Messenger
	replica   *replica.Replica[*watchedMachine]
	registry  *registry.Server
	keeper    *keeper
	// enough says that enough replicas vote for anything to be recorded.
	enough atomic.Bool
	// full says that a write waits for room on the disk; it belongs to the
	// replica's goroutine.
	full bool
	// ending is closed when the replica stops.
	ending chan struct{}
}

// buildReplica makes a replica, where the settings name one.
func (ho *Host) buildReplica() error {
	if !ho.Settings.HoldsReplica() {
		return nil
	}
	se := &seat{host: ho, machine: newWatchedMachine(), ending: make(chan struct{})}
	if err := se.build(); err != nil {
		return err
	}
	ho.seat = se
	ho.operations = se.operations()
	ho.transport.Handlers[peer.KindQuorum] = se.messenger.Serve
	ho.transport.Handlers[peer.KindRegistry] = se.registry.Handle
	ho.transport.Handlers[peer.KindControl] = (&control.Server{Ledger: se, Operations: operations(ho.operateHere)}).Serve
	return nil
}

// addReplica joins the replica to the run.
func (ho *Host) addReplica(ctx context.Context, group *run.Group) {
	if ho.seat == nil {
		return
	}
	for _, part := range []func(context.Context) error{ho.seat.runReplica, ho.seat.registry.Run, ho.seat.keeper.run} {
		add(ctx, group, part)
	}
}

// add joins a part that ends with its context to the run.
func add(ctx context.Context, group *run.Group, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return part(ctx)
	}, func(error) { cancel() })
}

func (se *seat) build() error {
	ho := se.host
	se.folder = &disk.Folder{Directory: ho.Settings.DataFolder, Full: se.awaitRoom, Room: se.hasRoom}
	if err := se.folder.Open(); err != nil {
		return err
	}
	se.messenger = &replication.Messenger{Transport: ho.transport}
	se.replica = &replica.Replica[*watchedMachine]{
		Machine:       se.machine,
		Disk:          se.folder,
		Messenger:     se.messenger,
		Address:       string(ho.Settings.PeerAddress()),
		FailureDomain: string(ho.Settings.FailureDomain),
		Logger:        ho.Logger,

		Node:           string(ho.Settings.Node),
		FormsFromSeeds: ho.Settings.Replica.FormsFromSeeds,
		FirstStart:     ho.Settings.Replica.FirstStart,
		LostDisks:      ho.Settings.Replica.LostDisks,
		Seeds:          se.seeds,
	}
	if ho.Settings.Replica.FormsFromSeeds {
		se.replica.Peers = se.seeds()
	}
	for _, member := range ho.Settings.Replica.Members {
		se.replica.Peers = append(se.replica.Peers, string(member.Address))
	}
	se.keeper = &keeper{seat: se}
	se.registry = &registry.Server{
		Registry:  &membership.Registry{Self: ho.Settings.Node},
		Publisher: &distribution.Publisher{},
		Tracker:   &distribution.Tracker{},
		Others:    se.others(),
		Open:      registry.OpenPeer(ho.transport),
		Confirmed: se.keeper.confirmed,
		Logger:    ho.Logger,
	}
	return nil
}

// roomInterval is the time between two tries to write to a disk without room;
// a group that lost its leader to one has another within a second.
const roomInterval = 250 * time.Millisecond

// awaitRoom waits while the disk is full, unless the process stops. Meanwhile the
// replica acknowledges nothing, and another one leads: a full disk mostly gets
// room again, and an end of the process would take the node with it.
func (se *seat) awaitRoom(err error) bool {
	if !se.full {
		se.full = true
		se.host.Logger.Error().Err(err).Msg("replica: the disk is full, nothing is recorded here until it has room: free some")
	}
	select {
	case <-time.After(roomInterval):
		return true
	case <-se.ending:
		return false
	}
}

func (se *seat) hasRoom() {
	se.full = false
	se.host.Logger.Info().Msg("replica: the disk has room again")
}

// seeds gives the peer addresses that the settings name, as they are now.
func (se *seat) seeds() []string {
	var seeds []string
	for _, seed := range se.host.settingsNow().SeedAddresses() {
		seeds = append(seeds, string(seed))
	}
	return seeds
}

func (se *seat) others() []registry.Replica {
	var others []registry.Replica
	for _, member := range se.host.Settings.Replica.Members {
		if member.Node != se.host.Settings.Node {
			others = append(others, registry.Replica{ID: member.Node, Address: peer.Address(member.Address)})
		}
	}
	return others
}

// runReplica ends the whole process when the replica must stop: a node that
// served on would hide the lost replica. Messages go out until the replica has
// handed over its lead.
func (se *seat) runReplica(ctx context.Context) error {
	sending, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = se.messenger.Run(sending) }()
	ending := context.AfterFunc(ctx, func() { close(se.ending) })
	defer ending()
	err := se.replica.Run(ctx)
	return errors.Join(err, se.folder.Close())
}

// operations answers operators from this replica, if it knows the state of
// the site.
func (se *seat) operations() operator.Operate {
	service := &operator.Service{Ledger: se, Directory: se, Replicas: se, Now: time.Now}
	return func(ctx context.Context, verb string, body []byte) (int, []byte) {
		why := se.knowsNothing(ctx)
		if why != "" {
			return http.StatusServiceUnavailable, []byte(why)
		}
		return service.Operate(ctx, verb, body)
	}
}

// knowsNothing gives the answer of a replica that must not speak for the site,
// or nothing: one whose disk was lost has no log until it takes the place of
// the lost one, and one that was removed has an old log.
func (se *seat) knowsNothing(ctx context.Context) string {
	status, err := se.replica.Status(ctx)
	switch {
	case err != nil:
		return ""
	case status.Removed:
		return wasRemoved
	case len(status.Membership.Members) == 0:
		return noLogYet
	}
	return ""
}

const (
	wasRemoved = `{"error":"the id of this replica was removed, it knows nothing of what came after: ask another node, and start this host with an empty data folder"}`
	noLogYet   = `{"error":"this replica has no log: if its disk was lost, ask another node and put it in the place of the lost replica by magnolia replica replace; if the site is new, wait until all replicas run"}`
)
