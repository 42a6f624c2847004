package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// TickInterval is how often a server sends changes and a client checks its lease.
const TickInterval = 100 * time.Millisecond

// ErrStopped is returned after Run of the server or client has ended.
var ErrStopped = errors.New("registry server or client has stopped")

// Replica identifies a replica and says where it listens.
type Replica struct {
	ID      request.NodeID
	Address peer.Address
	Domain  request.DomainName
}

// Server is the registry of one replica. The exported fields are set before Run.
// From then on only the server may use Registry, Publisher and Tracker.
type Server struct {
	Registry  *membership.Registry
	Publisher *distribution.Publisher
	Tracker   *distribution.Tracker
	// Others lists the other replicas.
	Others []Replica
	Open   OpenFunc
	// Confirmed reports whether a recent quorum read has shown that the newest
	// version here is the newest accepted one. It must not block. Nil means no.
	Confirmed func() bool
	// QuorumLost reports whether no quorum read has succeeded for some time. It must not
	// block. Nodes are told, and register with another replica. Nil means no.
	QuorumLost func() bool
	// Clock and Ticks default to [time.Now] and a ticker of [TickInterval].
	Clock  func() time.Time
	Ticks  <-chan time.Time
	Random *rand.Rand
	Logger *log.Logger

	hub           hub
	loop          loop
	subscriptions []*replicaSubscription
}

// replicaSubscription is this replica's outgoing stream to another replica, over
// which it receives the records of that one.
type replicaSubscription struct {
	replica Replica
	// removed is set when the replica is no longer a member.
	removed   bool
	writer    *writer
	opening   bool
	connectAt time.Time
	backoff   backoff
}

// Prepare makes the server ready to accept streams before Run is called. Run
// calls it too.
func (server *Server) Prepare() {
	server.loop.prepare()
}

// Run serves until the context ends.
func (server *Server) Run(ctx context.Context) error {
	server.Prepare()
	setClockDefaults(&server.Clock, &server.Random)
	ticks, stop := newTicker(server.Ticks)
	defer stop()
	now := server.Clock()
	server.Registry.Start(now, membership.Epoch(now.UnixNano()))
	server.hub = hub{registry: server.Registry, publisher: server.Publisher, tracker: server.Tracker, confirmed: server.Confirmed, quorumLost: server.QuorumLost, members: map[request.NodeID]bool{}}
	for _, other := range server.Others {
		server.hub.members[other.ID] = true
		server.subscriptions = append(server.subscriptions, &replicaSubscription{replica: other})
	}
	defer server.closeSubscriptions()
	return server.loop.run(ctx, server.Clock, ticks, func(now time.Time) {
		wasLost := server.hub.wasLost
		server.hub.tick(now)
		server.logQuorum(wasLost)
		for _, subscription := range server.subscriptions {
			server.connect(ctx, now, subscription)
		}
	})
}

// Handle serves the stream of a node or another replica. It is the
// [peer.Handler] of [peer.KindRegistry].
func (server *Server) Handle(ctx context.Context, stream *peer.Stream) {
	remote := stream.Remote()
	server.Serve(ctx, &peerLink{stream: stream}, remote.Node, remote.Place)
}

// Serve serves the link of node until it ends.
func (server *Server) Serve(ctx context.Context, link Link, node request.NodeID, place request.Place) {
	server.Prepare()
	output := newWriter(link)
	defer output.finish()
	var opened *session
	err := server.loop.do(ctx, func(time.Time) {
		opened = server.hub.open(node, place, func(reply *pb.Reply) { _ = output.send(reply) })
	})
	if err != nil {
		return
	}
	for {
		message := &pb.Request{}
		if link.Receive(message) != nil {
			break
		}
		err := server.loop.do(ctx, func(now time.Time) { server.hub.receive(now, opened, message) })
		if err != nil {
			break
		}
	}
	_ = server.loop.do(context.WithoutCancel(ctx), func(now time.Time) { server.hub.close(now, opened) })
}

// Publish makes version the newest one that nodes are offered.
func (server *Server) Publish(ctx context.Context, version distribution.Version) error {
	server.Prepare()
	var err error
	loopErr := server.loop.do(ctx, func(time.Time) { err = server.Publisher.Publish(version) })
	return errors.Join(loopErr, err)
}

// SetMembers replaces the other replicas by those of a new membership of the log, and
// sends the new addresses to the nodes.
func (server *Server) SetMembers(ctx context.Context, members []Replica) error {
	server.Prepare()
	return server.loop.do(ctx, func(now time.Time) { server.setMembers(now, members) })
}

