package registry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var errConnectionRefused = errors.New("connection refused")

// memoryLink is one end of a link in memory.
type memoryLink struct {
	out    chan<- []byte
	in     <-chan []byte
	closed chan struct{}
	once   *sync.Once
}

func newMemoryLinkPair() (near, far *memoryLink) {
	forward, backward := make(chan []byte, 64), make(chan []byte, 64)
	closed, once := make(chan struct{}), &sync.Once{}
	return &memoryLink{out: forward, in: backward, closed: closed, once: once}, &memoryLink{out: backward, in: forward, closed: closed, once: once}
}

func (link *memoryLink) Send(message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	select {
	case link.out <- payload:
		return nil
	case <-link.closed:
		return io.ErrClosedPipe
	}
}

func (link *memoryLink) Receive(message proto.Message) error {
	select {
	case payload := <-link.in:
		return proto.Unmarshal(payload, message)
	case <-link.closed:
		return io.EOF
	}
}

func (link *memoryLink) Close() error {
	link.once.Do(func() { close(link.closed) })
	return nil
}

// testCluster is a set of servers and clients with a clock that advances only when
// a test advances it. Ticks come as fast as the loops take them.
type testCluster struct {
	ctx                  context.Context
	ticks                chan time.Time
	elapsedNanos         atomic.Int64
	nearestRetryInterval time.Duration
	servers              map[peer.Address]*Server
	lock                 sync.Mutex
	down                 map[peer.Address]bool
	withoutQuorum        map[peer.Address]bool
	links                []*memoryLink
}

func newTestCluster(t *testing.T, addresses ...peer.Address) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &testCluster{ctx: ctx, ticks: make(chan time.Time), servers: map[peer.Address]*Server{}, down: map[peer.Address]bool{}, withoutQuorum: map[peer.Address]bool{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case cluster.ticks <- startTime:
			case <-ctx.Done():
				return
			}
		}
	}()
	for _, address := range addresses {
		server := &Server{
			Registry:  &membership.Registry{Self: request.NodeID(address)},
			Publisher: &distribution.Publisher{},
			Tracker:   &distribution.Tracker{},
			Confirmed: func() bool { return true },
			QuorumLost: func() bool {
				cluster.lock.Lock()
				defer cluster.lock.Unlock()
				return cluster.withoutQuorum[address]
			},
			Clock: cluster.clock, Ticks: cluster.ticks, Open: cluster.open(request.NodeID(address)),
			Random: rand.New(rand.NewPCG(1, 1)),
		}
		for _, other := range addresses {
			if other != address {
				server.Others = append(server.Others, Replica{ID: request.NodeID(other), Address: other})
			}
		}
		server.Prepare()
		cluster.servers[address] = server
	}
	for _, server := range cluster.servers {
		go func() { _ = server.Run(ctx) }()
	}
	t.Cleanup(func() { cancel(); <-done })
	return cluster
}

func (cluster *testCluster) clock() time.Time {
	return startTime.Add(time.Duration(cluster.elapsedNanos.Load()))
}

func (cluster *testCluster) open(node request.NodeID) OpenFunc {
	return func(_ context.Context, address peer.Address) (Link, error) {
		cluster.lock.Lock()
		defer cluster.lock.Unlock()
		if cluster.down[address] {
			return nil, errConnectionRefused
		}
		near, far := newMemoryLinkPair()
		cluster.links = append(cluster.links, near)
		go cluster.servers[address].Serve(cluster.ctx, far, node, placeAt(0))
		return near, nil
	}
}

// setDown makes the address unreachable and closes all links, or makes it
// reachable again.
func (cluster *testCluster) setDown(address peer.Address, down bool) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.down[address] = down
	if !down {
		return
	}
	for _, link := range cluster.links {
		_ = link.Close()
	}
	cluster.links = nil
}

// loseQuorum lets a replica report that it has no quorum, or that it has one again.
func (cluster *testCluster) loseQuorum(address peer.Address, lost bool) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.withoutQuorum[address] = lost
}

type testClient struct {
	*Client
	targets  chan balancer.View
	versions chan configuration.Version
	reports  chan quarantine.Report
}

