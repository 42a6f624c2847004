package mesh

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

// Magnolia runs a mesh on magnoliawall's nodes.
type Magnolia struct {
	links  *link.Map
	ledger *localLedger
	active *node.Active
	nodes  []*member
	views  map[request.ServiceName][]choice.Target
}

// member is one node with its sockets.
type member struct {
	node      *node.Node
	listeners node.Listeners
}

// Begin takes what all nodes share.
func (m *Magnolia) Begin(design Design, links *link.Map, _ uint64) error {
	active, err := node.NewActive(1, design.Text)
	if err != nil {
		return oops.Wrapf(err, "the configuration of the mesh is not accepted")
	}
	m.active, m.links = active, links
	m.ledger = &localLedger{machine: ledger.New()}
	m.views = make(map[request.ServiceName][]choice.Target)
	return nil
}

// Add prepares the node of a host.
func (m *Magnolia) Add(host Host) (Endpoints, error) {
	listeners, err := listenAll()
	if err != nil {
		return Endpoints{}, oops.Wrapf(err, "the node %s cannot listen", host.Node)
	}
	address := listeners.Peers.Addr().String()
	m.links.Put(address, host.Place)
	dial := m.links.Dialer(host.Place)
	made := &node.Node{
		ID:            host.Node,
		Place:         host.Place,
		Service:       host.Service.Name,
		Configuration: node.NewHolder(m.active),
		Chooser:       &choice.Chooser{Self: host.Node, Place: host.Place},
		Transport: &peer.Transport{
			Self: peer.Hello{Node: host.Node, Place: host.Place, Service: host.Service.Name, Incarnation: 1},
			Dial: func(ctx context.Context, address peer.Address) (net.Conn, error) {
				return dial(ctx, "tcp", string(address))
			},
		},
		Claims: m.ledger,
		Target: &web.TargetClient{Address: host.Target, Connections: host.Service.Connections},
	}
	m.nodes = append(m.nodes, &member{node: made, listeners: listeners})
	m.views[host.Service.Name] = append(m.views[host.Service.Name], choice.Target{
		Node:        host.Node,
		Incarnation: 1,
		Address:     address,
		Place:       host.Place,
		Slots:       choice.Slots(host.Service.Slots),
	})
	return Endpoints{
		Callers:  listeners.Callers.Addr().String(),
		Outbound: listeners.Target.Addr().String(),
	}, nil
}

// Run runs all nodes until the context ends.
func (m *Magnolia) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, member := range m.nodes {
		member.node.Prepare()
		for service, targets := range m.views {
			member.node.Chooser.Update(time.Now(), choice.View{Service: service, Targets: targets})
		}
		group.Go(func() error { return member.node.Run(ctx, member.listeners) })
	}
	return group.Wait()
}

// Patch puts the next version in force on one node after the other.
func (m *Magnolia) Patch(_ context.Context, kind request.KindName, deadline time.Duration) (time.Duration, error) {
	operations := fmt.Sprintf(`[{"op": "replace", "path": "%s", "value": %q}]`, deadlinePath(kind), deadline)
	text, err := configuration.Patch(m.active.Text, []byte(operations))
	if err != nil {
		return 0, oops.Wrapf(err, "the patch cannot be applied")
	}
	next, err := node.NewActive(m.active.Version+1, text)
	if err != nil {
		return 0, oops.Wrapf(err, "the patched configuration is not accepted")
	}
	begin := time.Now()
	for _, member := range m.nodes {
		member.node.Configuration.Replace(next)
	}
	m.active = next
	return time.Since(begin), nil
}

func listenAll() (node.Listeners, error) {
	var made [3]net.Listener
	for index := range made {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return node.Listeners{}, err
		}
		made[index] = listener
	}
	return node.Listeners{Callers: made[0], Target: made[1], Peers: made[2]}, nil
}

// deadlinePath gives the JSON pointer to the deadline of a kind.
func deadlinePath(kind request.KindName) string {
	service, short, _ := strings.Cut(string(kind), "/")
	return fmt.Sprintf("/services/%s/kinds/%s/deadline", service, short)
}
