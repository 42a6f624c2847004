package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const service request.ServiceName = "consumo"

// picker is what the naive version and ours share.
type picker interface {
	Update(time.Time, choice.View)
	Pick(time.Time, *rand.Rand, choice.Call) (choice.Choice, request.Code)
	Sent(choice.Choice)
	Answered(time.Time, choice.Choice, choice.Call, choice.Answer)
}

// message is a report or a list of targets; each node gets them in order.
type message struct {
	report *quarantine.Report
	list   []choice.Target
}

type node struct {
	id     request.NodeID
	guard  *quarantine.Guard
	picker picker
	queue  []message
}

type run struct {
	ticket      quarantine.Ticket
	fingerprint request.Fingerprint
	target      int
	sender      *node
	call        choice.Call
	choice      choice.Choice
}

// fleet is a small model of targets, the nodes that send to them and the
// reports between them.
type fleet struct {
	guarded bool
	source  *rand.Rand
	now     time.Time
	targets []choice.Target
	alive   []bool
	owners  []*node
	senders []*node
	running []run
	waiting []run
	tickets quarantine.Ticket
	crashed map[request.DomainName]map[request.NodeID]bool
	refused []request.Fingerprint
	served  int
}

func newFleet(guarded bool, seed uint64, perDomain int) *fleet {
	f := &fleet{guarded: guarded, source: rand.New(rand.NewPCG(seed, 3)), now: start, crashed: map[request.DomainName]map[request.NodeID]bool{}}
	for domain := range 2 {
		place := request.Place{Region: "norte", Domain: request.DomainName(fmt.Sprintf("norte-%d", domain+1))}
		f.crashed[place.Domain] = map[request.NodeID]bool{}
		for index := range perDomain {
			id := request.NodeID(fmt.Sprintf("target-%d-%d", domain, index))
			f.targets = append(f.targets, choice.Target{Node: id, Incarnation: 1, Place: place, Slots: 50})
			f.alive = append(f.alive, true)
			f.owners = append(f.owners, &node{id: id, guard: newGuard(id, place.Domain)})
		}
	}
	for index := range 4 {
		place := f.targets[index%2*perDomain].Place
		id := request.NodeID(fmt.Sprintf("sender-%d", index))
		sender := &node{id: id, guard: newGuard(id, place.Domain), picker: &naive.Chooser{}}
		if guarded {
			sender.picker = &choice.Chooser{Self: id, Place: place}
		}
		sender.picker.Update(f.now, choice.View{Service: service, Targets: f.list()})
		f.senders = append(f.senders, sender)
	}
	return f
}

func (f *fleet) list() []choice.Target {
	var list []choice.Target
	for index, target := range f.targets {
		if f.alive[index] {
			list = append(list, target)
		}
	}
	return list
}

func (f *fleet) nodes() []*node {
	return append(append([]*node{}, f.owners...), f.senders...)
}

func (f *fleet) broadcast(sent message) {
	for _, receiver := range f.nodes() {
		receiver.queue = append(receiver.queue, sent)
	}
}

func (f *fleet) deliver(receiver *node) {
	if len(receiver.queue) == 0 {
		return
	}
	first := receiver.queue[0]
	receiver.queue = receiver.queue[1:]
	if first.report != nil {
		receiver.guard.Apply(f.now, *first.report)
	} else if receiver.picker != nil {
		receiver.picker.Update(f.now, choice.View{Service: service, Targets: first.list})
	}
}

func (f *fleet) send(sender *node, fingerprint request.Fingerprint) {
	call := choice.Call{Service: service, Repeatable: true, Fingerprint: fingerprint}
	if f.guarded {
		ruling := sender.guard.Judge(f.now, fingerprint)
		if ruling.Verdict == quarantine.Refused {
			f.refused = append(f.refused, fingerprint)
			return
		}
		call.Alone = ruling.Verdict != quarantine.Free
		call.AvoidNodes, call.AvoidDomains = ruling.Nodes, ruling.Domains
	}
	picked, code := sender.picker.Pick(f.now, f.source, call)
	if code != request.OK {
		return
	}
	sender.picker.Sent(picked)
	f.tickets++
	arrived := run{ticket: f.tickets, fingerprint: fingerprint, sender: sender, call: call, choice: picked}
	for index, target := range f.targets {
		if target.Node == picked.Target.Node {
			arrived.target = index
		}
	}
	f.arrive(arrived)
}

func (f *fleet) arrive(arrived run) {
	if !f.alive[arrived.target] {
		f.answer(arrived, choice.Unreachable)
		return
	}
	if !f.guarded {
		f.running = append(f.running, arrived)
		return
	}
	switch f.owners[arrived.target].guard.Admit(f.now, arrived.fingerprint, arrived.ticket) {
	case quarantine.Run:
		f.running = append(f.running, arrived)
	case quarantine.Wait:
		f.waiting = append(f.waiting, arrived)
	case quarantine.Refuse:
		f.refused = append(f.refused, arrived.fingerprint)
		f.answer(arrived, choice.Neutral)
	}
}

