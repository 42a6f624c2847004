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
}

// Patcher is a system whose configuration a measurement changes.
type Patcher interface {
	System
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
func (mesh *Mesh) Start(ctx context.Context) error {
	if mesh.Records == nil {
		mesh.Records = target.NewRecords()
	}
	mesh.targets = make(map[request.ServiceName][]*target.Target)
	links := link.NewMap(mesh.Latencies)
	if err := mesh.System.Begin(mesh.Design, links, mesh.Seed); err != nil {
		return err
	}
	standing, stopStands := context.WithCancel(context.WithoutCancel(ctx))
	mesh.inner = stopStands
	for _, place := range mesh.Design.Places {
		for _, service := range mesh.Design.Services {
			if err := mesh.addHost(standing, links, place, service); err != nil {
				stopStands()
				return err
			}
		}
	}
	serving, stopNodes := context.WithCancel(context.WithoutCancel(ctx))
	mesh.outer = stopNodes
	mesh.nodes.Go(func() error { return mesh.System.Run(serving) })
	if err := mesh.waitReady(ctx); err != nil {
		return errors.Join(err, mesh.Stop())
	}
	return nil
}

// Stop ends the nodes and then the targets.
func (mesh *Mesh) Stop() error {
	mesh.closeIdle()
	mesh.outer()
	err := mesh.nodes.Wait()
	mesh.inner()
	return errors.Join(err, mesh.stands.Wait())
}

// closeIdle spares the nodes a wait for connections that never carried a call,
// which net/http ends only after five seconds.
func (mesh *Mesh) closeIdle() {
	for _, caller := range mesh.callers {
		caller.Close()
	}
	for _, stands := range mesh.targets {
		for _, stand := range stands {
			stand.CloseIdle()
		}
	}
}

// Callers gives a caller for each entry node.
func (mesh *Mesh) Callers() []*load.Caller { return mesh.callers }

// Admins gives the operators' address of each node.
func (mesh *Mesh) Admins() []string { return mesh.admins }

// Targets gives the targets of a service.
func (mesh *Mesh) Targets(service request.ServiceName) []*target.Target { return mesh.targets[service] }

// Slow makes the service times of a service factor times longer.
func (mesh *Mesh) Slow(service request.ServiceName, factor float64) {
	for _, stand := range mesh.targets[service] {
		stand.Slow(factor)
	}
}

func (mesh *Mesh) addHost(ctx context.Context, links *link.Map, place request.Place, service Service) error {
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
	endpoints, err := mesh.System.Add(host)
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
		Records:     mesh.Records,
		Seed:        mesh.Seed + uint64(len(mesh.callers)),
	}
	mesh.targets[service.Name] = append(mesh.targets[service.Name], stand)
	mesh.stands.Go(func() error { return stand.Run(ctx) })
	caller := &load.Caller{Entry: endpoints.Callers, Dial: links.CallerDialer()}
	caller.Start()
	mesh.callers = append(mesh.callers, caller)
	mesh.admins = append(mesh.admins, endpoints.Admin)
	return nil
}

// waitReady sends requests of each kind by each entry until one of each is
// answered whole. Each has a key of its own, since a resend with a key gets the
// first answer again.
func (mesh *Mesh) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	var probes errgroup.Group
	for entry, caller := range mesh.callers {
		probes.Go(func() error { return mesh.probe(ctx, entry, caller) })
	}
	return probes.Wait()
}

func (mesh *Mesh) probe(ctx context.Context, entry int, caller *load.Caller) error {
	for index, kind := range mesh.Design.Kinds {
		replies := make(map[string]int)
		for count := 0; ; count++ {
			name := fmt.Sprintf("ready-%d-%d-%d-%d", mesh.Seed, entry, index, count)
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
