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

var startTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	frameHeaderBytes = 17
	yamuxHeaderBytes = 12
)

// testFleet connects hubs and agents in memory. Each message arrives at once and
// in order, and time passes only in advance.
type testFleet struct {
	now      time.Time
	replicas []*fleetReplica
	nodes    []*fleetNode
	bytes    int
	messages int
	// nodeCut and replicaCut report whether messages between a node and a replica, or
	// from one replica to another, are lost; nil means none.
	nodeCut    func(node *fleetNode, replica int) bool
	replicaCut func(from, to int) bool
}

type fleetReplica struct {
	id       request.NodeID
	hub      *hub
	dead     bool
	sessions map[int]*session
}

type fleetNode struct {
	agent   *agent
	replica int
	session *session
	inbox   []*pb.Reply
	dead    bool
	lists   map[request.ServiceName][]balancer.Target
	version configuration.Version
	events  []string
	// reportAge is the age of the last report.
	reportAge time.Duration
}

func newFleet(replicas int) *testFleet {
	fleet := &testFleet{now: startTime}
	for index := range replicas {
		fleet.replicas = append(fleet.replicas, &fleetReplica{id: request.NodeID(fmt.Sprintf("replica-%d", index))})
	}
	for index := range fleet.replicas {
		fleet.startReplica(index)
	}
	return fleet
}

func (fleet *testFleet) startReplica(index int) {
	replica := fleet.replicas[index]
	registry := &membership.Registry{Self: replica.id}
	registry.Start(fleet.now, membership.Epoch(fleet.now.UnixNano()+int64(index)))
	replica.hub = &hub{
		registry:  registry,
		publisher: &distribution.Publisher{},
		tracker:   &distribution.Tracker{},
		confirmed: func() bool { return true },
		members:   map[request.NodeID]bool{},
	}
	replica.dead = false
	for other := range fleet.replicas {
		if other != index && fleet.replicas[other].hub != nil && !fleet.replicas[other].dead {
			fleet.subscribe(index, other)
			fleet.subscribe(other, index)
		}
	}
}

// subscribe subscribes the replica reader to the records of the replica source.
func (fleet *testFleet) subscribe(reader, source int) {
	to, from := fleet.replicas[reader], fleet.replicas[source]
	from.hub.members[to.id] = true
	var opened *session
	opened = from.hub.open(to.id, request.Place{}, func(reply *pb.Reply) {
		if fleet.replicaCut != nil && fleet.replicaCut(source, reader) {
			return
		}
		if !to.dead && !from.dead && to.hub.receiveFromReplica(fleet.now, from.id, fleet.transmit(reply)) {
			from.hub.receive(fleet.now, opened, &pb.Request{Join: true})
		}
	})
	if from.sessions == nil {
		from.sessions = map[int]*session{}
	}
	from.sessions[reader] = opened
	from.hub.receive(fleet.now, opened, &pb.Request{Join: true})
}

// transmit returns the message as its receiver decodes it, and counts its bytes.
func (fleet *testFleet) transmit(reply *pb.Reply) *pb.Reply {
	decoded := &pb.Reply{}
	fleet.roundTrip(reply, decoded)
	return decoded
}

func (fleet *testFleet) roundTrip(message, decoded proto.Message) {
	payload, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(payload, decoded); err != nil {
		panic(err)
	}
	fleet.bytes += len(payload) + frameHeaderBytes + yamuxHeaderBytes
	fleet.messages++
}

