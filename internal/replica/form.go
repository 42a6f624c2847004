package replica

import (
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/store"
)

// forming collects who has no log yet.
type forming struct {
	ticks    int
	round    uint64
	unformed map[string]quorum.Member
	// waits says that others have a log, and this was logged.
	waits bool
}

// formed tells whether this replica holds anything of a log. A vote alone is
// nothing: as long as all first replicas hold no entry, none is committed.
func (replica *Replica[M]) formed() bool {
	return replica.core.Status().LastIndex > 0
}

// greet asks all first replicas, while this one has no log, whether they have
// one. The answers of one election timeout are taken together.
func (replica *Replica[M]) greet() {
	if len(replica.Peers) == 0 || replica.formed() {
		return
	}
	if replica.forming.ticks%replica.ElectionTicks == 0 {
		replica.forming.round = replica.nextNumber()
		replica.forming.unformed = map[string]quorum.Member{
			replica.Address: {ID: replica.core.ID, Address: replica.Address, FailureDomain: replica.FailureDomain, Node: replica.Node},
		}
		replica.greetPeers()
	}
	replica.forming.ticks++
}

func (replica *Replica[M]) greetPeers() {
	for _, address := range replica.greeted() {
		if address != replica.Address {
			replica.sendGreeting(address, true, replica.forming.round)
		}
	}
	replica.formIfReady()
}

func (replica *Replica[M]) sendGreeting(address string, question bool, round uint64) {
	greeting := &quorumpb.Greeting{
		Formed:        replica.formed(),
		Question:      question,
		Round:         round,
		FailureDomain: replica.FailureDomain,
		Node:          replica.Node,
	}
	if !question {
		greeting.Members = quorum.EncodeMembership(replica.core.Status().Membership).GetMembers()
	}
	replica.Messenger.Send(address, &quorumpb.Message{
		From:          uint64(replica.core.ID),
		SenderAddress: replica.Address,
		Body:          &quorumpb.Message_Greeting{Greeting: greeting},
	})
}

// stepGreeting notes an answer. Only when every first replica has no log does
// the one with the least id form it; the others get it from the leader.
func (replica *Replica[M]) stepGreeting(message *quorumpb.Message, greeting *quorumpb.Greeting) {
	if greeting.GetQuestion() {
		replica.noteJoiner(message, greeting)
		replica.sendGreeting(message.GetSenderAddress(), false, greeting.GetRound())
		return
	}
	if replica.formed() || greeting.GetRound() != replica.forming.round {
		return
	}
	if greeting.GetFormed() {
		replica.noteOthers(message.GetSenderAddress())
		replica.meet(greeting.GetMembers())
		return
	}
	replica.forming.unformed[message.GetSenderAddress()] = memberOf(message, greeting)
	replica.formIfReady()
}

// noteOthers logs once that this replica waits for an operator or a leader.
func (replica *Replica[M]) noteOthers(address string) {
	if !replica.forming.waits {
		replica.forming.waits = true
		if replica.FormsFromSeeds {
			replica.info("the one at %s has a log and this one has none: asking to join", address)
			return
		}
		replica.info("the one at %s has a log and this one has none: if its disk was lost, put it in the place of the lost replica", address)
	}
}

func (replica *Replica[M]) formIfReady() {
	if members, ready := replica.firstMembers(); ready {
		replica.fail(replica.form(members))
	}
}

func (replica *Replica[M]) firstMembers() ([]quorum.Member, bool) {
	if !replica.mayForm() {
		return nil, false
	}
	var members []quorum.Member
	for _, address := range replica.Peers {
		member, ok := replica.forming.unformed[address]
		if !ok || member.ID < replica.core.ID {
			return nil, false
		}
		members = append(members, member)
	}
	return members, true
}

// form stores the first entry of a new log and starts from it.
func (replica *Replica[M]) form(members []quorum.Member) error {
	restored, err := quorum.InitialState(members)
	if err != nil {
		return err
	}
	if replica.core.Status().Term > restored.HardState.Term {
		restored.HardState = replica.core.HardState()
	}
	if err := replica.store.Save(&restored.HardState, restored.Entries); err != nil {
		return err
	}
	replica.info("formed a log of %d replicas", len(members))
	return replica.start(store.Found{ID: replica.core.ID, PersistentState: restored})
}

func (replica *Replica[M]) fail(err error) {
	if replica.failure == nil {
		replica.failure = err
	}
}
