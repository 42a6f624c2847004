// Package registry joins nodes to replicas: leases and lists of targets,
// versions of the configuration, and reports of crashing requests, all over
// one stream from each node to one replica.
//
// A [Server] runs at each replica and joins the other replicas. A [Client] runs
// at each node; it keeps a stream to the nearest replica that it reaches, comes
// back to the first one when that is in reach again, and keeps its lists and
// its configuration while it reaches none. Both run their control state on one
// goroutine.
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
//		Replicas: peer.At("127.0.0.1:7001"),
//		Open:     registry.OpenPeer(transport),
//		Follower: &spread.Follower{Patch: configuration.Patch},
//		Events:   registry.Events{Targets: chooser.Update},
//	}
//	go client.Run(ctx)
//	client.Change(ctx, membership.Draining)
//	client.Leave(ctx)
package registry

import (
	"context"
	"math/rand/v2"
	"slices"
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

// openTimeout bounds the wait for a connection to one replica while others may
// be in reach.
const openTimeout = 500 * time.Millisecond

// DefaultHomeInterval is what a zero HomeInterval stands for.
const DefaultHomeInterval = 30 * time.Second

// Client is the registry's side at one node. The exported fields are set
// before Run.
type Client struct {
	// Self is the first announcement; its Incarnation is above that of earlier
	// starts.
	Self membership.Announcement
	// Services are those whose targets the node wants to know.
	Services []request.ServiceName
	// Replicas lists all replicas, nearest first. It learns of new ones.
	Replicas *peer.Directory
	Open     Open
	Follower *distribution.Follower
	Events   Events
	// Links meters what the node sends to other regions; nil meters nothing.
	Links *balancer.Links
	// HomeInterval is how often a node that holds its lease with another replica
	// tries the nearest one again; it is spread at random by half.
	HomeInterval time.Duration
	// Clock and Ticks default to the clock of the host and a ticker.
	Clock  func() time.Time
	Ticks  <-chan time.Time
	Random *rand.Rand
	Logger *log.Logger

	agent agent
	loop  loop
	line  line
}

// line is the client's stream to a replica.
type line struct {
	writer    *writer
	address   peer.Address
	next      int
	opening   bool
	connectAt time.Time
	homeAt    time.Time
	pause     backoff
}

// Run keeps a stream to a replica until the context ends.
func (client *Client) Run(ctx context.Context) error {
	client.loop.prepare()
	setClock(&client.Clock, &client.Random)
	ticks, stop := tickerOf(client.Ticks)
	defer stop()
	if client.Self.Sequence == 0 {
		client.Self.Sequence = 1
	}
	if client.HomeInterval == 0 {
		client.HomeInterval = DefaultHomeInterval
	}
	client.agent = agent{self: client.Self, replicas: client.Replicas, view: &membership.View{Services: client.Services}, follower: client.Follower, events: client.Events, links: client.Links}
	client.connect(ctx, client.Clock())
	err := client.loop.run(ctx, client.Clock, ticks, func(now time.Time) { client.tick(ctx, now) })
	if client.line.writer != nil {
		client.line.writer.finish()
	}
	return err
}

// Change announces another state of the target. A cold one is announced as
// ready by itself after a while; one that leaves stays so.
func (client *Client) Change(ctx context.Context, state membership.State) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) { client.send(client.agent.change(now, state)) })
}

// Resize announces another number of slots.
func (client *Client) Resize(ctx context.Context, slots membership.Slots) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) { client.send(client.agent.resize(slots)) })
}

// Present announces what the local target is now: its service, its slots and
// its state. A node that leaves says nothing else any more.
func (client *Client) Present(ctx context.Context, service request.ServiceName, slots membership.Slots, state membership.State) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) { client.send(client.agent.present(now, service, slots, state)) })
}

// Watch replaces the services whose targets the node wants to know.
func (client *Client) Watch(ctx context.Context, services []request.ServiceName) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) {
		client.agent.view.Services = services
		client.send(&pb.Request{Subscribe: encodeSubscription(client.agent.view.Subscription())})
	})
}

// Report tells all nodes of crashing requests. It is called before Change
// announces that the target is down.
func (client *Client) Report(ctx context.Context, reports ...quarantine.Report) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) { client.send(client.agent.report(reports)) })
}

// Heard notes the version that a peer has in force. A client whose replica
// does not give it that version for a while goes on to the next replica.
func (client *Client) Heard(ctx context.Context, number configuration.Version) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(time.Time) { client.Follower.NoteVersion(number) })
}

