package quorum_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// fixedSource makes a simulation deterministic, for tests that choose each event
// themselves.
type fixedSource struct{}

func (fixedSource) IntN(int) int { return 1 }

// newScripted returns a simulation without random events.
func newScripted(t *testing.T, size int) (*gomega.WithT, *simulation) {
	return gomega.NewWithT(t), newSimulation(fixedSource{}, size, 7)
}

// winElection makes a host the leader while the other hosts do not tick. The
// messages that it sends as the leader are lost.
func (simulation *simulation) winElection(host *host) {
	isLeader := func() bool { return host.replica.Status().Role == quorum.Leader }
	for range 200 {
		if isLeader() {
			break
		}
		host.replica.Tick()
		simulation.processOutput(host, false)
		simulation.deliverUntil(isLeader)
	}
	simulation.queue = nil
}

// elect makes a host the leader and lets it replicate its log.
func (simulation *simulation) elect(host *host) {
	simulation.winElection(host)
	for range 10 {
		host.replica.Tick()
		simulation.processOutput(host, false)
		simulation.deliverUntil(never)
	}
}

func never() bool { return false }

// deliverUntil delivers messages in order until the queue is empty or the
// condition holds.
func (simulation *simulation) deliverUntil(done func() bool) {
	for len(simulation.queue) > 0 && simulation.fault == nil && !done() {
		message := simulation.queue[0]
		simulation.queue = simulation.queue[1:]
		simulation.deliverMessage(message, false)
	}
}

// partition blocks all links except those within the group, which it unblocks.
func (simulation *simulation) partition(group ...*host) {
	clear(simulation.blockedLinks)
	for _, from := range simulation.hosts {
		for _, to := range simulation.hosts {
			endsInGroup := 0
			for _, member := range group {
				if from == member || to == member {
					endsInGroup++
				}
			}
			if from != to && endsInGroup < 2 {
				simulation.blockedLinks[link{from.id, to.id}] = true
			}
		}
	}
}

// restart restarts replicas. Afterwards they know no leader and grant votes at
// once.
func (simulation *simulation) restart(hosts ...*host) {
	for _, host := range hosts {
		simulation.start(host)
	}
}

// TestMajorityDoesNotCommitEntriesOfEarlierTerms guards against committing an
// entry of an earlier term as soon as a majority stores it: a later leader that
// lacks the entry can still win and overwrite it.
func TestMajorityDoesNotCommitEntriesOfEarlierTerms(t *testing.T) {
	expect, simulation := newScripted(t, 5)
	hosts := simulation.hosts
	simulation.elect(hosts[0])
	simulation.partition(hosts[0], hosts[1])
	simulation.propose(hosts[0]) // stored only on replicas 1 and 2
	simulation.processOutput(hosts[0], false)
	simulation.deliverUntil(never)
	simulation.restart(hosts...)
	earlierIndex := hosts[0].replica.Status().LastIndex
	simulation.partition(hosts[2], hosts[3], hosts[4])
	simulation.winElection(hosts[4]) // appends another entry at the same index, only on replica 5
	expect.Expect(hosts[4].replica.Status().LastIndex).To(gomega.Equal(earlierIndex))
	simulation.restart(hosts...)
	simulation.partition(hosts[0], hosts[1], hosts[2])
	simulation.winElection(hosts[0])
	for range 10 {
		hosts[0].replica.Tick()
		simulation.processOutput(hosts[0], false)
		simulation.deliverUntil(func() bool { return hosts[0].state.applied >= earlierIndex })
	}
	simulation.queue = nil
	simulation.restart(hosts...)
	simulation.partition(hosts[2], hosts[3], hosts[4])
	simulation.winElection(hosts[4])
	simulation.recoverAll()
	expect.Expect(simulation.fault).NotTo(gomega.HaveOccurred())
	expect.Expect(len(simulation.model.committed)).To(gomega.BeNumerically(">", earlierIndex))
}

// TestOutdatedLogGetsNoVote sends a vote request without a pre-vote, so that the
// voter itself must compare the logs.
func TestOutdatedLogGetsNoVote(t *testing.T) {
	expect, simulation := newScripted(t, 3)
	simulation.elect(simulation.hosts[0])
	simulation.propose(simulation.hosts[0])
	simulation.processOutput(simulation.hosts[0], false)
	simulation.deliverUntil(never)
	voter := simulation.hosts[1]
	simulation.restart(voter)
	request := &quorumpb.Message{From: 3, To: 2, Term: 9, Body: &quorumpb.Message_VoteRequest{
		VoteRequest: &quorumpb.VoteRequest{LastIndex: 1, LastTerm: 1},
	}}
	voter.replica.Step(request)
	output := voter.replica.TakeOutput()
	expect.Expect(output.MessagesAfterSync).To(gomega.HaveLen(1))
	expect.Expect(output.MessagesAfterSync[0].GetVoteResult().GetGranted()).To(gomega.BeFalse())
}

