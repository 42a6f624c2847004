// Package registry connects nodes to the replicas of the control state. Over one
// stream from each node to one replica it carries leases, target lists,
// configuration versions, and reports of requests that crash their targets.
//
// A [Server] runs at each replica and subscribes to the other replicas. A
// [Client] runs at each node. It keeps a stream to the nearest replica that it
// can reach and returns to the first one of its list when that is reachable
// again. It leaves a replica that has lost its quorum if another one has a quorum.
// While it reaches none, its target lists and its configuration stay in force.
//
// Server and Client each run their state on one goroutine, an event loop in Run.
// The other methods may be called from any goroutine: they hand a function to
// the loop and wait for it, and return [ErrStopped] after Run has ended. Each
// link has one goroutine that reads and one that writes a bounded queue.
//
// # Usage
//
//	server := &registry.Server{Registry: cores, Publisher: publisher, Tracker: tracker, Open: registry.OpenPeer(transport)}
//	transport.Handlers[peer.KindRegistry] = server.Handle
//	go server.Run(ctx)
//
//	client := &registry.Client{
//		Self:     announcement,
//		Services: services,
//		Replicas: peer.NewDirectory("127.0.0.1:7001"),
//		Open:     registry.OpenPeer(transport),
//		Follower: &distribution.Follower{Patch: ledger.ApplyDelta},
//		Events:   registry.Events{Targets: loadBalancer.Update},
//	}
//	go client.Run(ctx)
//	client.SetState(ctx, membership.Draining)
//	client.Leave(ctx)
package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// openTimeout bounds the wait for a connection to one replica, since others may
// be reachable.
const openTimeout = 500 * time.Millisecond

// DefaultNearestRetryInterval is used if NearestRetryInterval is zero.
const DefaultNearestRetryInterval = 30 * time.Second

// Client registers one node with a replica and follows its target lists and
// configuration versions. The exported fields are set before Run.
type Client struct {
	// Self is the first announcement. Its Incarnation must be higher than that of
	// earlier starts of the node.
	Self membership.Announcement
	// Services are those whose target lists the node subscribes to.
	Services []request.ServiceName
	// Replicas lists all replicas, nearest first. It is updated with the addresses
	// that a replica sends.
	Replicas *peer.Directory
	Open     OpenFunc
	Follower *distribution.Follower
	Events   Events
	// Links meters what the node sends to other regions; nil disables metering.
	Links *balancer.Links
	// RestrictedTarget returns the restriction that the node's target states, or nil. It
	// may itself be nil.
	RestrictedTarget func(now time.Time) *distribution.RestrictedTarget
	// NearestRetryInterval is the mean interval at which a node connected to another
	// replica tries the nearest one again. Each wait is drawn uniformly between half
	// and one and a half times the interval.
	NearestRetryInterval time.Duration
	// Clock and Ticks default to [time.Now] and a ticker of [TickInterval].
	Clock  func() time.Time
	Ticks  <-chan time.Time
	Random *rand.Rand
	Logger *log.Logger

	agent    agent
	loop     loop
	selector selector
	// writer sends to the replica that the node is registered with, or is nil.
	writer *writer
}

// Run keeps a stream to a replica until the context ends. It returns nil then.
func (client *Client) Run(ctx context.Context) error {
	client.loop.prepare()
	setClockDefaults(&client.Clock, &client.Random)
	ticks, stop := newTicker(client.Ticks)
	defer stop()
	if client.Self.Sequence == 0 {
		client.Self.Sequence = 1
	}
	if client.NearestRetryInterval == 0 {
		client.NearestRetryInterval = DefaultNearestRetryInterval
	}
	client.selector = selector{nearestRetryInterval: client.NearestRetryInterval, random: client.Random}
	client.agent = agent{self: client.Self, replicas: client.Replicas, view: &membership.View{Services: client.Services}, follower: client.Follower, events: client.Events, links: client.Links, restrictedTarget: client.RestrictedTarget}
	client.connect(ctx, client.Clock())
	err := client.loop.run(ctx, client.Clock, ticks, func(now time.Time) { client.tick(ctx, now) })
	if client.writer != nil {
		client.writer.finish()
	}
	return err
}

