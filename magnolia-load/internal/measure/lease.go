package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/registry"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/spread"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	leaseAbout    = "Leases, lists of targets and versions of the configuration between nodes and six replicas in one process, over links in memory: bytes of the encoded messages with the headers of frame and stream, and processor time of both ends, for one node in one second. Each node subscribes to five of 110 services; a version comes every 8 s, which is 11,000 a day. The clock moves by ticks of 0.1 s."
	leaseReplicas = 6
	leaseServices = 110
	leaseCalls    = 5
	leaseStart    = 100
	leaseSteps    = 300
	leaseVersion  = 80
	// leaseHeaders are the bytes of a frame's and a stream's headers.
	leaseHeaders = 17 + 12
	// leasePause lets messages arrive between two ticks.
	leasePause = 3 * time.Millisecond
)

var leaseSizes = []int{10, 30, 100, 300}

// runLease measures each size and gives its figures.
func runLease(ctx context.Context, run Run) ([]Figure, error) {
	var figures []Figure
	for _, nodes := range leaseSizes {
		measured, err := leaseOf(ctx, run.Seed, nodes)
		if err != nil {
			return nil, err
		}
		run.Progress("lease: %d nodes: %.0f bytes and %.1f us a node and second", nodes, measured.bytes, measured.processor*1e6)
		figures = append(figures,
			Figure{Name: FigureName(fmt.Sprintf("bytes-%d-nodes", nodes)), Unit: "B/s", Target: "3000", Value: measured.bytes},
			Figure{Name: FigureName(fmt.Sprintf("processor-%d-nodes", nodes)), Unit: "%", Target: "1.1", Value: 100 * measured.processor},
		)
	}
	return figures, nil
}

// leaseCost is what one node costs in one second.
type leaseCost struct {
	bytes     float64
	processor float64
}

// leaseSite is a number of nodes and their replicas.
type leaseSite struct {
	servers []*registry.Server
	ticks   []chan time.Time
	moved   atomic.Int64
	bytes   atomic.Int64
	begin   time.Time
	group   sync.WaitGroup
}

func leaseOf(ctx context.Context, seed uint64, nodes int) (leaseCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	site := &leaseSite{begin: time.Unix(0, 0)}
	defer site.group.Wait()
	defer cancel()
	for index := range leaseReplicas {
		site.addServer(ctx, seed, index)
	}
	for index := range nodes {
		site.addClient(ctx, seed, index)
	}
	number := configuration.Version(0)
	if err := site.pass(ctx, leaseStart, &number); err != nil {
		return leaseCost{}, err
	}
	bytes := site.bytes.Load()
	before := processorTime()
	if err := site.pass(ctx, leaseSteps, &number); err != nil {
		return leaseCost{}, err
	}
	spent := processorTime() - before
	nodeSeconds := float64(nodes) * (leaseSteps * registry.TickInterval).Seconds()
	return leaseCost{
		bytes:     float64(site.bytes.Load()-bytes) / nodeSeconds,
		processor: spent.Seconds() / nodeSeconds,
	}, nil
}

func (ls *leaseSite) clock() time.Time {
	return ls.begin.Add(time.Duration(ls.moved.Load()))
}

func (ls *leaseSite) newTicks() chan time.Time {
	ticks := make(chan time.Time)
	ls.ticks = append(ls.ticks, ticks)
	return ticks
}

func leaseAddress(index int) peer.Address {
	return peer.Address(fmt.Sprintf("replica-%d", index%leaseReplicas))
}

func leasePlace(index int) request.Place {
	domain := index % leaseReplicas
	return request.Place{
		Region: request.RegionName(fmt.Sprintf("region-%d", domain%2)),
		Domain: request.DomainName(fmt.Sprintf("domain-%d", domain)),
	}
}

func leaseService(index int) request.ServiceName {
	return request.ServiceName(fmt.Sprintf("service-%d", index%leaseServices))
}

