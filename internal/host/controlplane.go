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
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

// controlPlane is a replica of the replicated state, and the registry that serves
// nodes from it.
type controlPlane struct {
	host       *Host
	machine    *notifyingMachine
	folder     *disk.Folder
	messenger  *replication.Messenger
	replica    *replica.Replica[*notifyingMachine]
	registry   *registry.Server
	reconciler *reconciler
	quotas     *quotaServer
	// enoughVoters is set once enough replicas vote for commands to be recorded.
	enoughVoters atomic.Bool
	// diskFull is set while a write waits for disk space; only the replica's
	// goroutine uses it.
	diskFull bool
	// stopping is closed when the replica stops.
	stopping chan struct{}
}

// buildControlPlane builds the replica and its registry, if the settings ask for
// a replica.
func (host *Host) buildControlPlane() error {
	if !host.Settings.HoldsReplica() {
		return nil
	}
	plane := &controlPlane{host: host, machine: newNotifyingMachine(), stopping: make(chan struct{})}
	if err := plane.build(); err != nil {
		return err
	}
	host.controlPlane = plane
	host.executeOperation = plane.newOperate()
	host.transport.Handlers[peer.KindQuorum] = plane.messenger.Serve
	host.transport.Handlers[peer.KindRegistry] = plane.registry.Handle
	host.transport.Handlers[peer.KindControl] = (&control.Server{Ledger: plane, Operations: operateFunc(host.operateForPeer), Quotas: plane.quotas}).Serve
	return nil
}

// addControlPlane adds the replica, the registry and the reconciler to the group.
func (host *Host) addControlPlane(ctx context.Context, group *run.Group) {
	if host.controlPlane == nil {
		return
	}
	for _, actor := range []func(context.Context) error{host.controlPlane.runReplica, host.controlPlane.registry.Run, host.controlPlane.reconciler.run} {
		addActor(ctx, group, actor)
	}
}

// addActor adds a function to the group that ends with its context.
func addActor(ctx context.Context, group *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return actor(ctx)
	}, func(error) { cancel() })
}

func (plane *controlPlane) build() error {
	host := plane.host
	plane.folder = &disk.Folder{Directory: host.Settings.DataFolder, OnFull: plane.awaitDiskSpace, OnRecovered: plane.noteDiskSpace}
	if err := plane.folder.Open(); err != nil {
		return err
	}
	plane.messenger = &replication.Messenger{Transport: host.transport}
	plane.replica = &replica.Replica[*notifyingMachine]{
		Machine:       plane.machine,
		Disk:          plane.folder,
		Messenger:     plane.messenger,
		Address:       string(host.Settings.PeerAddress()),
		FailureDomain: string(host.Settings.FailureDomain),
		Logger:        host.Logger,

		Node:           string(host.Settings.Node),
		FormsFromSeeds: host.Settings.Replica.FormsFromSeeds,
		FirstStart:     host.Settings.Replica.FirstStart,
		LostDisks:      host.Settings.Replica.LostDisks,
		Seeds:          plane.seeds,
	}
	if host.Settings.Replica.FormsFromSeeds {
		plane.replica.Peers = plane.seeds()
	}
	for _, member := range host.Settings.Replica.Members {
		plane.replica.Peers = append(plane.replica.Peers, string(member.Address))
	}
	plane.reconciler = &reconciler{plane: plane}
	plane.quotas = &quotaServer{standing: plane.reconciler.standing, granter: quota.Granter{Random: newRandom(), Tolerance: host.quotaTolerance()}}
	plane.registry = &registry.Server{
		Registry:   &membership.Registry{Self: host.Settings.Node},
		Publisher:  &distribution.Publisher{},
		Tracker:    &distribution.Tracker{},
		Others:     plane.otherReplicas(),
		Open:       registry.OpenPeer(host.transport),
		Confirmed:  plane.reconciler.confirmed,
		QuorumLost: plane.reconciler.quorumLost,
		Logger:     host.Logger,
	}
	return nil
}

// diskRetryInterval is the time between two attempts to write to a full disk. A
// group that loses its leader to a full disk has another leader within a second.
const diskRetryInterval = 250 * time.Millisecond

// awaitDiskSpace waits before the next write to a full disk, and returns false if
// the process stops. Meanwhile the replica acknowledges nothing and another one
// leads. The process is not ended, since disk space mostly becomes available
// again and the node would end with it.
func (plane *controlPlane) awaitDiskSpace(err error) bool {
	if !plane.diskFull {
		plane.diskFull = true
		plane.host.Logger.Error().Err(err).Msg("replica: the disk is full; this replica records nothing until space is freed")
	}
	select {
	case <-time.After(diskRetryInterval):
		return true
	case <-plane.stopping:
		return false
	}
}

func (plane *controlPlane) noteDiskSpace() {
	plane.diskFull = false
	plane.host.Logger.Info().Msg("replica: the disk has room again; recording continues")
}

// seeds gives the seed addresses of the current settings.
func (plane *controlPlane) seeds() []string {
	var seeds []string
	for _, seed := range plane.host.currentSettings().SeedAddresses() {
		seeds = append(seeds, string(seed))
	}
	return seeds
}

func (plane *controlPlane) otherReplicas() []registry.Replica {
	var others []registry.Replica
	for _, member := range plane.host.Settings.Replica.Members {
		if member.Node != plane.host.Settings.Node {
			others = append(others, registry.Replica{ID: member.Node, Address: peer.Address(member.Address)})
		}
	}
	return others
}

// runReplica runs the replica. When the replica must stop, the whole process
// ends: a node that went on serving would hide the loss of the replica. The
// messenger sends until the replica has handed over leadership.
func (plane *controlPlane) runReplica(ctx context.Context) error {
	sending, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = plane.messenger.Run(sending) }()
	unregister := context.AfterFunc(ctx, func() { close(plane.stopping) })
	defer unregister()
	err := plane.replica.Run(ctx)
	return errors.Join(err, plane.folder.Close())
}

// newOperate gives the function that answers operator requests from this replica,
// or refuses them if the replica does not have the state of the group.
func (plane *controlPlane) newOperate() operator.OperateFunc {
	service := &operator.Service{Ledger: plane, Directory: plane, Replicas: plane, Now: time.Now}
	return func(ctx context.Context, verb string, body []byte) (int, []byte) {
		answer := plane.unavailableAnswer(ctx)
		if answer != "" {
			return http.StatusServiceUnavailable, []byte(answer)
		}
		return service.Operate(ctx, verb, body)
	}
}

// unavailableAnswer gives the error answer of a replica that must not answer for
// the group, or an empty string. A replica that lost its disk has no log until it
// replaced the lost replica, and the log of a removed replica is outdated.
func (plane *controlPlane) unavailableAnswer(ctx context.Context) string {
	status, err := plane.replica.Status(ctx)
	switch {
	case err != nil:
		return ""
	case status.Removed:
		return replicaRemovedAnswer
	case len(status.Membership.Members) == 0:
		return replicaWithoutLogAnswer
	}
	return ""
}

const (
	replicaRemovedAnswer    = `{"error":"the id of this replica was removed, and its state is outdated: ask another node, and start this host with an empty data folder"}`
	replicaWithoutLogAnswer = `{"error":"this replica has no log: if its disk was lost, ask another node and run magnolia replica replace to replace the lost replica by this one; if no replica has started before, wait until all of them run"}`
)
