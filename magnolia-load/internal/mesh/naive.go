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

// Naive runs a mesh on naive nodes.
type Naive struct {
	links   *link.Map
	seed    uint64
	peers   naive.Peers
	nodes   []*naive.Node
	version uint64
}

// Begin takes what all nodes share.
func (n *Naive) Begin(_ Design, links *link.Map, seed uint64) error {
	n.links, n.seed = links, seed
	n.peers = make(naive.Peers)
	return nil
}

// Add prepares the node of a host.
func (n *Naive) Add(host Host) (Endpoints, error) {
	outbound, err := net.Listen("tcp", loopback)
	if err != nil {
		return Endpoints{}, oops.Wrapf(err, "the naive node %s cannot listen", host.Node)
	}
	inbound, err := net.Listen("tcp", loopback)
	if err != nil {
		return Endpoints{}, oops.Wrapf(err, "the naive node %s cannot listen", host.Node)
	}
	address := inbound.Addr().String()
	n.links.Put(address, host.Place)
	n.peers[host.Service.Name] = append(n.peers[host.Service.Name], address)
	n.nodes = append(n.nodes, &naive.Node{
		Target:      host.Target,
		Outbound:    outbound,
		Inbound:     inbound,
		Peers:       n.peers,
		Connections: host.Service.Connections,
		Dial:        n.links.Dialer(host.Place),
		Seed:        n.seed + uint64(len(n.nodes)),
	})
	return Endpoints{Callers: outbound.Addr().String(), Outbound: outbound.Addr().String()}, nil
}

// Run runs all nodes until the context ends.
func (n *Naive) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range n.nodes {
		group.Go(func() error { return node.Run(ctx) })
	}
	return group.Wait()
}

// Patch writes the next version to one node after the other. The naive nodes
// hold a number and no rules.
func (n *Naive) Patch(context.Context, request.KindName, time.Duration) (PatchTimes, error) {
	begin := time.Now()
	n.version++
	for _, node := range n.nodes {
		node.Configure(n.version)
	}
	took := time.Since(begin)
	return PatchTimes{Commit: took, InForce: took}, nil
}