func (fleet *testFleet) addNode(name string, service request.ServiceName, place request.Place, calls []request.ServiceName, replica int) *fleetNode {
	added := &fleetNode{lists: map[request.ServiceName][]balancer.Target{}}
	added.agent = &agent{
		self: membership.Announcement{
			Node: request.NodeID(name), Incarnation: membership.Incarnation(fleet.now.UnixNano()), Sequence: 1,
			Address: "127.0.10.20:7001", Place: place, Service: service, Slots: 50,
		},
		view:     &membership.View{Services: calls},
		follower: &distribution.Follower{Patch: configuration.Patch},
		events: Events{
			Targets: func(_ time.Time, view balancer.View) {
				added.lists[view.Service] = view.Targets
				added.events = append(added.events, fmt.Sprintf("targets %d", len(view.Targets)))
			},
			Configuration: func(number configuration.Version, _ []byte) { added.version = number },
			Reports: func(_ time.Time, reports []quarantine.Report) {
				for _, report := range reports {
					added.events = append(added.events, fmt.Sprintf("report %d", report.Event))
					added.reportAge = report.Age
				}
			},
		},
	}
	fleet.nodes = append(fleet.nodes, added)
	fleet.connect(added, replica)
	return added
}

// connect opens the node's stream to a replica.
func (fleet *testFleet) connect(node *fleetNode, replica int) {
	if fleet.replicas[replica].dead {
		return
	}
	node.replica = replica
	self := node.agent.self
	var opened *session
	opened = fleet.replicas[replica].hub.open(self.Node, self.Place, func(reply *pb.Reply) {
		if node.session == opened && !fleet.isCut(node) {
			node.inbox = append(node.inbox, fleet.transmit(reply))
		}
	})
	node.session = opened
	fleet.send(node, node.agent.attach(fleet.now, replicaAddress(replica)))
}

func (fleet *testFleet) isCut(node *fleetNode) bool {
	return fleet.nodeCut != nil && fleet.nodeCut(node, node.replica)
}

func (fleet *testFleet) send(node *fleetNode, message *pb.Request) {
	if fleet.isCut(node) {
		return
	}
	for message != nil && node.session != nil && !fleet.replicas[node.replica].dead {
		decoded := &pb.Request{}
		fleet.roundTrip(message, decoded)
		fleet.replicas[node.replica].hub.receive(fleet.now, node.session, decoded)
		message = nil
		for len(node.inbox) > 0 && !node.dead {
			reply := node.inbox[0]
			node.inbox = node.inbox[1:]
			fleet.send(node, node.agent.receive(fleet.now, reply))
		}
	}
}

func (fleet *testFleet) deliver(node *fleetNode) {
	for len(node.inbox) > 0 && !node.dead {
		reply := node.inbox[0]
		node.inbox = node.inbox[1:]
		fleet.send(node, node.agent.receive(fleet.now, reply))
	}
}

// advance moves the clock forward tick by tick until the condition holds or span
// has passed, and returns the time that passed.
func (fleet *testFleet) advance(span time.Duration, until func() bool) time.Duration {
	startedAt := fleet.now
	for fleet.now.Sub(startedAt) < span {
		fleet.now = fleet.now.Add(TickInterval)
		for _, replica := range fleet.replicas {
			if !replica.dead {
				replica.hub.tick(fleet.now)
			}
		}
		for _, node := range fleet.nodes {
			if !node.dead {
				fleet.deliver(node)
				fleet.send(node, node.agent.tick(fleet.now))
			}
		}
		if until != nil && until() {
			break
		}
	}
	return fleet.now.Sub(startedAt)
}

// disconnect closes the node's stream, as the end of its process does.
func (fleet *testFleet) disconnect(node *fleetNode) {
	if !fleet.replicas[node.replica].dead {
		fleet.replicas[node.replica].hub.close(fleet.now, node.session)
	}
	node.session = nil
	node.inbox = nil
	node.agent.attached = false
}

// killReplica stops a replica and closes all streams to it.
func (fleet *testFleet) killReplica(index int) {
	killed := fleet.replicas[index]
	killed.dead = true
	for _, node := range fleet.nodes {
		if node.replica == index && node.session != nil {
			fleet.disconnect(node)
		}
	}
	for other, replica := range fleet.replicas {
		if other != index && replica.sessions[index] != nil {
			replica.hub.close(fleet.now, replica.sessions[index])
			delete(replica.sessions, index)
		}
	}
}

func (fleet *testFleet) publish(version distribution.Version) {
	for _, replica := range fleet.replicas {
		if !replica.dead {
			if err := replica.hub.publisher.Publish(version); err != nil {
				panic(err)
			}
		}
	}
}
