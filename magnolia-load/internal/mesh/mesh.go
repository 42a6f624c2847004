package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	loopback      = "127.0.0.1:0"
	readyLimit    = 60 * time.Second
	readyInterval = 20 * time.Millisecond
)

// Host is one instance of a service and where it runs.
type Host struct {
	Node    request.NodeID
	Place   request.Place
	Service Service
	// Target is the address of the stand-in target.
	Target string
}

// Endpoints are where a node takes the calls of callers, of its target and of
// operators.
type Endpoints struct {
	Callers  string
	Outbound string
	Admin    string
}

// System is a version of the nodes of a mesh.
type System interface {
	// Begin takes what all nodes share.
	Begin(design Design, links *link.Map, seed uint64) error
	// Add prepares the node of a host.
	Add(host Host) (Endpoints, error)
	// Run runs all nodes until the context ends.
	Run(ctx context.Context) error
	// Patch sets the deadline of a kind in the configuration and waits until it
	// is in force on all nodes.
	Patch(ctx context.Context, kind request.KindName, deadline time.Duration) (PatchTimes, error)
}

// PatchTimes tells how long a patch took, from its sending.
type PatchTimes struct {
	// Commit is the time until its acceptance was answered.
	Commit time.Duration
	// InForce is the time until it was in force on all nodes.
	InForce time.Duration
}

// Mesh is a running mesh. Its exported fields are set before Start.
type Mesh struct {
	Design    Design
	System    System
	Seed      uint64
	Latencies link.Latencies
	Records   *target.Records

	targets map[request.ServiceName][]*target.Target
	callers []*load.Caller
	admins  []string
	outer   context.CancelFunc
	inner   context.CancelFunc
	nodes   errgroup.Group
	stands  errgroup.Group
}

// Start brings up all targets and nodes and returns when each entry serves.
func (m *Mesh) Start(ctx context.Context) error {
	if m.Records == nil {
		m.Records = target.NewRecords()
	}
	m.targets = make(map[request.ServiceName][]*target.Target)
	links := link.NewMap(m.Latencies)
	if err := m.System.Begin(m.Design, links, m.Seed); err != nil {
		return err
	}
	standing, stopStands := context.WithCancel(context.WithoutCancel(ctx))
	m.inner = stopStands
	for _, place := range m.Design.Places {
		for _, service := range m.Design.Services {
			if err := m.addHost(standing, links, place, service); err != nil {
				stopStands()
				return err
			}
		}
	}
	serving, stopNodes := context.WithCancel(context.WithoutCancel(ctx))
	m.outer = stopNodes
	m.nodes.Go(func() error { return m.System.Run(serving) })
	if err := m.waitReady(ctx); err != nil {
		return errors.Join(err, m.Stop())
	}
	return nil
}

// Stop ends the nodes and then the targets.
func (m *Mesh) Stop() error {
	m.closeIdle()
	m.outer()
	err := m.nodes.Wait()
	m.inner()
	return errors.Join(err, m.stands.Wait())
}

// closeIdle spares the nodes a wait for connections that never carried a call,
// which net/http ends only after five seconds.
func (m *Mesh) closeIdle() {
	for _, caller := range m.callers {
		caller.Close()
	}
	for _, stands := range m.targets {
		for _, stand := range stands {
			stand.CloseIdle()
		}
	}
}

// Callers gives a caller for each entry node.
func (m *Mesh) Callers() []*load.Caller { return m.callers }

// Admins gives the operators' address of each node.
func (m *Mesh) Admins() []string { return m.admins }

// Targets gives the targets of a service.
func (m *Mesh) Targets(service request.ServiceName) []*target.Target { return m.targets[service] }

// Slow makes the service times of a service factor times longer.
func (m *Mesh) Slow(service request.ServiceName, factor float64) {
	for _, stand := range m.targets[service] {
		stand.Slow(factor)
	}
}

func (m *Mesh) addHost(ctx context.Context, links *link.Map, place request.Place, service Service) error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return oops.Wrapf(err, "the target of %s cannot listen", service.Name)
	}
	host := Host{
		Node:    request.NodeID(fmt.Sprintf("%s-%s", service.Name, place.Domain)),
		Place:   place,
		Service: service,
		Target:  listener.Addr().String(),
	}
	endpoints, err := m.System.Add(host)
	if err != nil {
		return err
	}
	stand := &target.Target{
		Service:     service.Name,
		Listener:    listener,
		Outbound:    endpoints.Outbound,
		Slots:       service.Slots,
		Connections: service.Connections,
		Behaviours:  service.Behaviours,
		Records:     m.Records,
		Seed:        m.Seed + uint64(len(m.callers)),
	}
	m.targets[service.Name] = append(m.targets[service.Name], stand)
	m.stands.Go(func() error { return stand.Run(ctx) })
	caller := &load.Caller{Entry: endpoints.Callers, Dial: links.CallerDialer()}
	caller.Start()
	m.callers = append(m.callers, caller)
	m.admins = append(m.admins, endpoints.Admin)
	return nil
}

// waitReady sends requests of each kind by each entry until one of each is
// answered whole. Each has a key of its own, since a resend with a key gets the
// first answer again.
func (m *Mesh) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	var probes errgroup.Group
	for entry, caller := range m.callers {
		probes.Go(func() error { return m.probe(ctx, entry, caller) })
	}
	return probes.Wait()
}

func (m *Mesh) probe(ctx context.Context, entry int, caller *load.Caller) error {
	for index, kind := range m.Design.Kinds {
		replies := make(map[string]int)
		for count := 0; ; count++ {
			name := fmt.Sprintf("ready-%d-%d-%d-%d", m.Seed, entry, index, count)
			reply := caller.Send(ctx, kind, request.IdempotencyKey(name), target.AttemptName(name))
			if reply.Result == load.Whole {
				break
			}
			if ctx.Err() != nil {
				return oops.Errorf("the mesh does not serve %s by entry %d, %s: its answers were %v", kind.Name, entry, caller.Entry, replies)
			}
			replies[fmt.Sprintf("%s %s %q", reply.Result, reply.Code, reply.Detail)]++
			time.Sleep(readyInterval)
		}
	}
	return nil
}
