package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// subscriber is implemented by [membership.View] and by the naive version.
type subscriber interface {
	Subscription() membership.Subscription
	Apply(time.Time, membership.Update) ([]request.ServiceName, bool)
	Check(membership.Lease) bool
	Records(request.ServiceName) []membership.Record
}

type member struct {
	announcement membership.Announcement
	alive        bool
	replica      int
}

// queuedUpdate is an update that has not yet arrived at the view or at a replica.
type queuedUpdate struct {
	from   int
	update membership.Update
}

// simulation runs two replicas, their nodes and one subscriber over queues that
// lose, repeat and reorder messages.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	lastEpoch membership.Epoch
	replicas  [2]*membership.Registry
	members   []*member
	view      subscriber
	// viewReplica is the index of the replica to which the view is subscribed.
	viewReplica   int
	viewQueue     []queuedUpdate
	replicaQueues [2][]queuedUpdate
	// highestIncarnations are those that the view has listed. olderListed is set
	// when it lists a lower one.
	highestIncarnations map[request.NodeID]membership.Incarnation
	olderListed         bool
}

func newSimulation(seed uint64, view subscriber) *simulation {
	simulation := &simulation{random: rand.New(rand.NewPCG(seed, 5)), now: start, view: view, highestIncarnations: map[request.NodeID]membership.Incarnation{}}
	for index := range simulation.replicas {
		simulation.start(index)
	}
	for index := range 6 {
		simulation.members = append(simulation.members, &member{announcement: announce(fmt.Sprintf("node-%d", index), 1), alive: true, replica: index % 2})
		simulation.register(simulation.members[index])
	}
	simulation.subscribe()
	return simulation
}

func replicaID(index int) request.NodeID {
	return request.NodeID(fmt.Sprintf("replica-%d", index))
}

func (simulation *simulation) start(index int) {
	simulation.lastEpoch++
	simulation.replicas[index] = &membership.Registry{Self: replicaID(index), RegistrationsPerSecond: 1e6}
	simulation.replicas[index].Start(simulation.now, simulation.lastEpoch)
}

// register registers a node as its adapter does: if the replica asks for it, once
// more with a higher sequence.
func (simulation *simulation) register(node *member) {
	registry := simulation.replicas[node.replica]
	lease := registry.Register(simulation.now, node.announcement)
	if !lease.RegisterAgain {
		return
	}
	node.announcement.Incarnation = max(node.announcement.Incarnation, lease.MinIncarnation)
	node.announcement.Sequence = max(node.announcement.Sequence, lease.AboveSequence) + 1
	registry.Register(simulation.now, node.announcement)
}

func (simulation *simulation) renewAll() {
	for _, node := range simulation.members {
		if !node.alive {
			continue
		}
		announcement := node.announcement
		lease := simulation.replicas[node.replica].Renew(simulation.now, announcement.Node, announcement.Incarnation, announcement.Sequence)
		if lease.Duration == 0 {
			simulation.register(node)
		}
	}
}

func (simulation *simulation) changeMember(node *member) {
	switch simulation.random.IntN(4) {
	case 0:
		node.announcement.Sequence++
		node.announcement.State = membership.State(simulation.random.IntN(3))
	case 1:
		node.alive = false
		return
	case 2:
		node.announcement.Incarnation++
		node.announcement.Sequence = 1
		node.alive = true
	case 3:
		node.replica = 1 - node.replica
		node.announcement.Sequence++
	}
	if node.alive {
		simulation.register(node)
	}
}

// advance moves the time forward by one tick, in which every live node renews its
// lease.
func (simulation *simulation) advance(elapsed time.Duration) {
	simulation.now = simulation.now.Add(elapsed)
	simulation.renewAll()
	for index, registry := range simulation.replicas {
		registry.Tick(simulation.now)
		for _, update := range registry.Pull(simulation.now, "view") {
			if index == simulation.viewReplica {
				simulation.viewQueue = append(simulation.viewQueue, queuedUpdate{from: index, update: update})
			}
		}
		for _, update := range registry.PullReplica(simulation.now, replicaID(1-index)) {
			simulation.replicaQueues[1-index] = append(simulation.replicaQueues[1-index], queuedUpdate{from: index, update: update})
		}
	}
}

func (simulation *simulation) subscribe() {
	answer := simulation.replicas[simulation.viewReplica].Subscribe(simulation.now, "view", simulation.view.Subscription())
	simulation.viewQueue = append(simulation.viewQueue, queuedUpdate{from: simulation.viewReplica, update: answer})
}

// takeRandom takes a random update from a queue. The update may be lost, or stay
// in the queue to be delivered again.
func (simulation *simulation) takeRandom(queue *[]queuedUpdate) (queuedUpdate, bool) {
	if len(*queue) == 0 {
		return queuedUpdate{}, false
	}
	index := simulation.random.IntN(len(*queue))
	selected := (*queue)[index]
	if simulation.random.IntN(4) > 0 {
		*queue = append((*queue)[:index:index], (*queue)[index+1:]...)
	}
	return selected, simulation.random.IntN(4) > 0
}