// SetState announces a new state of the target. A cold target is announced as ready
// after [balancer.DefaultWarmupTime] without another call. Draining is final.
func (client *Client) SetState(ctx context.Context, state membership.State) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) { client.send(client.agent.setState(now, state)) })
}

// SetSlots announces a new number of slots.
func (client *Client) SetSlots(ctx context.Context, slots membership.Slots) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) { client.send(client.agent.setSlots(slots)) })
}

// SetTarget announces the service, the number of slots and the state of the local
// target. It has no effect once the target is draining.
func (client *Client) SetTarget(ctx context.Context, service request.ServiceName, slots membership.Slots, state membership.State) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) { client.send(client.agent.setTarget(now, service, slots, state)) })
}

// SetServices replaces the services whose target lists the node subscribes to.
func (client *Client) SetServices(ctx context.Context, services []request.ServiceName) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) {
		client.agent.view.Services = services
		client.send(&pb.Request{Subscribe: encodeSubscription(client.agent.view.Subscription())})
	})
}

// Report sends reports of crashing requests to all nodes. Call it before Change
// announces that the target is down, so that nodes know the suspect requests
// before they see the target gone.
func (client *Client) Report(ctx context.Context, reports ...quarantine.Report) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) { client.send(client.agent.report(now, reports)) })
}

// ObserveVersion records the configuration version that a peer has in force. If the
// replica does not deliver that version soon, the client switches to the next
// replica.
func (client *Client) ObserveVersion(ctx context.Context, number configuration.Version) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) { client.Follower.NoteVersion(number) })
}

// ReplicaWithoutQuorum reports whether the node is registered with a replica that has lost
// its quorum.
func (client *Client) ReplicaWithoutQuorum(ctx context.Context) (bool, error) {
	client.loop.prepare()
	var lost bool
	err := client.loop.do(ctx, func(time.Time) { lost = client.agent.attached && client.agent.quorumLost })
	return lost, err
}

// Leave releases the lease before a planned stop. The client does not reconnect
// within the next hour.
func (client *Client) Leave(ctx context.Context) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) {
		client.send(&pb.Request{Leave: true})
		if client.writer != nil {
			client.writer.finish()
		}
		client.selector.pauseUntil(now.Add(time.Hour))
		client.detach()
	})
}

func (client *Client) tick(ctx context.Context, now time.Time) {
	client.send(client.agent.tick(now))
	if client.agent.replicaUnresponsive(now) {
		client.warn("registry: the replica does not answer; switching to the next one")
		client.switchReplica()
	}
	if client.agent.replicaOutdated(now) && len(client.Replicas.List()) > 1 {
		client.warn("registry: the replica lacks a configuration version that is in force at a peer; switching to the next one")
		client.switchReplica()
	}
	client.connect(ctx, now)
}

// switchReplica closes the stream to the current replica and selects the next one.
func (client *Client) switchReplica() {
	client.writer.finish()
	client.detach()
	client.selector.abandon(client.Replicas.List())
}

// connect opens a stream to the replica that is to be tried now, if any.
func (client *Client) connect(ctx context.Context, now time.Time) {
	if address, due := client.selector.next(now, client.Replicas.List()); due {
		client.open(ctx, address)
	}
}

// open opens a stream to a replica. A registered node moves to it only after an inquiry.
func (client *Client) open(ctx context.Context, address peer.Address) {
	asks := client.selector.registered
	go func() {
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		link, err := client.Open(openCtx, address)
		lost := false
		if err == nil && asks {
			lost, err = inquire(openCtx, link)
		}
		cancel()
		loopErr := client.loop.do(ctx, func(now time.Time) {
			client.finishOpen(ctx, now, link, address, lost, err)
		})
		if loopErr != nil && link != nil {
			_ = link.Close()
		}
	}()
}

