package replica

import (
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/store"
)

// bootstrapState collects the replicas that have no log yet.
type bootstrapState struct {
	ticks         int
	round         uint64
	emptyReplicas map[string]quorum.Member
	// answered are the addresses that have answered, in any round.
	answered map[string]bool
	// waitLogged is set once it was logged that this replica waits to join a log.
	waitLogged bool
}

// hasLog reports whether this replica has any entry of a log. A stored vote alone
// does not count: while no initial replica has an entry, none is committed.
func (replica *Replica[M]) hasLog() bool {
	return replica.core.Status().LastIndex > 0
}

// askForLogs asks the initial replicas whether they have a log, while this one has
// none. It starts a new round at each election timeout; only answers of the
// current round count.
func (replica *Replica[M]) askForLogs() {
	if (len(replica.Peers) == 0 && !replica.FormsFromSeeds) || replica.hasLog() {
		return
	}
	if replica.bootstrap.ticks%replica.ElectionTicks == 0 {
		replica.bootstrap.round = replica.nextNumber()
		replica.bootstrap.emptyReplicas = map[string]quorum.Member{
			replica.Address: {ID: replica.core.ID, Address: replica.Address, FailureDomain: replica.FailureDomain, Node: replica.Node},
		}
		replica.sendQuestions()
	}
	replica.bootstrap.ticks++
}

func (replica *Replica[M]) sendQuestions() {
	for _, address := range replica.questionAddresses() {
		if address != replica.Address {
			replica.sendGreeting(address, true, replica.bootstrap.round)
		}
	}
	replica.bootstrapIfReady()
}

func (replica *Replica[M]) sendGreeting(address string, question bool, round uint64) {
	greeting := &quorumpb.Greeting{
		Formed:        replica.hasLog(),
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

// handleGreeting answers a question and counts an answer. The replica with the
// lowest id creates the log, and only if no initial replica has one; the others
// get it from the leader.
func (replica *Replica[M]) handleGreeting(message *quorumpb.Message, greeting *quorumpb.Greeting) {
	if greeting.GetQuestion() {
		replica.recordJoiner(message, greeting)
		replica.sendGreeting(message.GetSenderAddress(), false, greeting.GetRound())
		return
	}
	if replica.hasLog() || replica.bootstrap.round == 0 || greeting.GetRound() != replica.bootstrap.round {
		return
	}
	replica.noteAnswer(message.GetSenderAddress())
	if greeting.GetFormed() {
		replica.logExistingGroup(message.GetSenderAddress())
		replica.askNamedReplicas(greeting.GetMembers())
		return
	}
	replica.bootstrap.emptyReplicas[message.GetSenderAddress()] = memberOf(message, greeting)
	replica.bootstrapIfReady()
}

func (replica *Replica[M]) noteAnswer(address string) {
	if replica.bootstrap.answered == nil {
		replica.bootstrap.answered = make(map[string]bool)
	}
	replica.bootstrap.answered[address] = true
}

// logExistingGroup logs once that this replica waits to be added to a group.
func (replica *Replica[M]) logExistingGroup(address string) {
	if !replica.bootstrap.waitLogged {
		replica.bootstrap.waitLogged = true
		if replica.FormsFromSeeds {
			replica.logInfo("the replica at %s has a log and this one has none; asking to join", address)
			return
		}
		replica.logInfo("the replica at %s has a log and this one has none; if the disk of this host was lost, run magnolia replica replace to replace the lost replica by this one", address)
	}
}

func (replica *Replica[M]) bootstrapIfReady() {
	if members, ready := replica.initialMembers(); ready {
		replica.fail(replica.createLog(members))
	}
}

func (replica *Replica[M]) initialMembers() ([]quorum.Member, bool) {
	if !replica.mayBootstrap() {
		return nil, false
	}
	var members []quorum.Member
	for _, address := range replica.Peers {
		member, ok := replica.bootstrap.emptyReplicas[address]
		if !ok || member.ID < replica.core.ID {
			return nil, false
		}
		members = append(members, member)
	}
	return members, true
}

// createLog stores the first entry of a new log and starts the core from it.
func (replica *Replica[M]) createLog(members []quorum.Member) error {
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
	replica.logInfo("created a log with %d replicas", len(members))
	return replica.startCore(store.Recovered{ID: replica.core.ID, PersistentState: restored})
}

func (replica *Replica[M]) fail(err error) {
	if replica.failure == nil {
		replica.failure = err
	}
}