func (cluster *testCluster) startClient(node request.NodeID, replicas ...peer.Address) *testClient {
	return cluster.startClientIn("", node, replicas...)
}

// startClientIn starts a client that prefers the replicas of a failure domain.
func (cluster *testCluster) startClientIn(domain request.DomainName, node request.NodeID, replicas ...peer.Address) *testClient {
	client := &testClient{targets: make(chan balancer.View, 64), versions: make(chan configuration.Version, 64), reports: make(chan quarantine.Report, 64)}
	client.Client = &Client{
		Self:                 membership.Announcement{Node: node, Incarnation: 1, Address: "127.0.0.1:1", Place: placeAt(0), Service: service, Slots: 5},
		Services:             []request.ServiceName{service},
		Replicas:             &peer.Directory{Domain: domain, Seeds: replicas},
		Open:                 cluster.open(node),
		Follower:             &distribution.Follower{Patch: configuration.Patch},
		NearestRetryInterval: cluster.nearestRetryInterval,
		Clock:                cluster.clock, Ticks: cluster.ticks, Random: rand.New(rand.NewPCG(2, 2)),
		Events: Events{
			Targets:       func(_ time.Time, view balancer.View) { client.targets <- view },
			Configuration: func(number configuration.Version, _ []byte) { client.versions <- number },
			Reports: func(_ time.Time, reports []quarantine.Report) {
				for _, report := range reports {
					client.reports <- report
				}
			},
		},
	}
	go func() { _ = client.Run(cluster.ctx) }()
	return client
}

// awaitView receives views until one matches; the timeout of the test bounds it.
func (client *testClient) awaitView(matches func(balancer.View) bool) balancer.View {
	for {
		view := <-client.targets
		if matches(view) {
			return view
		}
	}
}

func hasTargets(count int) func(balancer.View) bool {
	return func(view balancer.View) bool { return len(view.Targets) == count }
}

func TestClientsDiscoverEachOtherDrainAndLeave(t *testing.T) {
	expect := gomega.NewWithT(t)
	cluster := newTestCluster(t, "one")
	first := cluster.startClient("a", "one")
	second := cluster.startClient("b", "one")
	first.awaitView(hasTargets(2))
	second.awaitView(hasTargets(2))

	expect.Expect(cluster.servers["one"].Publish(cluster.ctx, newVersion(1))).To(gomega.Succeed())
	expect.Expect(<-first.versions).To(gomega.Equal(configuration.Version(1)))

	expect.Expect(second.SetState(cluster.ctx, membership.Draining)).To(gomega.Succeed())
	first.awaitView(func(view balancer.View) bool { return view.Targets[1].State == balancer.Draining })
	expect.Expect(second.Report(cluster.ctx, quarantine.Report{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{3}})).To(gomega.Succeed())
	expect.Expect((<-first.reports).Fingerprints).To(gomega.ConsistOf(request.Fingerprint(3)))
	expect.Expect(second.Leave(cluster.ctx)).To(gomega.Succeed())
	first.awaitView(hasTargets(1))

	status, err := cluster.servers["one"].Status(cluster.ctx)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(status).To(gomega.HaveLen(1))
}

func TestClientFailsOverAndReturnsToNearestReplica(t *testing.T) {
	expect := gomega.NewWithT(t)
	cluster := newTestCluster(t, "one", "two")
	cluster.nearestRetryInterval = time.Millisecond
	failingOver := cluster.startClient("a", "one", "two")
	other := cluster.startClient("b", "two")
	failingOver.awaitView(hasTargets(2))
	other.awaitView(hasTargets(2))
	holdsLeases := func(address peer.Address) func() bool {
		return func() bool {
			records, err := cluster.servers[address].Targets(cluster.ctx, []request.ServiceName{service})
			return err == nil && len(records) == 2 && records[0].Holder == request.NodeID(address)
		}
	}
	expect.Expect(holdsLeases("one")()).To(gomega.BeTrue())

	cluster.setDown("one", true)
	advanceUntil(cluster, holdsLeases("two"))
	cluster.setDown("one", false)
	advanceUntil(cluster, holdsLeases("one"))
}