// inquire asks a replica whether it has lost its quorum. It closes the link if the replica
// does not answer before the context ends.
func inquire(ctx context.Context, link Link) (lost bool, err error) {
	unregister := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer unregister()
	if err := link.Send(&pb.Request{Inquire: true}); err != nil {
		return false, err
	}
	reply := &pb.Reply{}
	for reply.GetQuorum() == nil {
		reply.Reset()
		if err := link.Receive(reply); err != nil {
			return false, err
		}
	}
	return reply.GetQuorum().GetLost(), nil
}

func (client *Client) finishOpen(ctx context.Context, now time.Time, link Link, address peer.Address, lost bool, err error) {
	switch {
	case err != nil:
		client.openFailed(now, address, err)
	case client.selector.accepts(now, address, lost, client.Replicas.List()):
		client.attach(ctx, now, link, address)
		return
	}
	if lost {
		client.logReplica(address, nil, "registry: the replica that was asked has lost its quorum too")
	}
	if link != nil {
		_ = link.Close()
	}
}

// openFailed selects the next replica, and backs off once all have been tried.
func (client *Client) openFailed(now time.Time, address peer.Address, err error) {
	if client.selector.registered {
		client.logReplica(address, err, "registry: the replica that was asked for its quorum gave no answer")
	} else {
		client.logReplica(address, err, "registry: the replica is not reachable; trying the next one")
	}
	if client.selector.fail(now, client.Replicas.List()) {
		client.warn("registry: no replica is reachable; the last target lists stay in force")
	}
}

func (client *Client) attach(ctx context.Context, now time.Time, link Link, address peer.Address) {
	if client.writer != nil {
		client.writer.finish()
	}
	output := newWriter(link)
	client.writer = output
	client.selector.register(now, address, client.Replicas.List())
	client.logReplica(address, nil, "registry: registers with a replica")
	client.send(client.agent.attach(now, address))
	go client.read(ctx, link, output)
}

func (client *Client) read(ctx context.Context, link Link, output *writer) {
	var streamErr error
	for {
		reply := &pb.Reply{}
		if streamErr = link.Receive(reply); streamErr != nil {
			break
		}
		err := client.loop.do(ctx, func(now time.Time) {
			if client.writer == output {
				client.send(client.agent.receive(now, reply))
				client.moveToNearest(now)
				client.noteQuorum(now)
			}
		})
		if err != nil {
			break
		}
	}
	output.finish()
	_ = client.loop.do(context.WithoutCancel(ctx), func(now time.Time) {
		if client.writer != output {
			return
		}
		client.logReplica(client.selector.address, streamErr, "registry: the stream to the replica ended")
		client.detach()
		client.selector.lose(now)
	})
}

// moveToNearest lets the selector know that the replicas have become known, or that
// others are members.
func (client *Client) moveToNearest(now time.Time) {
	if client.agent.replicasChanged {
		client.agent.replicasChanged = false
		client.selector.moveToNearest(now)
	}
}

// noteQuorum lets the selector know what the replica reports about its quorum.
func (client *Client) noteQuorum(now time.Time) {
	lost := client.agent.quorumLost
	if lost && !client.selector.quorumLost {
		client.warn("registry: the replica has lost its quorum and may lack versions; asking the others")
	}
	client.selector.noteQuorum(now, lost)
}

func (client *Client) detach() {
	client.writer = nil
	client.agent.attached = false
}

func (client *Client) send(message *pb.Request) {
	if message != nil && client.writer != nil {
		_ = client.writer.send(message)
	}
}

// logReplica logs an event at a replica; err may be nil.
func (client *Client) logReplica(replica peer.Address, err error, text string) {
	if client.Logger == nil {
		return
	}
	entry := client.Logger.Info().Str("node", string(client.Self.Node)).Str("replica", string(replica))
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg(text)
}

func (client *Client) warn(text string) {
	if client.Logger != nil {
		client.Logger.Warn().Str("node", string(client.Self.Node)).Msg(text)
	}
}
