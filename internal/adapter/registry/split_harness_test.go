package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Times of the model of the replica group. A read fails while the replica does not reach a
// leader with a majority; another leader is elected after electionTime.
const (
	readInterval = time.Second
	electionTime = time.Second
	// quorumLossTimeout is that of a replica's reconciler.
	quorumLossTimeout = 1500 * time.Millisecond
)

// splitFleet is a fleet whose links can be cut, whose nodes choose their replicas
// themselves, and whose replicas share a log. Nodes show each other no versions.
type splitFleet struct {
	*testFleet
	random *rand.Rand
	// nodes are those of testFleet with their selectors.
	nodes []*choosingNode

	// replicaCuts holds the directions between replicas in which messages are lost, nodeCuts
	// the nodes and replicas between which they are.
	replicaCuts map[[2]int]bool
	nodeCuts    map[[2]int]bool
	frozen      map[int]bool

	leader     int
	leaderless time.Duration
	readAt     []time.Time
	// confirmedAt is when the last successful read of each replica began.
	confirmedAt []time.Time
	published   []configuration.Version
	// accepted holds the time at which each version was accepted.
	accepted map[configuration.Version]time.Time
	newest   configuration.Version
	versions []distribution.Version

	// opened counts the streams that nodes tried to open, by replica.
	opened []int
}

// choosingNode is a node with its selector, as Client runs it.
type choosingNode struct {
	*fleetNode
	index     int
	selector  *selector
	directory *peer.Directory
	attempt   *attempt
}

// attempt is a stream that is being opened to a replica.
type attempt struct {
	replica int
	endsAt  time.Time
}

func newSplitFleet(seed uint64, replicas, nodes int) *splitFleet {
	fleet := &splitFleet{
		testFleet: newFleet(replicas), random: rand.New(rand.NewPCG(seed, seed)),
		replicaCuts: map[[2]int]bool{}, nodeCuts: map[[2]int]bool{}, frozen: map[int]bool{},
		readAt: make([]time.Time, replicas), confirmedAt: make([]time.Time, replicas),
		published: make([]configuration.Version, replicas), accepted: map[configuration.Version]time.Time{},
		opened: make([]int, replicas),
	}
	fleet.testFleet.replicaCut = fleet.isReplicaCut
	indexes := map[*fleetNode]int{}
	fleet.testFleet.nodeCut = func(node *fleetNode, replica int) bool {
		index, known := indexes[node]
		return known && fleet.isNodeCut(index, replica)
	}
	var places []peer.ReplicaPlace
	for index := range replicas {
		fleet.readAt[index] = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(readInterval))))
		fleet.confirmedAt[index] = fleet.now
		fleet.replicas[index].hub.confirmed = func() bool { return fleet.now.Sub(fleet.confirmedAt[index]) < 2*time.Second }
		fleet.replicas[index].hub.quorumLost = func() bool { return fleet.now.Sub(fleet.confirmedAt[index]) > quorumLossTimeout }
		places = append(places, peer.ReplicaPlace{Address: replicaAddress(index), Domain: placeAt(index).Domain})
	}
	for index := range nodes {
		fleet.addChoosingNode(index, places)
		indexes[fleet.nodes[index].fleetNode] = index
	}
	return fleet
}

func replicaAddress(index int) peer.Address {
	return peer.Address(fmt.Sprintf("127.0.0.%d:7001", index+1))
}

func (fleet *splitFleet) addChoosingNode(index int, places []peer.ReplicaPlace) {
	name := fmt.Sprintf("node-%02d", index)
	home := index % len(places)
	node := &choosingNode{
		fleetNode: fleet.addNode(name, service, placeAt(home), []request.ServiceName{service}, home),
		index:     index,
		directory: &peer.Directory{Self: request.NodeID(name), Domain: placeAt(home).Domain, SortByHash: true},
		selector:  &selector{nearestRetryInterval: DefaultNearestRetryInterval, random: fleet.random},
	}
	node.directory.Learn(places)
	node.selector.register(fleet.now, replicaAddress(home), node.directory.List())
	fleet.nodes = append(fleet.nodes, node)
}

