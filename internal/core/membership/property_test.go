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

// subscriber is what the naive version and ours share.
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

// mail is an update on its way to the view or to a replica.
type mail struct {
	from   int
	update membership.Update
}

// model drives two replicas, their nodes and one subscriber over queues that
// lose, double and reorder.
type model struct {
	source   *rand.Rand
	now      time.Time
	epochs   membership.Epoch
	replicas [2]*membership.Registry
	members  []*member
	view     subscriber
	at       int
	toView   []mail
	between  [2][]mail
	highest  map[request.NodeID]membership.Incarnation
	lowered  bool
}

func newModel(seed uint64, view subscriber) *model {
	m := &model{source: rand.New(rand.NewPCG(seed, 5)), now: start, view: view, highest: map[request.NodeID]membership.Incarnation{}}
	for index := range m.replicas {
		m.start(index)
	}
	for index := range 6 {
		m.members = append(m.members, &member{announcement: announce(fmt.Sprintf("node-%d", index), 1), alive: true, replica: index % 2})
		m.register(m.members[index])
	}
	m.subscribe()
	return m
}

func replicaID(index int) request.NodeID {
	return request.NodeID(fmt.Sprintf("replica-%d", index))
}

func (m *model) start(index int) {
	m.epochs++
	m.replicas[index] = &membership.Registry{Self: replicaID(index), RegisterRate: 1e6}
	m.replicas[index].Start(m.now, m.epochs)
}

// register announces a node as its adapter does, rising above what is known.
func (m *model) register(node *member) {
	registry := m.replicas[node.replica]
	lease := registry.Register(m.now, node.announcement)
	if !lease.Again {
		return
	}
	node.announcement.Incarnation = max(node.announcement.Incarnation, lease.Incarnation)
	node.announcement.Sequence = max(node.announcement.Sequence, lease.Above) + 1
	registry.Register(m.now, node.announcement)
}

func (m *model) renewAll() {
	for _, node := range m.members {
		if !node.alive {
			continue
		}
		told := node.announcement
		lease := m.replicas[node.replica].Renew(m.now, told.Node, told.Incarnation, told.Sequence)
		if lease.Granted == 0 {
			m.register(node)
		}
	}
}

func (m *model) change(node *member) {
	switch m.source.IntN(4) {
	case 0:
		node.announcement.Sequence++
		node.announcement.State = membership.State(m.source.IntN(3))
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
		m.register(node)
	}
}

func (m *model) pass(span time.Duration) {
	m.now = m.now.Add(span)
	m.renewAll()
	for index, registry := range m.replicas {
		registry.Tick(m.now)
		for _, update := range registry.Pull(m.now, "view") {
			if index == m.at {
				m.toView = append(m.toView, mail{from: index, update: update})
			}
		}
		for _, update := range registry.PullReplica(m.now, replicaID(1-index)) {
			m.between[1-index] = append(m.between[1-index], mail{from: index, update: update})
		}
	}
}

func (m *model) subscribe() {
	answer := m.replicas[m.at].Subscribe(m.now, "view", m.view.Subscription())
	m.toView = append(m.toView, mail{from: m.at, update: answer})
}

// take removes one mail at random; it may be lost or stay for a second time.
func (m *model) take(queue *[]mail) (mail, bool) {
	if len(*queue) == 0 {
		return mail{}, false
	}
	index := m.source.IntN(len(*queue))
	taken := (*queue)[index]
	if m.source.IntN(4) > 0 {
		*queue = append((*queue)[:index:index], (*queue)[index+1:]...)
	}
	return taken, m.source.IntN(4) > 0
}

func (m *model) show(received mail) {
	_, resync := m.view.Apply(m.now, received.update)
	for _, record := range m.view.Records(service) {
		if record.Incarnation < m.highest[record.Node] {
			m.lowered = true
		}
		m.highest[record.Node] = max(m.highest[record.Node], record.Incarnation)
	}
	if resync && received.from == m.at {
		m.subscribe()
	}
}