func (f *fleet) answer(ended run, result choice.Result) {
	ended.sender.picker.Answered(f.now, ended.choice, ended.call, choice.Answer{Result: result, Latency: time.Millisecond})
}

// finish ends one running request: the poison kills its target.
func (f *fleet) finish(index int) {
	ended := f.running[index]
	if ended.fingerprint == poison {
		f.kill(ended)
		return
	}
	f.running = append(f.running[:index:index], f.running[index+1:]...)
	f.served++
	owner := f.owners[ended.target]
	released := owner.guard.Finish(f.now, ended.ticket, true)
	f.answer(ended, choice.Succeeded)
	for _, report := range owner.guard.Reports() {
		f.broadcast(message{report: &report})
	}
	f.release(released)
}

func (f *fleet) release(tickets []quarantine.Ticket) {
	parked := f.waiting
	f.waiting = nil
	for _, held := range parked {
		if contains(tickets, held.ticket) {
			f.arrive(held)
			continue
		}
		f.waiting = append(f.waiting, held)
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

func (f *fleet) kill(culprit run) {
	target := culprit.target
	f.alive[target] = false
	f.crashed[f.targets[target].Place.Domain][f.targets[target].Node] = true
	report, known := f.owners[target].guard.TargetDied(f.now, culprit.ticket)
	if known {
		f.broadcast(message{report: &report})
	}
	f.broadcast(message{list: f.list()})
	kept := f.running[:0:0]
	for _, lost := range f.running {
		if lost.target == target {
			f.answer(lost, choice.Died)
			continue
		}
		kept = append(kept, lost)
	}
	f.running = kept
	f.release(f.owners[target].guard.Waiting())
}

func (f *fleet) restart(target int) {
	if f.alive[target] {
		return
	}
	f.alive[target] = true
	f.targets[target].Incarnation++
	f.broadcast(message{list: f.list()})
}

// step does one random thing.
func (f *fleet) step() {
	f.now = f.now.Add(5 * time.Millisecond)
	switch f.source.IntN(8) {
	case 0, 1:
		f.send(f.senders[f.source.IntN(len(f.senders))], poison)
	case 2, 3:
		f.send(f.senders[f.source.IntN(len(f.senders))], request.Fingerprint(1+f.source.IntN(12)))
	case 4:
		if len(f.running) > 0 {
			f.finish(f.source.IntN(len(f.running)))
		}
	case 5, 6:
		all := f.nodes()
		f.deliver(all[f.source.IntN(len(all))])
	case 7:
		f.restart(f.source.IntN(len(f.targets)))
	}
}

// settle lets a caller go on sending the poison while all reports arrive and
// all targets restart.
func (f *fleet) settle() {
	for round := range 20 {
		f.now = f.now.Add(5 * time.Millisecond)
		f.send(f.senders[round%len(f.senders)], poison)
		for len(f.running) > 0 {
			f.finish(0)
		}
		for _, receiver := range f.nodes() {
			for len(receiver.queue) > 0 {
				f.deliver(receiver)
			}
		}
		for target := range f.targets {
			f.restart(target)
		}
	}
}

// TestPoisonBringsDownTwoTargetsOfADomainAndNoInnocentIsRefused drives random
// histories with resends at several nodes, late reports and restarts.
func TestPoisonBringsDownTwoTargetsOfADomainAndNoInnocentIsRefused(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		model := newFleet(true, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(1, 6).Draw(r, "targets per domain"))
		for range rapid.IntRange(50, 400).Draw(r, "steps") {
			model.step()
		}
		model.settle()
		for _, sender := range model.senders {
			expect.Expect(sender.guard.Judge(model.now, poison).Verdict).To(gomega.Equal(quarantine.Refused))
		}
		for domain, nodes := range model.crashed {
			expect.Expect(len(nodes)).To(gomega.BeNumerically("<=", 2), "%s: %v", domain, nodes)
		}
		for _, fingerprint := range model.refused {
			expect.Expect(fingerprint).To(gomega.Equal(poison))
		}
	})
}

// TestNaiveLosesItsTargets shows that the same histories break the naive
// version.
func TestNaiveLosesItsTargets(t *testing.T) {
	model := newFleet(false, uint64(suite.Seed()), 6)
	ours := newFleet(true, uint64(suite.Seed()), 6)
	for range 400 {
		model.step()
		ours.step()
	}
	expect := gomega.NewWithT(t)
	expect.Expect(len(model.crashed["norte-1"])).To(gomega.BeNumerically(">", 2))
	expect.Expect(len(ours.crashed["norte-1"])).To(gomega.BeNumerically("<=", 2))
	expect.Expect(ours.served).To(gomega.BeNumerically(">", 20))
}