func (fleet *splitFleet) isReplicaCut(from, to int) bool {
	return fleet.replicaCuts[[2]int{from, to}] || fleet.frozen[from] || fleet.frozen[to]
}

func (fleet *splitFleet) isNodeCut(node, replica int) bool {
	return fleet.nodeCuts[[2]int{node, replica}] || fleet.frozen[replica]
}

// split cuts the replicas of one half from the others.
func (fleet *splitFleet) split(half []int) {
	for from := range fleet.replicas {
		for to := range fleet.replicas {
			if slices.Contains(half, from) != slices.Contains(half, to) {
				fleet.replicaCuts[[2]int{from, to}] = true
			}
		}
	}
}

// cutDomain cuts a replica, with the nodes of its failure domain, from all others.
func (fleet *splitFleet) cutDomain(domain int) {
	fleet.split([]int{domain})
	for _, node := range fleet.nodes {
		for replica := range fleet.replicas {
			if (node.index%len(fleet.replicas) == domain) != (replica == domain) {
				fleet.nodeCuts[[2]int{node.index, replica}] = true
			}
		}
	}
}

func (fleet *splitFleet) heal() {
	clear(fleet.replicaCuts)
	clear(fleet.nodeCuts)
	clear(fleet.frozen)
}

// reaches reports whether two replicas reach each other in both directions.
func (fleet *splitFleet) reaches(one, other int) bool {
	return one == other && !fleet.frozen[one] || !fleet.isReplicaCut(one, other) && !fleet.isReplicaCut(other, one)
}

func (fleet *splitFleet) hasMajority(leader int) bool {
	count := 0
	for other := range fleet.replicas {
		if fleet.reaches(leader, other) {
			count++
		}
	}
	return count > len(fleet.replicas)/2
}

// stepLog lets the replicas elect, read and learn the accepted versions.
func (fleet *splitFleet) stepLog() {
	if fleet.hasMajority(fleet.leader) {
		fleet.leaderless = 0
	} else if fleet.leaderless += TickInterval; fleet.leaderless >= electionTime {
		fleet.elect()
	}
	for index := range fleet.replicas {
		if fleet.now.Before(fleet.readAt[index]) || fleet.frozen[index] {
			continue
		}
		fleet.readAt[index] = fleet.now.Add(readInterval)
		if fleet.follows(index) {
			fleet.confirmedAt[index] = fleet.now
		}
	}
	for index := range fleet.replicas {
		if fleet.follows(index) {
			fleet.publishTo(index)
		}
	}
}

// follows reports whether a replica reaches a leader with a majority.
func (fleet *splitFleet) follows(index int) bool {
	return fleet.hasMajority(fleet.leader) && fleet.reaches(fleet.leader, index)
}

func (fleet *splitFleet) elect() {
	for index := range fleet.replicas {
		if fleet.hasMajority(index) {
			fleet.leader, fleet.leaderless = index, 0
			return
		}
	}
}

// accept lets the group accept another version, if it has a leader with a majority.
func (fleet *splitFleet) accept() {
	if fleet.hasMajority(fleet.leader) {
		fleet.newest++
		fleet.versions = append(fleet.versions, newVersion(int(fleet.newest)))
		fleet.accepted[fleet.newest] = fleet.now
	}
}

func (fleet *splitFleet) publishTo(index int) {
	for fleet.published[index] < fleet.newest {
		if err := fleet.replicas[index].hub.publisher.Publish(fleet.versions[fleet.published[index]]); err != nil {
			panic(err)
		}
		fleet.published[index]++
	}
}

// step advances the clock by a tick.
func (fleet *splitFleet) step() {
	fleet.now = fleet.now.Add(TickInterval)
	fleet.stepLog()
	for index, replica := range fleet.replicas {
		if !fleet.frozen[index] {
			replica.hub.tick(fleet.now)
		}
	}
	for _, node := range fleet.nodes {
		fleet.stepNode(node)
	}
}

