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
	loopbackAnyPort    = "127.0.0.1:0"
	readyTimeout       = 60 * time.Second
	readyProbeInterval = 20 * time.Millisecond
)

// Host is one target of a service, the node beside it, and their place.
type Host struct {
	Node    request.NodeID
	Place   request.Place
	Service Service
	// TargetAddress is the address of the stand-in target.
	TargetAddress string
}

// Endpoints are the addresses of a node for callers, for calls of its target, and
// for operators.
type Endpoints struct {
	Callers  string
	Outbound string
	Admin    string
}

// System provides the nodes of a mesh. A mesh calls Prepare, then AddHost for each
// host, then Run.
type System interface {
	// Prepare receives what all nodes share.
	Prepare(design Design, topology *link.Topology, seed uint64) error
	// AddHost creates the node of a host, which starts to serve in Run.
	AddHost(host Host) (Endpoints, error)
	// Run runs all nodes until the context ends.
	Run(ctx context.Context) error
}

// Patcher is a system whose configuration can be patched.
type Patcher interface {
	System
	// Patch sets the deadline of a kind in the configuration and waits until it
	// is in force on all nodes.
	Patch(ctx context.Context, kind request.KindName, deadline time.Duration) (PatchTimes, error)
}

// PatchTimes holds durations since a patch was sent.
type PatchTimes struct {
	// Commit is the time until the response that accepted it.
	Commit time.Duration
	// InForce is the time until it was in force on all nodes.
	InForce time.Duration
}

// Mesh is a set of stand-in targets and the nodes beside them. Its exported fields
// are set before Start.
type Mesh struct {
	Design    Design
	System    System
	Seed      uint64
	Latencies link.Latencies
	Records   *target.Records

	targets        map[request.ServiceName][]*target.Target
	hostTargets    []*target.Target
	callers        []*load.Caller
	adminAddresses []string
	stopNodes      context.CancelFunc
	stopTargets    context.CancelFunc
	nodeGroup      errgroup.Group
	targetGroup    errgroup.Group
}

// Start starts all targets and nodes, and returns when each entry node serves all
// kinds. It returns an error if that takes more than a minute.
func (mesh *Mesh) Start(ctx context.Context) error {
	if mesh.Records == nil {
		mesh.Records = target.NewRecords()
	}
	mesh.targets = make(map[request.ServiceName][]*target.Target)
	topology := link.NewTopology(mesh.Latencies)
	if err := mesh.System.Prepare(mesh.Design, topology, mesh.Seed); err != nil {
		return err
	}
	targetsCtx, stopTargets := context.WithCancel(context.WithoutCancel(ctx))
	mesh.stopTargets = stopTargets
	for index, place := range mesh.Design.Places {
		for _, service := range mesh.Design.servicesAt(index) {
			if err := mesh.addHost(targetsCtx, topology, place, service); err != nil {
				stopTargets()
				return err
			}
		}
	}
	nodesCtx, stopNodes := context.WithCancel(context.WithoutCancel(ctx))
	mesh.stopNodes = stopNodes
	mesh.nodeGroup.Go(func() error { return mesh.System.Run(nodesCtx) })
	if err := mesh.waitReady(ctx); err != nil {
		return errors.Join(err, mesh.Stop())
	}
	return nil
}

// Stop stops the nodes and then the targets.
func (mesh *Mesh) Stop() error {
	mesh.closeIdleConnections()
	mesh.stopNodes()
	err := mesh.nodeGroup.Wait()
	mesh.stopTargets()
	return errors.Join(err, mesh.targetGroup.Wait())
}

// closeIdleConnections keeps the nodes from waiting for connections that never
// carried a request, which net/http closes only after five seconds.
func (mesh *Mesh) closeIdleConnections() {
	for _, caller := range mesh.callers {
		caller.Close()
	}
	for _, targets := range mesh.targets {
		for _, instance := range targets {
			instance.CloseIdleConnections()
		}
	}
}

// Callers returns a caller for each entry node.
func (mesh *Mesh) Callers() []*load.Caller { return mesh.callers }

// AdminAddresses returns each node's address for operators.
func (mesh *Mesh) AdminAddresses() []string { return mesh.adminAddresses }

// Targets returns the targets of a service.
func (mesh *Mesh) Targets(service request.ServiceName) []*target.Target { return mesh.targets[service] }

// HostTargets returns the target of each host, in the order in which hosts were added.
func (mesh *Mesh) HostTargets() []*target.Target { return mesh.hostTargets }

// SetSlowdown multiplies the service times of a service by a factor.
func (mesh *Mesh) SetSlowdown(service request.ServiceName, factor float64) {
	for _, instance := range mesh.targets[service] {
		instance.SetSlowdown(factor)
	}
}

func (mesh *Mesh) addHost(ctx context.Context, topology *link.Topology, place request.Place, service Service) error {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return oops.Wrapf(err, "listening for the target of %s", service.Name)
	}
	host := Host{
		Node:          request.NodeID(fmt.Sprintf("%s-%s", service.Name, place.Domain)),
		Place:         place,
		Service:       service,
		TargetAddress: listener.Addr().String(),
	}
	endpoints, err := mesh.System.AddHost(host)
	if err != nil {
		return err
	}
	instance := &target.Target{
		Service:         service.Name,
		Listener:        listener,
		OutboundAddress: endpoints.Outbound,
		Slots:           service.Slots,
		MaxConnections:  service.MaxConnections,
		Behaviours:      service.Behaviours,
		Records:         mesh.Records,
		Seed:            mesh.Seed + uint64(len(mesh.callers)),
	}
	mesh.targets[service.Name] = append(mesh.targets[service.Name], instance)
	mesh.hostTargets = append(mesh.hostTargets, instance)
	mesh.targetGroup.Go(func() error { return instance.Run(ctx) })
	caller := &load.Caller{EntryAddress: endpoints.Callers, Dial: topology.CallerDialer()}
	caller.Start()
	mesh.callers = append(mesh.callers, caller)
	mesh.adminAddresses = append(mesh.adminAddresses, endpoints.Admin)
	return nil
}

// waitReady sends requests of each kind to each entry node until one of each got a
// complete answer. Each request has its own key, since a repeated key returns the
// first answer.
func (mesh *Mesh) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var probes errgroup.Group
	for entry, caller := range mesh.callers {
		probes.Go(func() error { return mesh.waitEntryReady(ctx, entry, caller) })
	}
	return probes.Wait()
}

func (mesh *Mesh) waitEntryReady(ctx context.Context, entry int, caller *load.Caller) error {
	for index, kind := range mesh.Design.Kinds {
		failures := make(map[string]int)
		for count := 0; ; count++ {
			name := fmt.Sprintf("ready-%d-%d-%d-%d", mesh.Seed, entry, index, count)
			reply := caller.Send(ctx, kind, request.IdempotencyKey(name), target.AttemptName(name))
			if reply.Result == load.ResultWhole {
				break
			}
			if ctx.Err() != nil {
				return oops.Errorf("the mesh does not serve %s at entry node %d (%s) in time; failed attempts by result: %v", kind.Name, entry, caller.EntryAddress, failures)
			}
			failures[fmt.Sprintf("%s %s %q", reply.Result, reply.Code, reply.Detail)]++
			time.Sleep(readyProbeInterval)
		}
	}
	return nil
}
