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
//		Replicas: []peer.Address{"127.0.0.1:7001"},
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
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/core/spread"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

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
	// Replicas are the addresses of all replicas, nearest first.
	Replicas []peer.Address
	Open     Open
	Follower *spread.Follower
	Events   Events
	// Links meters what the node sends to other regions; nil meters nothing.
	Links *choice.Links
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
	index     int
	next      int
	opening   bool
	connectAt time.Time
	homeAt    time.Time
	pause     backoff
}

// Run keeps a stream to a replica until the context ends.
func (c *Client) Run(ctx context.Context) error {
	c.loop.prepare()
	setClock(&c.Clock, &c.Random)
	ticks, stop := tickerOf(c.Ticks)
	defer stop()
	if c.Self.Sequence == 0 {
		c.Self.Sequence = 1
	}
	if c.HomeInterval == 0 {
		c.HomeInterval = DefaultHomeInterval
	}
	c.agent = agent{self: c.Self, view: &membership.View{Services: c.Services}, follower: c.Follower, events: c.Events, links: c.Links}
	c.connect(ctx, c.Clock())
	err := c.loop.run(ctx, c.Clock, ticks, func(now time.Time) { c.tick(ctx, now) })
	if c.line.writer != nil {
		c.line.writer.finish()
	}
	return err
}

// Change announces another state of the target. A cold one is announced as
// ready by itself after a while; one that leaves stays so.
func (c *Client) Change(ctx context.Context, state membership.State) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(now time.Time) { c.send(c.agent.change(now, state)) })
}

// Resize announces another number of slots.
func (c *Client) Resize(ctx context.Context, slots membership.Slots) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(time.Time) { c.send(c.agent.resize(slots)) })
}

// Watch replaces the services whose targets the node wants to know.
func (c *Client) Watch(ctx context.Context, services []request.ServiceName) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(time.Time) {
		c.agent.view.Services = services
		c.send(&pb.Request{Subscribe: encodeSubscription(c.agent.view.Subscription())})
	})
}

// Report tells all nodes of crashing requests. It is called before Change
// announces that the target is down.
func (c *Client) Report(ctx context.Context, reports ...quarantine.Report) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(time.Time) { c.send(c.agent.report(reports)) })
}

// Heard notes the version that a peer has in force. A client whose replica
// does not give it that version for a while goes on to the next replica.
func (c *Client) Heard(ctx context.Context, number configuration.Version) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(time.Time) { c.Follower.Heard(number) })
}

// Leave ends the lease of a node that stops as planned.
func (c *Client) Leave(ctx context.Context) error {
	c.loop.prepare()
	return c.loop.do(ctx, func(now time.Time) {
		c.send(&pb.Request{Leave: true})
		if c.line.writer != nil {
			c.line.writer.finish()
		}
		c.line.connectAt = now.Add(time.Hour)
		c.detach()
	})
}

func (c *Client) tick(ctx context.Context, now time.Time) {
	c.send(c.agent.tick(now))
	if c.agent.silent(now) {
		c.log("registry: the replica is silent, trying the next one")
		c.moveOn()
	}
	if c.agent.outdated(now) && len(c.Replicas) > 1 {
		c.log("registry: the replica is behind a version in force elsewhere, trying the next one")
		c.moveOn()
	}
	c.connect(ctx, now)
}

// moveOn leaves the present replica for the next one.
func (c *Client) moveOn() {
	c.line.writer.finish()
	c.detach()
	c.line.next = c.line.index + 1
}

// connect opens a stream when there is none, or to the nearest replica when the
// present one is another.
func (c *Client) connect(ctx context.Context, now time.Time) {
	if c.line.opening || len(c.Replicas) == 0 {
		return
	}
	if c.line.writer != nil {
		if c.line.index == 0 || now.Before(c.line.homeAt) {
			return
		}
		c.line.homeAt = c.nextHome(now)
		c.open(ctx, 0)
		return
	}
	if now.Before(c.line.connectAt) {
		return
	}
	c.open(ctx, c.line.next%len(c.Replicas))
}

func (c *Client) open(ctx context.Context, index int) {
	c.line.opening = true
	go func() {
		link, err := c.Open(ctx, c.Replicas[index])
		lost := c.loop.do(ctx, func(now time.Time) {
			c.line.opening = false
			if err != nil {
				c.failed(now, err)
				return
			}
			c.attach(ctx, now, link, index)
		})
		if lost != nil && err == nil {
			_ = link.Close()
		}
	}()
}

// failed goes on to the next replica, and waits once all have been tried.
func (c *Client) failed(now time.Time, err error) {
	if c.line.writer != nil {
		return
	}
	c.line.next++
	if c.line.next%len(c.Replicas) == 0 {
		if c.Logger != nil {
			c.Logger.Warn().Err(err).Msg("registry: no replica is in reach, the last lists stay in force; the error is of the last one tried")
		}
		c.line.connectAt = now.Add(c.line.pause.next(c.Random))
	}
}

func (c *Client) attach(ctx context.Context, now time.Time, link Link, index int) {
	if c.line.writer != nil {
		c.line.writer.finish()
	}
	output := newWriter(link)
	c.line.writer = output
	c.line.index, c.line.next = index, index
	c.line.homeAt = c.nextHome(now)
	c.line.pause.reset()
	c.send(c.agent.connected(now))
	go c.read(ctx, link, output)
}

func (c *Client) read(ctx context.Context, link Link, output *writer) {
	for {
		reply := &pb.Reply{}
		if link.Receive(reply) != nil {
			break
		}
		err := c.loop.do(ctx, func(now time.Time) {
			if c.line.writer == output {
				c.send(c.agent.receive(now, reply))
			}
		})
		if err != nil {
			break
		}
	}
	output.finish()
	_ = c.loop.do(context.WithoutCancel(ctx), func(now time.Time) {
		if c.line.writer != output {
			return
		}
		c.detach()
		c.line.next = 0
		c.line.connectAt = now.Add(c.line.pause.next(c.Random))
	})
}

func (c *Client) detach() {
	c.line.writer = nil
	c.agent.attached = false
}

func (c *Client) send(message *pb.Request) {
	if message != nil && c.line.writer != nil {
		_ = c.line.writer.send(message)
	}
}

func (c *Client) nextHome(now time.Time) time.Time {
	return now.Add(c.HomeInterval/2 + time.Duration(c.Random.Int64N(int64(c.HomeInterval))))
}

func (c *Client) log(text string) {
	if c.Logger != nil {
		c.Logger.Warn().Str("node", string(c.Self.Node)).Msg(text)
	}
}