// stepNode does what a client does in a tick.
func (fleet *splitFleet) stepNode(node *choosingNode) {
	fleet.deliver(node.fleetNode)
	fleet.send(node.fleetNode, node.agent.tick(fleet.now))
	node.selector.noteQuorum(fleet.now, node.agent.quorumLost)
	if node.agent.replicaUnresponsive(fleet.now) || node.agent.replicaOutdated(fleet.now) {
		fleet.disconnect(node.fleetNode)
		node.selector.abandon(node.directory.List())
	}
	if node.attempt != nil && !fleet.now.Before(node.attempt.endsAt) {
		fleet.finishAttempt(node)
	}
	if address, due := node.selector.next(fleet.now, node.directory.List()); due {
		fleet.startAttempt(node, address)
	}
}

// startAttempt opens a stream, which takes a tick, or the timeout if messages are lost.
func (fleet *splitFleet) startAttempt(node *choosingNode, address peer.Address) {
	replica := slices.IndexFunc(fleet.replicas, func(replica *fleetReplica) bool {
		return replicaAddress(slices.Index(fleet.replicas, replica)) == address
	})
	fleet.opened[replica]++
	took := TickInterval
	if fleet.isNodeCut(node.index, replica) {
		took = openTimeout
	}
	node.attempt = &attempt{replica: replica, endsAt: fleet.now.Add(took)}
}

func (fleet *splitFleet) finishAttempt(node *choosingNode) {
	replica := node.attempt.replica
	node.attempt = nil
	if fleet.isNodeCut(node.index, replica) {
		node.selector.fail(fleet.now, node.directory.List())
		return
	}
	lost := false
	if node.selector.registered {
		lost = fleet.inquire(replica)
	}
	if !node.selector.accepts(fleet.now, replicaAddress(replica), lost, node.directory.List()) {
		return
	}
	if node.session != nil {
		fleet.disconnect(node.fleetNode)
	}
	fleet.connect(node.fleetNode, replica)
	node.selector.register(fleet.now, replicaAddress(replica), node.directory.List())
}

// inquire asks a replica over a stream of its own whether it has lost its quorum.
func (fleet *splitFleet) inquire(replica int) bool {
	var answer *pb.Reply
	hub := fleet.replicas[replica].hub
	opened := hub.open("inquiry", request.Place{}, func(reply *pb.Reply) { answer = fleet.transmit(reply) })
	hub.receive(fleet.now, opened, &pb.Request{Inquire: true})
	hub.close(fleet.now, opened)
	return answer.GetQuorum().GetLost()
}

// outdated returns the nodes that lack a version that was accepted longer ago than the
// bound.
func (fleet *splitFleet) outdated(bound time.Duration, nodes []*choosingNode) []string {
	var due configuration.Version
	for number, at := range fleet.accepted {
		if fleet.now.Sub(at) > bound {
			due = max(due, number)
		}
	}
	var behind []string
	for _, node := range nodes {
		if node.version < due {
			behind = append(behind, fmt.Sprintf("%v: %s at %s has %d of %d", fleet.now.Sub(startTime), node.agent.self.Node, fleet.replicas[node.replica].id, node.version, due))
		}
	}
	return behind
}

// shortLists returns the nodes whose list has fewer targets than wanted.
func (fleet *splitFleet) shortLists(nodes []*choosingNode, wanted int) []string {
	var short []string
	for _, node := range nodes {
		if count := len(node.lists[service]); count < wanted {
			short = append(short, fmt.Sprintf("%v: %s at %s lists %d of %d", fleet.now.Sub(startTime), node.agent.self.Node, fleet.replicas[node.replica].id, count, wanted))
		}
	}
	return short
}

// homes returns the replica of each node.
func (fleet *splitFleet) homes() []int {
	var homes []int
	for _, node := range fleet.nodes {
		homes = append(homes, node.replica)
	}
	return homes
}

// awayFrom counts the nodes that are not registered with the given replicas.
func (fleet *splitFleet) awayFrom(homes []int) int {
	count := 0
	for index, home := range fleet.homes() {
		if home != homes[index] {
			count++
		}
	}
	return count
}