func (server *Server) setMembers(now time.Time, members []Replica) {
	var others []Replica
	for _, member := range members {
		if member.ID != server.Registry.Self {
			others = append(others, member)
		}
	}
	server.subscriptions = slices.DeleteFunc(server.subscriptions, func(subscription *replicaSubscription) bool {
		subscription.removed = !slices.Contains(others, subscription.replica)
		if subscription.removed && subscription.writer != nil {
			subscription.writer.finish()
		}
		return subscription.removed
	})
	server.Others = others
	server.hub.setMembers(now, others)
	for _, other := range others {
		if !slices.ContainsFunc(server.subscriptions, func(subscription *replicaSubscription) bool { return subscription.replica == other }) {
			server.subscriptions = append(server.subscriptions, &replicaSubscription{replica: other})
		}
	}
	server.hub.setReplicaPlaces(encodePlaces(members))
}

// Status returns the configuration versions in force in each failure domain.
func (server *Server) Status(ctx context.Context) ([]distribution.DomainStatus, error) {
	server.Prepare()
	var domains []distribution.DomainStatus
	err := server.loop.do(ctx, func(now time.Time) { domains = server.Tracker.Status(now) })
	return domains, err
}

// SilentReplicas returns the addresses of the other replicas without a recent heartbeat.
func (server *Server) SilentReplicas(ctx context.Context) ([]peer.Address, error) {
	server.Prepare()
	var silent []peer.Address
	err := server.loop.do(ctx, func(now time.Time) {
		for _, other := range server.Others {
			if !server.Tracker.IsReachable(now, other.ID) {
				silent = append(silent, other.Address)
			}
		}
	})
	return silent, err
}

// LeaseCount returns the number of leases that this replica holds.
func (server *Server) LeaseCount(ctx context.Context) (int, error) {
	server.Prepare()
	var count int
	err := server.loop.do(ctx, func(time.Time) { count = server.Registry.LeaseCount() })
	return count, err
}

// Targets returns the records of the live targets of the services.
func (server *Server) Targets(ctx context.Context, services []request.ServiceName) ([]membership.Record, error) {
	server.Prepare()
	var records []membership.Record
	err := server.loop.do(ctx, func(time.Time) {
		for _, service := range services {
			records = append(records, server.Registry.Records(service)...)
		}
	})
	return records, err
}

// connect opens the stream to another replica if there is none and it is due.
func (server *Server) connect(ctx context.Context, now time.Time, subscription *replicaSubscription) {
	if subscription.writer != nil || subscription.opening || now.Before(subscription.connectAt) {
		return
	}
	subscription.opening = true
	go func() {
		link, err := server.Open(ctx, subscription.replica.Address)
		loopErr := server.loop.do(ctx, func(now time.Time) {
			subscription.opening = false
			if err != nil {
				subscription.connectAt = now.Add(subscription.backoff.next(server.Random))
				return
			}
			if subscription.removed {
				_ = link.Close()
				return
			}
			server.attach(ctx, subscription, link)
		})
		if loopErr != nil && err == nil {
			_ = link.Close()
		}
	}()
}

func (server *Server) attach(ctx context.Context, subscription *replicaSubscription, link Link) {
	subscription.backoff.reset()
	output := newWriter(link)
	subscription.writer = output
	_ = output.send(&pb.Request{Join: true})
	go func() {
		for {
			reply := &pb.Reply{}
			if link.Receive(reply) != nil {
				break
			}
			err := server.loop.do(ctx, func(now time.Time) {
				if server.hub.receiveFromReplica(now, subscription.replica.ID, reply) {
					_ = output.send(&pb.Request{Join: true})
				}
			})
			if err != nil {
				break
			}
		}
		output.finish()
		_ = server.loop.do(context.WithoutCancel(ctx), func(now time.Time) {
			subscription.writer = nil
			subscription.connectAt = now.Add(subscription.backoff.next(server.Random))
			server.warn("registry: stream to another replica ended", subscription.replica.ID)
		})
	}()
}

func (server *Server) closeSubscriptions() {
	for _, subscription := range server.subscriptions {
		if subscription.writer != nil {
			subscription.writer.finish()
		}
	}
}

// logQuorum logs that the quorum was lost or reached again.
func (server *Server) logQuorum(wasLost bool) {
	switch {
	case server.Logger == nil || server.hub.wasLost == wasLost:
	case server.hub.wasLost:
		server.Logger.Warn().Int("leases", server.Registry.LeaseCount()).Msg("registry: this replica has lost its quorum; its nodes ask the other replicas")
	default:
		server.Logger.Info().Int("leases", server.Registry.LeaseCount()).Msg("registry: this replica has a quorum again")
	}
}

func (server *Server) warn(text string, replica request.NodeID) {
	if server.Logger != nil {
		server.Logger.Warn().Str("replica", string(replica)).Msg(text)
	}
}