// TestVotesOfNonVotersDoNotCount grants a candidate votes from a removed replica,
// a learner and an unknown id.
func TestVotesOfNonVotersDoNotCount(t *testing.T) {
	expect, simulation := newScripted(t, 5)
	leader := simulation.hosts[0]
	simulation.elect(leader)
	removed, learner, unknown := quorum.ReplicaID(5), quorum.ReplicaID(6), quorum.ReplicaID(77)
	for _, change := range []quorum.MembershipChange{
		{Kind: quorum.Remove, Member: quorum.Member{ID: removed}},
		{Kind: quorum.AddLearner, Member: quorum.Member{ID: learner}},
	} {
		_, _, err := leader.replica.ProposeChange(change)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		simulation.addHost()
		simulation.start(simulation.hosts[len(simulation.hosts)-1])
		simulation.processOutput(leader, false)
		simulation.deliverUntil(never)
	}
	_, _, err := leader.replica.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: removed}})
	expect.Expect(err).To(gomega.MatchError(quorum.ErrIDUsed))

	candidate := simulation.hosts[1]
	simulation.partition(candidate)
	grant := func(from quorum.ReplicaID, pre bool, term quorum.Term) {
		candidate.replica.Step(&quorumpb.Message{
			From: uint64(from), To: uint64(candidate.id), Term: uint64(term),
			Body: &quorumpb.Message_VoteResult{VoteResult: &quorumpb.VoteResult{Pre: pre, Granted: true}},
		})
		simulation.processOutput(candidate, false)
	}
	for range 100 {
		if candidate.replica.Status().Role == quorum.PreCandidate {
			break
		}
		candidate.replica.Tick()
		simulation.processOutput(candidate, false)
	}
	nextTerm := candidate.replica.Status().Term + 1
	for _, nonVoter := range []quorum.ReplicaID{removed, learner, unknown} {
		grant(nonVoter, true, nextTerm)
	}
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.PreCandidate))
	grant(3, true, nextTerm)
	grant(4, true, nextTerm)
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Candidate))
	for _, nonVoter := range []quorum.ReplicaID{removed, learner, unknown} {
		grant(nonVoter, false, nextTerm)
	}
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Candidate))
	grant(3, false, nextTerm)
	grant(4, false, nextTerm)
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Leader))
}

// TestRejoiningFollowerDoesNotDeposeLeader isolates a follower for many election
// timeouts, first from all replicas and then from the leader only. The leader and
// its term must be the same after the follower rejoins.
func TestRejoiningFollowerDoesNotDeposeLeader(t *testing.T) {
	expect, simulation := newScripted(t, 3)
	leader, isolated := simulation.hosts[0], simulation.hosts[2]
	simulation.elect(leader)
	term := leader.replica.Status().Term
	simulation.partition(leader, simulation.hosts[1])
	for range 300 {
		simulation.tickAndDeliver(false)
	}
	clear(simulation.blockedLinks)
	simulation.blockedLinks[link{leader.id, isolated.id}] = true
	for range 300 {
		simulation.tickAndDeliver(false)
	}
	expect.Expect(isolated.replica.Status().Term).To(gomega.Equal(term))
	clear(simulation.blockedLinks)
	for range 50 {
		simulation.tickAndDeliver(false)
	}
	expect.Expect(simulation.fault).NotTo(gomega.HaveOccurred())
	expect.Expect(leader.replica.Status().Role).To(gomega.Equal(quorum.Leader))
	expect.Expect(isolated.replica.Status().Term).To(gomega.Equal(term))
	expect.Expect(isolated.replica.Status().Leader).To(gomega.Equal(leader.id))
}

// TestSimultaneousStartElectsLeaderSoon guards against a group whose replicas all
// start together waiting for a full election timeout, or splitting the votes.
func TestSimultaneousStartElectsLeaderSoon(t *testing.T) {
	const maxTicks = 3
	for seed := range uint64(20) {
		expect := gomega.NewWithT(t).Expect
		simulation := newSimulation(fixedSource{}, 6, seed)
		simulation.elect(simulation.hosts[0])
		termBefore := simulation.hosts[0].replica.Status().Term
		for _, host := range simulation.hosts {
			simulation.crash(host)
		}
		simulation.queue = nil
		for _, host := range simulation.hosts {
			simulation.start(host)
		}
		for range maxTicks {
			simulation.tickAndDeliver(false)
		}
		leader := simulation.soleLeader()
		expect(leader).NotTo(gomega.BeNil(), "seed %d", seed)
		expect(leader.replica.Status().Term).To(gomega.Equal(termBefore+1), "seed %d", seed)
		expect(simulation.fault).NotTo(gomega.HaveOccurred())
	}
}

// TestRestartedFollowerDoesNotDeposeLeader restarts a follower, which asks for
// pre-votes soon because of its short first election timeout, and gets none.
func TestRestartedFollowerDoesNotDeposeLeader(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	simulation := newSimulation(fixedSource{}, 6, 7)
	simulation.elect(simulation.hosts[0])
	termBefore := simulation.hosts[0].replica.Status().Term
	simulation.crash(simulation.hosts[5])
	simulation.start(simulation.hosts[5])
	for range 30 {
		simulation.tickAndDeliver(false)
	}
	expect(simulation.soleLeader()).To(gomega.BeIdenticalTo(simulation.hosts[0]))
	expect(simulation.hosts[0].replica.Status().Term).To(gomega.Equal(termBefore))
	expect(simulation.fault).NotTo(gomega.HaveOccurred())
}

// Guards against voters of an odd number that change places in one entry: a majority
// before it and one after it may have no voter in common.
func TestUnsafeChangesAreRefused(t *testing.T) {
	for size, safe := range map[int]bool{3: false, 4: true, 5: false, 6: true} {
		expect, simulation := newScripted(t, size)
		leader := simulation.hosts[0]
		simulation.elect(leader)
		added := simulation.addHost()
		simulation.start(added)
		_, _, err := leader.replica.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: added.id}})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for range 20 {
			simulation.tickAndDeliver(false)
		}
		_, _, err = leader.replica.ProposeChange(
			quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: simulation.hosts[1].id}},
			quorum.MembershipChange{Kind: quorum.Promote, Member: quorum.Member{ID: added.id}})
		if safe {
			expect.Expect(err).NotTo(gomega.HaveOccurred(), "%d voters", size)
			continue
		}
		expect.Expect(err).To(gomega.MatchError(quorum.ErrUnsafeChange), "%d voters", size)
	}
}
