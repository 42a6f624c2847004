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

// TickInterval is how often a server sends changes and a client looks at its
// lease.
const TickInterval = 100 * time.Millisecond

// ErrStopped tells that the server or client does not run.
var ErrStopped = errors.New("the registry does not run")

// Replica is a replica that the others join.
type Replica struct {
	ID      request.NodeID
	Address peer.Address
	Domain  request.DomainName
}

// Server is the registry of one replica. The exported fields are set before
// Run; the server is the only user of its three cores afterwards.
type Server struct {
	Registry  *membership.Registry
	Publisher *distribution.Publisher
	Tracker   *distribution.Tracker
	// Others lists the other replicas.
	Others []Replica
	Open   Open
	// Confirmed says whether a quorum read has lately shown that the newest
	// version here is the newest accepted one. It must not wait. Nil says no.
	Confirmed func() bool
	// Clock and Ticks default to the clock of the host and a ticker.
	Clock  func() time.Time
	Ticks  <-chan time.Time
	Random *rand.Rand
	Logger *log.Logger

	desk  desk
	loop  loop
	joins []*join
}

// join is this replica's stream to another one.
type join struct {
	replica   Replica
	gone      bool
	writer    *writer
	opening   bool
	connectAt time.Time
	pause     backoff
}

// Prepare readies the server for its first stream; Run does so by itself.
func (server *Server) Prepare() {
	server.loop.prepare()
}

// Run serves until the context ends.
func (server *Server) Run(ctx context.Context) error {
	server.Prepare()
	setClock(&server.Clock, &server.Random)
	ticks, stop := tickerOf(server.Ticks)
	defer stop()
	now := server.Clock()
	server.Registry.Start(now, membership.Epoch(now.UnixNano()))
	server.desk = desk{registry: server.Registry, publisher: server.Publisher, tracker: server.Tracker, confirmed: server.Confirmed, members: map[request.NodeID]bool{}}
	for _, other := range server.Others {
		server.desk.members[other.ID] = true
		server.joins = append(server.joins, &join{replica: other})
	}
	defer server.closeAll()
	return server.loop.run(ctx, server.Clock, ticks, func(now time.Time) {
		server.desk.tick(now)
		for _, joined := range server.joins {
			server.connect(ctx, now, joined)
		}
	})
}

// Handle serves the stream of a node or another replica; it is the handler of
// [peer.KindRegistry].
func (server *Server) Handle(ctx context.Context, stream *peer.Stream) {
	remote := stream.Remote()
	server.Serve(ctx, &peerLink{stream: stream}, remote.Node, remote.Place)
}

// Serve serves one link until it ends.
func (server *Server) Serve(ctx context.Context, link Link, node request.NodeID, place request.Place) {
	server.Prepare()
	output := newWriter(link)
	defer output.finish()
	var opened *session
	err := server.loop.do(ctx, func(time.Time) {
		opened = server.desk.open(node, place, func(reply *pb.Reply) { _ = output.send(reply) })
	})
	if err != nil {
		return
	}
	for {
		message := &pb.Request{}
		if link.Receive(message) != nil {
			break
		}
		err := server.loop.do(ctx, func(now time.Time) { server.desk.receive(now, opened, message) })
		if err != nil {
			break
		}
	}
	_ = server.loop.do(context.WithoutCancel(ctx), func(now time.Time) { server.desk.close(now, opened) })
}

// Publish gives the next version of the configuration to the nodes.
func (server *Server) Publish(ctx context.Context, version distribution.Version) error {
	server.Prepare()
	var err error
	lost := server.loop.do(ctx, func(time.Time) { err = server.Publisher.Publish(version) })
	return errors.Join(lost, err)
}

// Follow replaces the other replicas by those of a new membership of the log,
// and tells the nodes of it.
func (server *Server) Follow(ctx context.Context, members []Replica) error {
	server.Prepare()
	return server.loop.do(ctx, func(now time.Time) { server.follow(now, members) })
}

func (server *Server) follow(now time.Time, members []Replica) {
	var others []Replica
	for _, member := range members {
		if member.ID != server.Registry.Self {
			others = append(others, member)
		}
	}
	server.joins = slices.DeleteFunc(server.joins, func(joined *join) bool {
		joined.gone = !slices.Contains(others, joined.replica)
		if joined.gone && joined.writer != nil {
			joined.writer.finish()
		}
		return joined.gone
	})
	server.Others = others
	server.desk.admit(now, others)
	for _, other := range others {
		if !slices.ContainsFunc(server.joins, func(joined *join) bool { return joined.replica == other }) {
			server.joins = append(server.joins, &join{replica: other})
		}
	}
	server.desk.relocate(encodePlaces(members))
}

// Status tells which versions are in force in each failure domain.
func (server *Server) Status(ctx context.Context) ([]distribution.DomainStatus, error) {
	server.Prepare()
	var domains []distribution.DomainStatus
	err := server.loop.do(ctx, func(now time.Time) { domains = server.Tracker.Status(now) })
	return domains, err
}

// Silent lists the other replicas that were not heard of lately.
func (server *Server) Silent(ctx context.Context) ([]peer.Address, error) {
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

// Leases counts the leases that this replica holds.
func (server *Server) Leases(ctx context.Context) (int, error) {
	server.Prepare()
	var count int
	err := server.loop.do(ctx, func(time.Time) { count = server.Registry.LeaseCount() })
	return count, err
}

// Targets lists the live targets of the services.
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

// connect keeps the stream to another replica.
func (server *Server) connect(ctx context.Context, now time.Time, joined *join) {
	if joined.writer != nil || joined.opening || now.Before(joined.connectAt) {
		return
	}
	joined.opening = true
	go func() {
		link, err := server.Open(ctx, joined.replica.Address)
		lost := server.loop.do(ctx, func(now time.Time) {
			joined.opening = false
			if err != nil {
				joined.connectAt = now.Add(joined.pause.next(server.Random))
				return
			}
			if joined.gone {
				_ = link.Close()
				return
			}
			server.joined(ctx, joined, link)
		})
		if lost != nil && err == nil {
			_ = link.Close()
		}
	}()
}

func (server *Server) joined(ctx context.Context, joined *join, link Link) {
	joined.pause.reset()
	output := newWriter(link)
	joined.writer = output
	_ = output.send(&pb.Request{Join: true})
	go func() {
		for {
			reply := &pb.Reply{}
			if link.Receive(reply) != nil {
				break
			}
			err := server.loop.do(ctx, func(now time.Time) {
				if server.desk.fromReplica(now, joined.replica.ID, reply) {
					_ = output.send(&pb.Request{Join: true})
				}
			})
			if err != nil {
				break
			}
		}
		output.finish()
		_ = server.loop.do(context.WithoutCancel(ctx), func(now time.Time) {
			joined.writer = nil
			joined.connectAt = now.Add(joined.pause.next(server.Random))
			server.log("registry: lost the stream to another replica", joined.replica.ID)
		})
	}()
}

func (server *Server) closeAll() {
	for _, joined := range server.joins {
		if joined.writer != nil {
			joined.writer.finish()
		}
	}
}

func (server *Server) log(text string, replica request.NodeID) {
	if server.Logger != nil {
		server.Logger.Warn().Str("replica", string(replica)).Msg(text)
	}
}
