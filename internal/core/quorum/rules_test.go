package quorum_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// steps draws nothing; scripted histories choose each event themselves.
type steps struct{}

func (steps) IntN(int) int { return 1 }

func scripted(t *testing.T, size int) (*gomega.WithT, *history) {
	return gomega.NewWithT(t), newHistory(steps{}, size, 7)
}

// win lets one host win while the others do not tick; what it sends as a
// leader is lost.
func (run *history) win(host *host) {
	leads := func() bool { return host.replica.Status().Role == quorum.Leader }
	for range 200 {
		if leads() {
			break
		}
		host.replica.Tick()
		run.pump(host, false)
		run.exchange(leads)
	}
	run.queue = nil
}

func (run *history) elect(host *host) {
	run.win(host)
	for range 10 {
		host.replica.Tick()
		run.pump(host, false)
		run.exchange(never)
	}
}

func never() bool { return false }

// exchange delivers in order until nothing is under way or enough is reached.
func (run *history) exchange(enough func() bool) {
	for len(run.queue) > 0 && run.fault == nil && !enough() {
		message := run.queue[0]
		run.queue = run.queue[1:]
		run.arrive(message, false)
	}
}

// isolate leaves only the links within the group.
func (run *history) isolate(group ...*host) {
	clear(run.cut)
	for _, from := range run.hosts {
		for _, to := range run.hosts {
			inside := 0
			for _, member := range group {
				if from == member || to == member {
					inside++
				}
			}
			if from != to && inside < 2 {
				run.cut[link{from.id, to.id}] = true
			}
		}
	}
}

func (run *history) forget(hosts ...*host) {
	for _, each := range hosts {
		run.start(each) // after a restart it hears no leader and votes at once
	}
}

// TestEarlierTermsAreNotCommittedByCount plays the known case: an entry of an
// earlier term is on a majority, and a later leader without it can still win.
func TestEarlierTermsAreNotCommittedByCount(t *testing.T) {
	expect, run := scripted(t, 5)
	hosts := run.hosts
	run.elect(hosts[0])
	run.isolate(hosts[0], hosts[1])
	run.propose(hosts[0]) // only on 1 and 2
	run.pump(hosts[0], false)
	run.exchange(never)
	run.forget(hosts...)
	earlier := hosts[0].replica.Status().Last
	run.isolate(hosts[2], hosts[3], hosts[4])
	run.win(hosts[4]) // another entry at the same index, only on 5
	expect.Expect(hosts[4].replica.Status().Last).To(gomega.Equal(earlier))
	run.forget(hosts...)
	run.isolate(hosts[0], hosts[1], hosts[2])
	run.win(hosts[0])
	for range 10 {
		hosts[0].replica.Tick()
		run.pump(hosts[0], false)
		run.exchange(func() bool { return hosts[0].state.applied >= earlier })
	}
	run.queue = nil
	run.forget(hosts...)
	run.isolate(hosts[2], hosts[3], hosts[4])
	run.win(hosts[4])
	run.settle()
	expect.Expect(run.fault).NotTo(gomega.HaveOccurred())
	expect.Expect(len(run.model.accepted)).To(gomega.BeNumerically(">", earlier))
}

// TestVotesCompareLogs asks for real votes without a pre-vote.
func TestVotesCompareLogs(t *testing.T) {
	expect, run := scripted(t, 3)
	run.elect(run.hosts[0])
	run.propose(run.hosts[0])
	run.pump(run.hosts[0], false)
	run.exchange(never)
	voter := run.hosts[1]
	run.forget(voter)
	behind := &quorumpb.Message{From: 3, To: 2, Term: 9, Body: &quorumpb.Message_VoteRequest{
		VoteRequest: &quorumpb.VoteRequest{LastIndex: 1, LastTerm: 1},
	}}
	voter.replica.Step(behind)
	output := voter.replica.Take()
	expect.Expect(output.Acknowledgements).To(gomega.HaveLen(1))
	expect.Expect(output.Acknowledgements[0].GetVoteResult().GetGranted()).To(gomega.BeFalse())
}

