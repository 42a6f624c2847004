package registry

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	frameBytes = 17
	muxBytes   = 12
)

// fleet drives desks and agents by hand: each message arrives at once and in
// order, and time passes only by pass.
type fleet struct {
	now      time.Time
	replicas []*replicaStub
	nodes    []*nodeStub
	bytes    int
	messages int
}

type replicaStub struct {
	id    request.NodeID
	desk  *desk
	dead  bool
	joins map[int]*session
}

type nodeStub struct {
	agent   *agent
	replica int
	session *session
	inbox   []*pb.Reply
	dead    bool
	lists   map[request.ServiceName][]balancer.Target
	version configuration.Version
	log     []string
}

func newFleet(replicas int) *fleet {
	made := &fleet{now: start}
	for index := range replicas {
		made.replicas = append(made.replicas, &replicaStub{id: request.NodeID(fmt.Sprintf("replica-%d", index))})
	}
	for index := range made.replicas {
		made.startReplica(index)
	}
	return made
}

func (f *fleet) startReplica(index int) {
	replica := f.replicas[index]
	registry := &membership.Registry{Self: replica.id}
	registry.Start(f.now, membership.Epoch(f.now.UnixNano()+int64(index)))
	replica.desk = &desk{
		registry:  registry,
		publisher: &distribution.Publisher{},
		tracker:   &distribution.Tracker{},
		confirmed: func() bool { return true },
		members:   map[request.NodeID]bool{},
	}
	replica.dead = false
	for other := range f.replicas {
		if other != index && f.replicas[other].desk != nil && !f.replicas[other].dead {
			f.join(index, other)
			f.join(other, index)
		}
	}
}

// join lets one replica read the records of another.
func (f *fleet) join(reader, source int) {
	to, from := f.replicas[reader], f.replicas[source]
	from.desk.members[to.id] = true
	var opened *session
	opened = from.desk.open(to.id, request.Place{}, func(reply *pb.Reply) {
		if !to.dead && !from.dead && to.desk.fromReplica(f.now, from.id, f.carry(reply)) {
			from.desk.receive(f.now, opened, &pb.Request{Join: true})
		}
	})
	if from.joins == nil {
		from.joins = map[int]*session{}
	}
	from.joins[reader] = opened
	from.desk.receive(f.now, opened, &pb.Request{Join: true})
}

// carry encodes and decodes a message as the wire does and counts it.
func (f *fleet) carry(reply *pb.Reply) *pb.Reply {
	decoded := &pb.Reply{}
	f.count(reply, decoded)
	return decoded
}

func (f *fleet) count(message, decoded proto.Message) {
	payload, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(payload, decoded); err != nil {
		panic(err)
	}
	f.bytes += len(payload) + frameBytes + muxBytes
	f.messages++
}

func (f *fleet) addNode(name string, service request.ServiceName, place request.Place, calls []request.ServiceName, replica int) *nodeStub {
	added := &nodeStub{lists: map[request.ServiceName][]balancer.Target{}}
	added.agent = &agent{
		self: membership.Announcement{
			Node: request.NodeID(name), Incarnation: membership.Incarnation(f.now.UnixNano()), Sequence: 1,
			Address: "127.0.10.20:7001", Place: place, Service: service, Slots: 50,
		},
		view:     &membership.View{Services: calls},
		follower: &distribution.Follower{Patch: configuration.Patch},
		events: Events{
			Targets: func(_ time.Time, view balancer.View) {
				added.lists[view.Service] = view.Targets
				added.log = append(added.log, fmt.Sprintf("targets %d", len(view.Targets)))
			},
			Configuration: func(number configuration.Version, _ []byte) { added.version = number },
			Reports: func(_ time.Time, report quarantine.Report) {
				added.log = append(added.log, fmt.Sprintf("report %d", report.Event))
			},
		},
	}
	f.nodes = append(f.nodes, added)
	f.attach(added, replica)
	return added
}

// attach opens the node's stream to a replica.
func (f *fleet) attach(node *nodeStub, replica int) {
	if f.replicas[replica].dead {
		return
	}
	node.replica = replica
	self := node.agent.self
	node.session = f.replicas[replica].desk.open(self.Node, self.Place, func(reply *pb.Reply) {
		node.inbox = append(node.inbox, f.carry(reply))
	})
	f.submit(node, node.agent.connected(f.now))
}

func (f *fleet) submit(node *nodeStub, message *pb.Request) {
	for message != nil && node.session != nil && !f.replicas[node.replica].dead {
		decoded := &pb.Request{}
		f.count(message, decoded)
		f.replicas[node.replica].desk.receive(f.now, node.session, decoded)
		message = nil
		for len(node.inbox) > 0 && !node.dead {
			reply := node.inbox[0]
			node.inbox = node.inbox[1:]
			f.submit(node, node.agent.receive(f.now, reply))
		}
	}
}

func (f *fleet) drain(node *nodeStub) {
	for len(node.inbox) > 0 && !node.dead {
		reply := node.inbox[0]
		node.inbox = node.inbox[1:]
		f.submit(node, node.agent.receive(f.now, reply))
	}
}

// pass lets time go by, tick by tick, until the condition holds or the span is
// over; it gives the time that passed.
func (f *fleet) pass(span time.Duration, until func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < span {
		f.now = f.now.Add(TickInterval)
		for _, replica := range f.replicas {
			if !replica.dead {
				replica.desk.tick(f.now)
			}
		}
		for _, node := range f.nodes {
			if !node.dead {
				f.drain(node)
				f.submit(node, node.agent.tick(f.now))
			}
		}
		if until != nil && until() {
			break
		}
	}
	return f.now.Sub(begin)
}

// breakSession closes the node's stream, as the death of its process does.
func (f *fleet) breakSession(node *nodeStub) {
	if !f.replicas[node.replica].dead {
		f.replicas[node.replica].desk.close(f.now, node.session)
	}
	node.session = nil
	node.inbox = nil
	node.agent.attached = false
}

// killReplica ends a replica and the streams to it.
func (f *fleet) killReplica(index int) {
	killed := f.replicas[index]
	killed.dead = true
	for _, node := range f.nodes {
		if node.replica == index && node.session != nil {
			f.breakSession(node)
		}
	}
	for other, replica := range f.replicas {
		if other != index && replica.joins[index] != nil {
			replica.desk.close(f.now, replica.joins[index])
			delete(replica.joins, index)
		}
	}
}

func (f *fleet) publish(version distribution.Version) {
	for _, replica := range f.replicas {
		if !replica.dead {
			if err := replica.desk.publisher.Publish(version); err != nil {
				panic(err)
			}
		}
	}
}