// Leave ends the lease of a node that stops as planned.
func (client *Client) Leave(ctx context.Context) error {
	client.loop.prepare()
	return client.loop.do(ctx, func(now time.Time) {
		client.send(&pb.Request{Leave: true})
		if client.line.writer != nil {
			client.line.writer.finish()
		}
		client.line.connectAt = now.Add(time.Hour)
		client.detach()
	})
}

func (client *Client) tick(ctx context.Context, now time.Time) {
	client.send(client.agent.tick(now))
	if client.agent.silent(now) {
		client.log("registry: the replica is silent, trying the next one")
		client.moveOn()
	}
	if client.agent.outdated(now) && len(client.Replicas.List()) > 1 {
		client.log("registry: the replica is behind a version in force elsewhere, trying the next one")
		client.moveOn()
	}
	client.connect(ctx, now)
}

// moveOn leaves the present replica for the next one.
func (client *Client) moveOn() {
	client.line.writer.finish()
	client.detach()
	client.line.next = slices.Index(client.Replicas.List(), client.line.address) + 1
}

// connect opens a stream when there is none, or to the nearest replica when the
// present one is another.
func (client *Client) connect(ctx context.Context, now time.Time) {
	replicas := client.Replicas.List()
	if client.line.opening || len(replicas) == 0 {
		return
	}
	if client.line.writer != nil {
		if client.line.address == replicas[0] || now.Before(client.line.homeAt) {
			return
		}
		client.line.homeAt = client.nextHome(now)
		client.open(ctx, replicas[0])
		return
	}
	if now.Before(client.line.connectAt) {
		return
	}
	client.open(ctx, replicas[client.line.next%len(replicas)])
}

func (client *Client) open(ctx context.Context, address peer.Address) {
	client.line.opening = true
	go func() {
		opening, cancel := context.WithTimeout(ctx, openTimeout)
		link, err := client.Open(opening, address)
		cancel()
		lost := client.loop.do(ctx, func(now time.Time) {
			client.line.opening = false
			if err != nil {
				client.failed(now, err)
				return
			}
			client.attach(ctx, now, link, address)
		})
		if lost != nil && err == nil {
			_ = link.Close()
		}
	}()
}

// failed goes on to the next replica, and waits once all have been tried.
func (client *Client) failed(now time.Time, err error) {
	if client.line.writer != nil {
		return
	}
	client.line.next++
	if client.line.next%max(len(client.Replicas.List()), 1) == 0 {
		if client.Logger != nil {
			client.Logger.Warn().Err(err).Msg("registry: no replica is in reach, the last lists stay in force; the error is of the last one tried")
		}
		client.line.connectAt = now.Add(client.line.pause.next(client.Random))
	}
}

func (client *Client) attach(ctx context.Context, now time.Time, link Link, address peer.Address) {
	if client.line.writer != nil {
		client.line.writer.finish()
	}
	output := newWriter(link)
	client.line.writer = output
	client.line.address = address
	client.line.next = max(slices.Index(client.Replicas.List(), address), 0)
	client.line.homeAt = client.nextHome(now)
	client.line.pause.reset()
	client.send(client.agent.connected(now))
	go client.read(ctx, link, output)
}

func (client *Client) read(ctx context.Context, link Link, output *writer) {
	for {
		reply := &pb.Reply{}
		if link.Receive(reply) != nil {
			break
		}
		err := client.loop.do(ctx, func(now time.Time) {
			if client.line.writer == output {
				client.send(client.agent.receive(now, reply))
			}
		})
		if err != nil {
			break
		}
	}
	output.finish()
	_ = client.loop.do(context.WithoutCancel(ctx), func(now time.Time) {
		if client.line.writer != output {
			return
		}
		client.detach()
		client.line.next = 0
		client.line.connectAt = now.Add(client.line.pause.next(client.Random))
	})
}

func (client *Client) detach() {
	client.line.writer = nil
	client.agent.attached = false
}

func (client *Client) send(message *pb.Request) {
	if message != nil && client.line.writer != nil {
		_ = client.line.writer.send(message)
	}
}

func (client *Client) nextHome(now time.Time) time.Time {
	return now.Add(client.HomeInterval/2 + time.Duration(client.Random.Int64N(int64(client.HomeInterval))))
}

func (client *Client) log(text string) {
	if client.Logger != nil {
		client.Logger.Warn().Str("node", string(client.Self.Node)).Msg(text)
	}
}