// TestForeignVotesDoNotCount lets removed, unknown and learning ids grant
// votes to a candidate.
func TestForeignVotesDoNotCount(t *testing.T) {
	expect, run := scripted(t, 5)
	leader := run.hosts[0]
	run.elect(leader)
	removed, learner, unknown := quorum.ReplicaID(5), quorum.ReplicaID(6), quorum.ReplicaID(77)
	for _, change := range []quorum.Change{
		{Kind: quorum.Remove, Member: quorum.Member{ID: removed}},
		{Kind: quorum.AddLearner, Member: quorum.Member{ID: learner}},
	} {
		_, _, err := leader.replica.ProposeChange(change)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		run.addHost()
		run.start(run.hosts[len(run.hosts)-1])
		run.pump(leader, false)
		run.exchange(never)
	}
	_, _, err := leader.replica.ProposeChange(quorum.Change{Kind: quorum.AddLearner, Member: quorum.Member{ID: removed}})
	expect.Expect(err).To(gomega.MatchError(quorum.ErrIDUsed))

	candidate := run.hosts[1]
	run.isolate(candidate)
	grant := func(from quorum.ReplicaID, pre bool, term quorum.Term) {
		candidate.replica.Step(&quorumpb.Message{
			From: uint64(from), To: uint64(candidate.id), Term: uint64(term),
			Body: &quorumpb.Message_VoteResult{VoteResult: &quorumpb.VoteResult{Pre: pre, Granted: true}},
		})
		run.pump(candidate, false)
	}
	for range 100 {
		if candidate.replica.Status().Role == quorum.PreCandidate {
			break
		}
		candidate.replica.Tick()
		run.pump(candidate, false)
	}
	next := candidate.replica.Status().Term + 1
	for _, foreign := range []quorum.ReplicaID{removed, learner, unknown} {
		grant(foreign, true, next)
	}
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.PreCandidate))
	grant(3, true, next)
	grant(4, true, next)
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Candidate))
	for _, foreign := range []quorum.ReplicaID{removed, learner, unknown} {
		grant(foreign, false, next)
	}
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Candidate))
	grant(3, false, next)
	grant(4, false, next)
	expect.Expect(candidate.replica.Status().Role).To(gomega.Equal(quorum.Leader))
}

// TestHealedMinorityDisturbsNobody cuts a follower off for long, from all and
// then from the leader only; the leader and its term are the same after its
// return.
func TestHealedMinorityDisturbsNobody(t *testing.T) {
	expect, run := scripted(t, 3)
	leader, cutOff := run.hosts[0], run.hosts[2]
	run.elect(leader)
	term := leader.replica.Status().Term
	run.isolate(leader, run.hosts[1])
	for range 300 {
		run.calm(false)
	}
	clear(run.cut)
	run.cut[link{leader.id, cutOff.id}] = true
	for range 300 {
		run.calm(false)
	}
	expect.Expect(cutOff.replica.Status().Term).To(gomega.Equal(term))
	clear(run.cut)
	for range 50 {
		run.calm(false)
	}
	expect.Expect(run.fault).NotTo(gomega.HaveOccurred())
	expect.Expect(leader.replica.Status().Role).To(gomega.Equal(quorum.Leader))
	expect.Expect(cutOff.replica.Status().Term).To(gomega.Equal(term))
	expect.Expect(cutOff.replica.Status().Leader).To(gomega.Equal(leader.id))
}

// A group whose hosts all start at one moment elects its leader without waiting
// for the time in which a leader would have been missed, and at the first try.
func TestAGroupThatStartsAsAWholeHasALeaderSoon(t *testing.T) {
	const soon = 3
	for seed := range uint64(20) {
		expect := gomega.NewWithT(t).Expect
		run := newHistory(steps{}, 6, seed)
		run.elect(run.hosts[0])
		before := run.hosts[0].replica.Status().Term
		for _, host := range run.hosts {
			run.crash(host)
		}
		run.queue = nil
		for _, host := range run.hosts {
			run.start(host)
		}
		for range soon {
			run.calm(false)
		}
		leader := run.agreedLeader()
		expect(leader).NotTo(gomega.BeNil(), "seed %d", seed)
		expect(leader.replica.Status().Term).To(gomega.Equal(before+1), "seed %d", seed)
		expect(run.fault).NotTo(gomega.HaveOccurred())
	}
}

// A replica that starts again beside a leader asks for votes soon, and gets none.
func TestAStartBesideALeaderDisturbsNobody(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	run := newHistory(steps{}, 6, 7)
	run.elect(run.hosts[0])
	before := run.hosts[0].replica.Status().Term
	run.crash(run.hosts[5])
	run.start(run.hosts[5])
	for range 30 {
		run.calm(false)
	}
	expect(run.agreedLeader()).To(gomega.BeIdenticalTo(run.hosts[0]))
	expect(run.hosts[0].replica.Status().Term).To(gomega.Equal(before))
	expect(run.fault).NotTo(gomega.HaveOccurred())
}
