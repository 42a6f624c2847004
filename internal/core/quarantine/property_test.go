package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const service request.ServiceName = "consumo"

// loadBalancer is implemented by [balancer.Balancer] and its naive counterpart.
type loadBalancer interface {
	Update(time.Time, balancer.View)
	Pick(time.Time, *rand.Rand, balancer.Call) (balancer.Choice, request.Code)
	Sent(balancer.Choice)
	Answered(time.Time, balancer.Choice, balancer.Call, balancer.Answer)
}

// message is a report or a list of targets. Each node gets its messages in order.
type message struct {
	report *quarantine.Report
	list   []balancer.Target
}

type node struct {
	id       request.NodeID
	guard    *quarantine.Guard
	balancer loadBalancer
	queue    []message
}

type sentRequest struct {
	ticket      quarantine.Ticket
	fingerprint request.Fingerprint
	target      int
	sender      *node
	call        balancer.Call
	choice      balancer.Choice
}

// cluster is a small model of targets, the nodes that send requests to them, and
// the reports between the nodes.
type cluster struct {
	guarded        bool
	random         *rand.Rand
	now            time.Time
	targets        []balancer.Target
	alive          []bool
	owners         []*node
	senders        []*node
	running        []sentRequest
	waiting        []sentRequest
	lastTicket     quarantine.Ticket
	crashed        map[request.DomainName]map[request.NodeID]bool
	refused        []request.Fingerprint
	completedCount int
}

func newCluster(guarded bool, seed uint64, perDomain int) *cluster {
	cluster := &cluster{guarded: guarded, random: rand.New(rand.NewPCG(seed, 3)), now: start, crashed: map[request.DomainName]map[request.NodeID]bool{}}
	for domain := range 2 {
		place := request.Place{Region: "norte", Domain: request.DomainName(fmt.Sprintf("norte-%d", domain+1))}
		cluster.crashed[place.Domain] = map[request.NodeID]bool{}
		for index := range perDomain {
			id := request.NodeID(fmt.Sprintf("target-%d-%d", domain, index))
			cluster.targets = append(cluster.targets, balancer.Target{Node: id, Incarnation: 1, Place: place, Slots: 50})
			cluster.alive = append(cluster.alive, true)
			cluster.owners = append(cluster.owners, &node{id: id, guard: newGuard(id, place.Domain)})
		}
	}
	for index := range 4 {
		place := cluster.targets[index%2*perDomain].Place
		id := request.NodeID(fmt.Sprintf("sender-%d", index))
		sender := &node{id: id, guard: newGuard(id, place.Domain), balancer: &naive.Balancer{}}
		if guarded {
			sender.balancer = &balancer.Balancer{Self: id, Place: place}
		}
		sender.balancer.Update(cluster.now, balancer.View{Service: service, Targets: cluster.aliveTargets()})
		cluster.senders = append(cluster.senders, sender)
	}
	return cluster
}

func (cluster *cluster) aliveTargets() []balancer.Target {
	var alive []balancer.Target
	for index, target := range cluster.targets {
		if cluster.alive[index] {
			alive = append(alive, target)
		}
	}
	return alive
}

func (cluster *cluster) nodes() []*node {
	return append(append([]*node{}, cluster.owners...), cluster.senders...)
}

func (cluster *cluster) broadcast(sent message) {
	for _, receiver := range cluster.nodes() {
		receiver.queue = append(receiver.queue, sent)
	}
}

func (cluster *cluster) deliver(receiver *node) {
	if len(receiver.queue) == 0 {
		return
	}
	first := receiver.queue[0]
	receiver.queue = receiver.queue[1:]
	if first.report != nil {
		receiver.guard.Apply(cluster.now, *first.report)
	} else if receiver.balancer != nil {
		receiver.balancer.Update(cluster.now, balancer.View{Service: service, Targets: first.list})
	}
}

func (cluster *cluster) send(sender *node, fingerprint request.Fingerprint) {
	call := balancer.Call{Service: service, Repeatable: true, Fingerprint: fingerprint}
	if cluster.guarded {
		decision := sender.guard.Decide(cluster.now, fingerprint)
		if decision.Restriction == quarantine.Refused {
			cluster.refused = append(cluster.refused, fingerprint)
			return
		}
		call.SingleTarget = decision.Restriction != quarantine.Unrestricted
		call.AvoidNodes, call.AvoidDomains = decision.ExcludedNodes, decision.ExcludedDomains
	}
	picked, code := sender.balancer.Pick(cluster.now, cluster.random, call)
	if code != request.OK {
		return
	}
	sender.balancer.Sent(picked)
	cluster.lastTicket++
	arrived := sentRequest{ticket: cluster.lastTicket, fingerprint: fingerprint, sender: sender, call: call, choice: picked}
	for index, target := range cluster.targets {
		if target.Node == picked.Target.Node {
			arrived.target = index
		}
	}
	cluster.arrive(arrived)
}

func (cluster *cluster) arrive(arrived sentRequest) {
	if !cluster.alive[arrived.target] {
		cluster.answer(arrived, balancer.Unreachable)
		return
	}
	if !cluster.guarded {
		cluster.running = append(cluster.running, arrived)
		return
	}
	switch cluster.owners[arrived.target].guard.Admit(cluster.now, arrived.fingerprint, arrived.ticket) {
	case quarantine.Run:
		cluster.running = append(cluster.running, arrived)
	case quarantine.Wait:
		cluster.waiting = append(cluster.waiting, arrived)
	case quarantine.Refuse:
		cluster.refused = append(cluster.refused, arrived.fingerprint)
		cluster.answer(arrived, balancer.Neutral)
	}
}