func (simulation *simulation) applyToView(received queuedUpdate) {
	_, resync := simulation.view.Apply(simulation.now, received.update)
	for _, record := range simulation.view.Records(service) {
		if record.Incarnation < simulation.highestIncarnations[record.Node] {
			simulation.olderListed = true
		}
		simulation.highestIncarnations[record.Node] = max(simulation.highestIncarnations[record.Node], record.Incarnation)
	}
	if resync && received.from == simulation.viewReplica {
		simulation.subscribe()
	}
}

func (simulation *simulation) applyToReplica(receiver int, received queuedUpdate) {
	if simulation.replicas[receiver].ApplyReplica(simulation.now, replicaID(received.from), received.update) {
		simulation.subscribeReplica(receiver)
	}
}

func (simulation *simulation) subscribeReplica(receiver int) {
	answer := simulation.replicas[1-receiver].SubscribeReplica(simulation.now, replicaID(receiver))
	simulation.replicaQueues[receiver] = append(simulation.replicaQueues[receiver], queuedUpdate{from: 1 - receiver, update: answer})
}

// checkPositions compares positions as each renewal and each heartbeat does.
func (simulation *simulation) checkPositions() {
	epoch, sent := simulation.replicas[simulation.viewReplica].Position("view")
	if simulation.view.Check(membership.Lease{Duration: 1, Epoch: epoch, SentSequence: sent}) {
		simulation.subscribe()
	}
	for receiver := range simulation.replicas {
		epoch, sent := simulation.replicas[1-receiver].PositionReplica(replicaID(receiver))
		if simulation.replicas[receiver].RecordHeartbeat(simulation.now, replicaID(1-receiver), epoch, sent) {
			simulation.subscribeReplica(receiver)
		}
	}
}

func (simulation *simulation) randomEvent() {
	switch simulation.random.IntN(12) {
	case 0, 1, 2:
		simulation.changeMember(simulation.members[simulation.random.IntN(len(simulation.members))])
	case 3, 4:
		simulation.advance(time.Duration(simulation.random.IntN(500)) * time.Millisecond)
	case 5, 6, 7:
		if received, ok := simulation.takeRandom(&simulation.viewQueue); ok {
			simulation.applyToView(received)
		}
	case 8, 9:
		receiver := simulation.random.IntN(2)
		if received, ok := simulation.takeRandom(&simulation.replicaQueues[receiver]); ok {
			simulation.applyToReplica(receiver, received)
		}
	case 10:
		simulation.checkPositions()
	case 11:
		simulation.randomFault()
	}
}

func (simulation *simulation) randomFault() {
	switch simulation.random.IntN(6) {
	case 0:
		simulation.start(simulation.random.IntN(2))
	case 1:
		simulation.viewReplica = 1 - simulation.viewReplica
		if view, ok := simulation.view.(*membership.View); ok {
			view.ResetPosition()
		}
		simulation.subscribe()
	}
}

// settle delivers all messages for 15 s, so that every lease has ended or was
// renewed.
func (simulation *simulation) settle() {
	for range 150 {
		simulation.advance(100 * time.Millisecond)
		for receiver := range simulation.replicaQueues {
			queued := simulation.replicaQueues[receiver]
			simulation.replicaQueues[receiver] = nil
			for _, received := range queued {
				simulation.applyToReplica(receiver, received)
			}
		}
		queued := simulation.viewQueue
		simulation.viewQueue = nil
		for _, received := range queued {
			simulation.applyToView(received)
		}
		simulation.checkPositions()
	}
}

// expected returns the announcements that every list must hold after settle.
func (simulation *simulation) expected() map[request.NodeID]membership.Announcement {
	alive := map[request.NodeID]membership.Announcement{}
	for _, node := range simulation.members {
		if node.alive {
			alive[node.announcement.Node] = node.announcement
		}
	}
	return alive
}

func announcements(records []membership.Record) map[request.NodeID]membership.Announcement {
	found := map[request.NodeID]membership.Announcement{}
	for _, record := range records {
		found[record.Node] = record.Announcement
	}
	return found
}

// TestViewConvergesAndNeverListsOlderIncarnation covers lost, repeated and
// reordered updates, reconnects, moves to a replica with outdated records, and
// restarts of replicas.
func TestViewConvergesAndNeverListsOlderIncarnation(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		simulation := newSimulation(rapid.Uint64().Draw(r, "seed"), &membership.View{Services: []request.ServiceName{service}})
		for range rapid.IntRange(20, 300).Draw(r, "steps") {
			simulation.randomEvent()
		}
		simulation.settle()
		expect.Expect(simulation.olderListed).To(gomega.BeFalse(), "the view listed an older incarnation after a newer one")
		for _, registry := range simulation.replicas {
			expect.Expect(announcements(registry.Records(service))).To(gomega.Equal(simulation.expected()))
		}
		expect.Expect(announcements(simulation.view.Records(service))).To(gomega.Equal(simulation.expected()))
	})
}

// TestNaiveViewListsOlderIncarnation shows that the simulation detects a view that
// applies every update as it arrives: with some seed it lists an older
// incarnation again.
func TestNaiveViewListsOlderIncarnation(t *testing.T) {
	listedOlder := false
	for seed := range uint64(50) {
		simulation := newSimulation(seed, &naive.View{})
		for range 300 {
			simulation.randomEvent()
		}
		listedOlder = listedOlder || simulation.olderListed
	}
	gomega.NewWithT(t).Expect(listedOlder).To(gomega.BeTrue())
}
