package mesh

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

// Naive runs the nodes of the naive version within this process.
type Naive struct {
	topology *link.Topology
	seed     uint64
	peers    naive.Peers
	nodes    []*naive.Node
	version  uint64
}

// Prepare implements [System].
func (system *Naive) Prepare(_ Design, topology *link.Topology, seed uint64) error {
	system.topology, system.seed = topology, seed
	system.peers = make(naive.Peers)
	return nil
}

// AddHost listens for the node of a host.
func (system *Naive) AddHost(host Host) (Endpoints, error) {
	outbound, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return Endpoints{}, oops.Wrapf(err, "listening for the naive node %s", host.Node)
	}
	inbound, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return Endpoints{}, oops.Wrapf(err, "listening for the naive node %s", host.Node)
	}
	address := inbound.Addr().String()
	system.topology.SetPlace(address, host.Place)
	system.peers[host.Service.Name] = append(system.peers[host.Service.Name], address)
	system.nodes = append(system.nodes, &naive.Node{
		Target:      host.TargetAddress,
		Outbound:    outbound,
		Inbound:     inbound,
		Peers:       system.peers,
		Connections: host.Service.MaxConnections,
		Dial:        system.topology.Dialer(host.Place),
		Seed:        system.seed + uint64(len(system.nodes)),
	})
	return Endpoints{Callers: outbound.Addr().String(), Outbound: outbound.Addr().String()}, nil
}

// Run runs all nodes until the context ends.
func (system *Naive) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range system.nodes {
		group.Go(func() error { return node.Run(ctx) })
	}
	return group.Wait()
}

// Patch sets the next version number on one node after the other. Naive nodes have
// no configuration besides that number.
func (system *Naive) Patch(context.Context, request.KindName, time.Duration) (PatchTimes, error) {
	begin := time.Now()
	system.version++
	for _, node := range system.nodes {
		node.Configure(system.version)
	}
	duration := time.Since(begin)
	return PatchTimes{Commit: duration, InForce: duration}, nil
}