func (cluster *cluster) answer(ended sentRequest, result balancer.Result) {
	ended.sender.balancer.Answered(cluster.now, ended.choice, ended.call, balancer.Answer{Result: result, Latency: time.Millisecond})
}

// finish ends one running request. A poison request crashes its target.
func (cluster *cluster) finish(index int) {
	ended := cluster.running[index]
	if ended.fingerprint == poison {
		cluster.crashTarget(ended)
		return
	}
	cluster.running = append(cluster.running[:index:index], cluster.running[index+1:]...)
	cluster.completedCount++
	owner := cluster.owners[ended.target]
	released := owner.guard.Finish(cluster.now, ended.ticket, true)
	cluster.answer(ended, balancer.Succeeded)
	for _, report := range owner.guard.TakeReports() {
		cluster.broadcast(message{report: &report})
	}
	cluster.release(released)
}

func (cluster *cluster) release(tickets []quarantine.Ticket) {
	waiting := cluster.waiting
	cluster.waiting = nil
	for _, candidate := range waiting {
		if contains(tickets, candidate.ticket) {
			cluster.arrive(candidate)
			continue
		}
		cluster.waiting = append(cluster.waiting, candidate)
	}
}

func contains(tickets []quarantine.Ticket, wanted quarantine.Ticket) bool {
	for _, ticket := range tickets {
		if ticket == wanted {
			return true
		}
	}
	return false
}

func (cluster *cluster) crashTarget(poisoned sentRequest) {
	target := poisoned.target
	cluster.alive[target] = false
	cluster.crashed[cluster.targets[target].Place.Domain][cluster.targets[target].Node] = true
	report, first := cluster.owners[target].guard.TargetDied(cluster.now, poisoned.ticket)
	if first {
		cluster.broadcast(message{report: &report})
	}
	cluster.broadcast(message{list: cluster.aliveTargets()})
	remaining := cluster.running[:0:0]
	for _, ended := range cluster.running {
		if ended.target == target {
			cluster.answer(ended, balancer.Died)
			continue
		}
		remaining = append(remaining, ended)
	}
	cluster.running = remaining
	cluster.release(cluster.owners[target].guard.TakeWaiting())
}

func (cluster *cluster) restart(target int) {
	if cluster.alive[target] {
		return
	}
	cluster.alive[target] = true
	cluster.targets[target].Incarnation++
	cluster.broadcast(message{list: cluster.aliveTargets()})
}

// step performs one random event.
func (cluster *cluster) step() {
	cluster.now = cluster.now.Add(5 * time.Millisecond)
	switch cluster.random.IntN(8) {
	case 0, 1:
		cluster.send(cluster.senders[cluster.random.IntN(len(cluster.senders))], poison)
	case 2, 3:
		cluster.send(cluster.senders[cluster.random.IntN(len(cluster.senders))], request.Fingerprint(1+cluster.random.IntN(12)))
	case 4:
		if len(cluster.running) > 0 {
			cluster.finish(cluster.random.IntN(len(cluster.running)))
		}
	case 5, 6:
		all := cluster.nodes()
		cluster.deliver(all[cluster.random.IntN(len(all))])
	case 7:
		cluster.restart(cluster.random.IntN(len(cluster.targets)))
	}
}

// settle keeps sending the poison request while all reports arrive and all
// targets restart.
func (cluster *cluster) settle() {
	for round := range 20 {
		cluster.now = cluster.now.Add(5 * time.Millisecond)
		cluster.send(cluster.senders[round%len(cluster.senders)], poison)
		for len(cluster.running) > 0 {
			cluster.finish(0)
		}
		for _, receiver := range cluster.nodes() {
			for len(receiver.queue) > 0 {
				cluster.deliver(receiver)
			}
		}
		for target := range cluster.targets {
			cluster.restart(target)
		}
	}
}

// A poison request crashes at most two targets of a failure domain and ends up
// refused everywhere, and no other request is refused. The random histories send
// requests from several nodes, delay reports and restart targets.
func TestPoisonCrashesAtMostTwoTargetsOfADomain(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		cluster := newCluster(true, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(1, 6).Draw(r, "targets per domain"))
		for range rapid.IntRange(50, 400).Draw(r, "steps") {
			cluster.step()
		}
		cluster.settle()
		for _, sender := range cluster.senders {
			expect.Expect(sender.guard.Decide(cluster.now, poison).Restriction).To(gomega.Equal(quarantine.Refused))
		}
		for domain, nodes := range cluster.crashed {
			expect.Expect(len(nodes)).To(gomega.BeNumerically("<=", 2), "%s: %v", domain, nodes)
		}
		for _, fingerprint := range cluster.refused {
			expect.Expect(fingerprint).To(gomega.Equal(poison))
		}
	})
}

// Without the guard, the same history crashes more than two targets of a failure
// domain.
func TestPoisonCrashesMoreTargetsWithoutGuard(t *testing.T) {
	unguarded := newCluster(false, uint64(suite.Seed()), 6)
	guarded := newCluster(true, uint64(suite.Seed()), 6)
	for range 400 {
		unguarded.step()
		guarded.step()
	}
	expect := gomega.NewWithT(t)
	expect.Expect(len(unguarded.crashed["norte-1"])).To(gomega.BeNumerically(">", 2))
	expect.Expect(len(guarded.crashed["norte-1"])).To(gomega.BeNumerically("<=", 2))
	expect.Expect(guarded.completedCount).To(gomega.BeNumerically(">", 20))
}
