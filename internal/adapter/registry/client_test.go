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
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var errDown = errors.New("connection refused")

// memoryLink is one end of a link in memory.
type memoryLink struct {
	out    chan<- []byte
	in     <-chan []byte
	closed chan struct{}
	once   *sync.Once
}

func newMemoryLinks() (one, other *memoryLink) {
	forth, back := make(chan []byte, 64), make(chan []byte, 64)
	closed, once := make(chan struct{}), &sync.Once{}
	return &memoryLink{out: forth, in: back, closed: closed, once: once}, &memoryLink{out: back, in: forth, closed: closed, once: once}
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

// site is a set of servers and clients whose clock stands still but where a
// test moves it. Ticks come as fast as the loops take them.
type site struct {
	ctx     context.Context
	ticks   chan time.Time
	moved   atomic.Int64
	home    time.Duration
	servers map[peer.Address]*Server
	lock    sync.Mutex
	down    map[peer.Address]bool
	links   []*memoryLink
}

func newSite(t *testing.T, addresses ...peer.Address) *site {
	ctx, cancel := context.WithCancel(context.Background())
	made := &site{ctx: ctx, ticks: make(chan time.Time), servers: map[peer.Address]*Server{}, down: map[peer.Address]bool{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case made.ticks <- start:
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
			Clock:     made.clock, Ticks: made.ticks, Open: made.open(request.NodeID(address)),
			Random: rand.New(rand.NewPCG(1, 1)),
		}
		for _, other := range addresses {
			if other != address {
				server.Others = append(server.Others, Replica{ID: request.NodeID(other), Address: other})
			}
		}
		server.Prepare()
		made.servers[address] = server
	}
	for _, server := range made.servers {
		go func() { _ = server.Run(ctx) }()
	}
	t.Cleanup(func() { cancel(); <-done })
	return made
}

func (s *site) clock() time.Time {
	return start.Add(time.Duration(s.moved.Load()))
}

func (s *site) open(node request.NodeID) Open {
	return func(_ context.Context, address peer.Address) (Link, error) {
		s.lock.Lock()
		defer s.lock.Unlock()
		if s.down[address] {
			return nil, errDown
		}
		near, far := newMemoryLinks()
		s.links = append(s.links, near)
		go s.servers[address].Serve(s.ctx, far, node, domain(0))
		return near, nil
	}
}

// cut closes all links and keeps new ones from the address.
func (s *site) cut(address peer.Address, down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down[address] = down
	if !down {
		return
	}
	for _, link := range s.links {
		_ = link.Close()
	}
	s.links = nil
}

type clientStub struct {
	*Client
	targets  chan balancer.View
	versions chan configuration.Version
	reports  chan quarantine.Report
}

func (s *site) client(node request.NodeID, replicas ...peer.Address) *clientStub {
	stub := &clientStub{targets: make(chan balancer.View, 64), versions: make(chan configuration.Version, 64), reports: make(chan quarantine.Report, 64)}
	stub.Client = &Client{
		Self:         membership.Announcement{Node: node, Incarnation: 1, Address: "127.0.0.1:1", Place: domain(0), Service: service, Slots: 5},
		Services:     []request.ServiceName{service},
		Replicas:     &peer.Directory{Seeds: replicas},
		Open:         s.open(node),
		Follower:     &distribution.Follower{Patch: configuration.Patch},
		HomeInterval: s.home,
		Clock:        s.clock, Ticks: s.ticks, Random: rand.New(rand.NewPCG(2, 2)),
		Events: Events{
			Targets:       func(_ time.Time, view balancer.View) { stub.targets <- view },
			Configuration: func(number configuration.Version, _ []byte) { stub.versions <- number },
			Reports:       func(_ time.Time, report quarantine.Report) { stub.reports <- report },
		},
	}
	go func() { _ = stub.Run(s.ctx) }()
	return stub
}

// await takes views until one fits; the test's own timeout bounds it.
func (stub *clientStub) await(fits func(balancer.View) bool) balancer.View {
	for {
		view := <-stub.targets
		if fits(view) {
			return view
		}
	}
}

func lists(count int) func(balancer.View) bool {
	return func(view balancer.View) bool { return len(view.Targets) == count }
}

func TestClientsFindEachOtherDrainAndLeave(t *testing.T) {
	expect := gomega.NewWithT(t)
	made := newSite(t, "one")
	first := made.client("a", "one")
	second := made.client("b", "one")
	first.await(lists(2))
	second.await(lists(2))

	expect.Expect(made.servers["one"].Publish(made.ctx, version(1))).To(gomega.Succeed())
	expect.Expect(<-first.versions).To(gomega.Equal(configuration.Version(1)))

	expect.Expect(second.Change(made.ctx, membership.Draining)).To(gomega.Succeed())
	first.await(func(view balancer.View) bool { return view.Targets[1].State == balancer.Draining })
	expect.Expect(second.Report(made.ctx, quarantine.Report{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{3}})).To(gomega.Succeed())
	expect.Expect((<-first.reports).Fingerprints).To(gomega.ConsistOf(request.Fingerprint(3)))
	expect.Expect(second.Leave(made.ctx)).To(gomega.Succeed())
	first.await(lists(1))

	status, err := made.servers["one"].Status(made.ctx)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(status).To(gomega.HaveLen(1))
}

func TestClientMovesToTheNextReplicaAndComesBack(t *testing.T) {
	expect := gomega.NewWithT(t)
	made := newSite(t, "one", "two")
	made.home = time.Millisecond
	moving := made.client("a", "one", "two")
	other := made.client("b", "two")
	moving.await(lists(2))
	other.await(lists(2))
	holder := func(address peer.Address) func() bool {
		return func() bool {
			records, err := made.servers[address].Targets(made.ctx, []request.ServiceName{service})
			return err == nil && len(records) == 2 && records[0].Holder == request.NodeID(address)
		}
	}
	expect.Expect(holder("one")()).To(gomega.BeTrue())

	made.cut("one", true)
	waitUntil(made, holder("two"))
	made.cut("one", false)
	waitUntil(made, holder("one"))
}

func TestClientLeavesAReplicaThatIsBehind(t *testing.T) {
	expect := gomega.NewWithT(t)
	made := newSite(t, "one", "two")
	behind := made.client("a", "one", "two")
	behind.await(lists(1))
	expect.Expect(made.servers["one"].Publish(made.ctx, version(1))).To(gomega.Succeed())
	expect.Expect(<-behind.versions).To(gomega.Equal(configuration.Version(1)))
	for _, number := range []int{1, 2} {
		expect.Expect(made.servers["two"].Publish(made.ctx, version(number))).To(gomega.Succeed())
	}
	expect.Expect(behind.Heard(made.ctx, 2)).To(gomega.Succeed())
	waitUntil(made, func() bool { return len(behind.versions) > 0 })
	expect.Expect(<-behind.versions).To(gomega.Equal(configuration.Version(2)))
}

// waitUntil moves the clock a little at a time, and only as fast as the servers
// take their turns; leases are long against it.
func waitUntil(made *site, holds func() bool) {
	for !holds() {
		made.moved.Add(int64(time.Millisecond))
		for _, server := range made.servers {
			_, _ = server.Status(made.ctx)
		}
	}
}

func TestSlowLinkIsClosedAndHoldsNothingUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	near, far := newMemoryLinks()
	output := newWriter(near)
	var err error
	for sent := 0; err == nil; sent++ {
		expect.Expect(sent).To(gomega.BeNumerically("<", 4*queueLength))
		err = output.send(encodeAnnouncement(membership.Announcement{Node: "a"}))
	}
	expect.Expect(err).To(gomega.MatchError(errBehind))
	<-far.closed
}