func (ls *leaseSite) addServer(ctx context.Context, seed uint64, index int) {
	self := request.NodeID(leaseAddress(index))
	server := &registry.Server{
		Registry:  &membership.Registry{Self: self},
		Publisher: &spread.Publisher{},
		Tracker:   &spread.Tracker{},
		Open:      ls.open(self, leasePlace(index)),
		Confirmed: func() bool { return true },
		Clock:     ls.clock,
		Ticks:     ls.newTicks(),
		Random:    rand.New(rand.NewPCG(seed, uint64(index))),
	}
	for other := range leaseReplicas {
		if other != index {
			server.Others = append(server.Others, registry.Replica{ID: request.NodeID(leaseAddress(other)), Address: leaseAddress(other)})
		}
	}
	server.Prepare()
	ls.servers = append(ls.servers, server)
	ls.group.Go(func() { _ = server.Run(ctx) })
}

func (ls *leaseSite) addClient(ctx context.Context, seed uint64, index int) {
	self := request.NodeID(fmt.Sprintf("node-%d", index))
	client := &registry.Client{
		Self: membership.Announcement{
			Node: self, Incarnation: 1, Address: "127.0.10.20:7001", Place: leasePlace(index), Service: leaseService(index), Slots: 50,
		},
		Replicas: []peer.Address{leaseAddress(index)},
		Open:     ls.open(self, leasePlace(index)),
		Follower: &spread.Follower{Patch: configuration.Patch},
		Clock:    ls.clock,
		Ticks:    ls.newTicks(),
		Random:   rand.New(rand.NewPCG(seed, uint64(index))),
	}
	for call := 1; call <= leaseCalls; call++ {
		client.Services = append(client.Services, leaseService(index*7+call*13))
	}
	ls.group.Go(func() { _ = client.Run(ctx) })
}

// pass moves the clock on by ticks and publishes versions as they come.
func (ls *leaseSite) pass(ctx context.Context, steps int, number *configuration.Version) error {
	for step := range steps {
		ls.moved.Add(int64(registry.TickInterval))
		for _, ticks := range ls.ticks {
			select {
			case ticks <- ls.clock():
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if step%leaseVersion == 0 {
			*number++
			if err := ls.publish(ctx, *number); err != nil {
				return err
			}
		}
		time.Sleep(leasePause)
	}
	return nil
}

func (ls *leaseSite) publish(ctx context.Context, number configuration.Version) error {
	text := fmt.Sprintf("{\"padding\": \"%04000d\", \"number\": %d}", 0, number)
	patch := fmt.Sprintf(`[{"op":"replace","path":"/number","value":%d}]`, number)
	patched, err := configuration.Patch([]byte(text), []byte(patch))
	if err != nil {
		return err
	}
	for _, server := range ls.servers {
		if err := server.Publish(ctx, spread.Version{Number: number, Text: patched, Patch: []byte(patch)}); err != nil {
			return err
		}
	}
	return nil
}

func (ls *leaseSite) open(self request.NodeID, place request.Place) registry.Open {
	return func(ctx context.Context, address peer.Address) (registry.Link, error) {
		index := 0
		if _, err := fmt.Sscanf(string(address), "replica-%d", &index); err != nil {
			return nil, err
		}
		forth, back := make(chan []byte, 64), make(chan []byte, 64)
		closed, once := make(chan struct{}), &sync.Once{}
		near := &leaseLink{site: ls, out: forth, in: back, closed: closed, once: once}
		far := &leaseLink{site: ls, out: back, in: forth, closed: closed, once: once}
		ls.group.Go(func() { ls.servers[index].Serve(ctx, far, self, place) })
		context.AfterFunc(ctx, func() { _ = near.Close() })
		return near, nil
	}
}

// leaseLink is one end of a link in memory that counts its bytes.
type leaseLink struct {
	site   *leaseSite
	out    chan<- []byte
	in     <-chan []byte
	closed chan struct{}
	once   *sync.Once
}

// Send encodes and counts a message.
func (ll *leaseLink) Send(message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	ll.site.bytes.Add(int64(len(payload) + leaseHeaders))
	select {
	case ll.out <- payload:
		return nil
	case <-ll.closed:
		return context.Canceled
	}
}

// Receive decodes the next message.
func (ll *leaseLink) Receive(message proto.Message) error {
	select {
	case payload := <-ll.in:
		return proto.Unmarshal(payload, message)
	case <-ll.closed:
		return context.Canceled
	}
}

// Close closes both ends.
func (ll *leaseLink) Close() error {
	ll.once.Do(func() { close(ll.closed) })
	return nil
}