func (m *model) exchange(receiver int, received mail) {
	if m.replicas[receiver].ApplyReplica(m.now, replicaID(received.from), received.update) {
		m.join(receiver)
	}
}

func (m *model) join(receiver int) {
	answer := m.replicas[1-receiver].SubscribeReplica(m.now, replicaID(receiver))
	m.between[receiver] = append(m.between[receiver], mail{from: 1 - receiver, update: answer})
}

// check compares positions as each renewal and each heartbeat does.
func (m *model) check() {
	epoch, sent := m.replicas[m.at].Position("view")
	if m.view.Check(membership.Lease{Granted: 1, Epoch: epoch, Sent: sent}) {
		m.subscribe()
	}
	for receiver := range m.replicas {
		epoch, sent := m.replicas[1-receiver].PositionReplica(replicaID(receiver))
		if m.replicas[receiver].Heard(m.now, replicaID(1-receiver), epoch, sent) {
			m.join(receiver)
		}
	}
}

func (m *model) step() {
	switch m.source.IntN(12) {
	case 0, 1, 2:
		m.change(m.members[m.source.IntN(len(m.members))])
	case 3, 4:
		m.pass(time.Duration(m.source.IntN(500)) * time.Millisecond)
	case 5, 6, 7:
		if received, ok := m.take(&m.toView); ok {
			m.show(received)
		}
	case 8, 9:
		receiver := m.source.IntN(2)
		if received, ok := m.take(&m.between[receiver]); ok {
			m.exchange(receiver, received)
		}
	case 10:
		m.check()
	case 11:
		m.disturb()
	}
}

func (m *model) disturb() {
	switch m.source.IntN(6) {
	case 0:
		m.start(m.source.IntN(2))
	case 1:
		m.at = 1 - m.at
		if view, ok := m.view.(*membership.View); ok {
			view.Connected()
		}
		m.subscribe()
	}
}

// settle lets all messages arrive until every lease has ended or was renewed.
func (m *model) settle() {
	for range 150 {
		m.pass(100 * time.Millisecond)
		for receiver := range m.between {
			waiting := m.between[receiver]
			m.between[receiver] = nil
			for _, received := range waiting {
				m.exchange(receiver, received)
			}
		}
		waiting := m.toView
		m.toView = nil
		for _, received := range waiting {
			m.show(received)
		}
		m.check()
	}
}

func (m *model) expected() map[request.NodeID]membership.Announcement {
	alive := map[request.NodeID]membership.Announcement{}
	for _, node := range m.members {
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

// TestSubscriberConvergesAndNeverGoesBack covers lost, doubled and reordered
// updates, reconnects, moves to a stale replica and restarts of replicas.
func TestSubscriberConvergesAndNeverGoesBack(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		run := newModel(rapid.Uint64().Draw(r, "seed"), &membership.View{Services: []request.ServiceName{service}})
		for range rapid.IntRange(20, 300).Draw(r, "steps") {
			run.step()
		}
		run.settle()
		expect.Expect(run.lowered).To(gomega.BeFalse(), "an older incarnation came back")
		for _, registry := range run.replicas {
			expect.Expect(announcements(registry.Records(service))).To(gomega.Equal(run.expected()))
		}
		expect.Expect(announcements(run.view.Records(service))).To(gomega.Equal(run.expected()))
	})
}

// TestNaiveSubscriberGoesBack shows that taking each update as it comes brings
// an older incarnation back on some seed.
func TestNaiveSubscriberGoesBack(t *testing.T) {
	lowered := false
	for seed := range uint64(50) {
		run := newModel(seed, &naive.View{})
		for range 300 {
			run.step()
		}
		lowered = lowered || run.lowered
	}
	gomega.NewWithT(t).Expect(lowered).To(gomega.BeTrue())
}