// A node that knows only a seed is told of all replicas there, and moves to the one of
// its own failure domain without waiting for its next regular try.
func TestClientMovesFromSeedToNearestReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster := newTestCluster(t, "near", "seed")
	cluster.nearestRetryInterval = time.Hour
	members := []Replica{{ID: "near", Address: "near", Domain: placeAt(0).Domain}, {ID: "seed", Address: "seed", Domain: "elsewhere"}}
	for _, server := range cluster.servers {
		g.Expect(server.SetMembers(cluster.ctx, members)).To(gomega.Succeed())
	}
	client := cluster.startClientIn(placeAt(0).Domain, "a", "seed")
	client.awaitView(hasTargets(1))
	advanceUntil(cluster, func() bool {
		count, err := cluster.servers["near"].LeaseCount(cluster.ctx)
		return err == nil && count == 1
	})
	g.Expect(cluster.clock().Sub(startTime)).To(gomega.BeNumerically("<", time.Minute))
}

// A node must leave a replica without a quorum for one that has it, not for another one
// without, and return once the nearest has its quorum again.
func TestClientLeavesReplicaWithoutQuorum(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster := newTestCluster(t, "one", "two", "three")
	cluster.nearestRetryInterval = time.Millisecond
	client := cluster.startClient("a", "one", "two", "three")
	client.awaitView(hasTargets(1))
	leases := func(address peer.Address) int {
		count, err := cluster.servers[address].LeaseCount(cluster.ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return count
	}
	cluster.loseQuorum("two", true)
	cluster.loseQuorum("one", true)
	advanceUntil(cluster, func() bool { return leases("three") == 1 })
	g.Expect(leases("two")).To(gomega.BeZero())

	cluster.loseQuorum("one", false)
	advanceUntil(cluster, func() bool { return leases("three") == 0 && leases("one") == 1 })
	g.Expect(leases("two")).To(gomega.BeZero())
}

// A nearest replica that takes connections but does not answer must not be moved to.
func TestClientDoesNotMoveToSilentReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := newMemoryLinkPair()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		g.Expect(far.Receive(&pb.Request{})).To(gomega.Succeed())
		cancel()
	}()
	_, err := inquire(ctx, near)
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

func TestClientSwitchesFromOutdatedReplica(t *testing.T) {
	expect := gomega.NewWithT(t)
	cluster := newTestCluster(t, "one", "two")
	client := cluster.startClient("a", "one", "two")
	client.awaitView(hasTargets(1))
	expect.Expect(cluster.servers["one"].Publish(cluster.ctx, newVersion(1))).To(gomega.Succeed())
	expect.Expect(<-client.versions).To(gomega.Equal(configuration.Version(1)))
	for _, number := range []int{1, 2} {
		expect.Expect(cluster.servers["two"].Publish(cluster.ctx, newVersion(number))).To(gomega.Succeed())
	}
	expect.Expect(client.ObserveVersion(cluster.ctx, 2)).To(gomega.Succeed())
	advanceUntil(cluster, func() bool { return len(client.versions) > 0 })
	expect.Expect(<-client.versions).To(gomega.Equal(configuration.Version(2)))
}

// advanceUntil advances the clock by a millisecond per round trip to each server,
// so that the servers keep up and no lease expires, until the condition holds.
func advanceUntil(cluster *testCluster, condition func() bool) {
	for !condition() {
		cluster.elapsedNanos.Add(int64(time.Millisecond))
		for _, server := range cluster.servers {
			_, _ = server.Status(cluster.ctx)
		}
	}
}

func TestSlowLinkIsClosedWithoutBlockingSender(t *testing.T) {
	expect := gomega.NewWithT(t)
	near, far := newMemoryLinkPair()
	output := newWriter(near)
	var err error
	for sent := 0; err == nil; sent++ {
		expect.Expect(sent).To(gomega.BeNumerically("<", 4*maxQueuedMessages))
		err = output.send(encodeAnnouncement(membership.Announcement{Node: "a"}))
	}
	expect.Expect(err).To(gomega.MatchError(errQueueClosed))
	<-far.closed
}
