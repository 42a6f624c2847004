package quorum_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Guards against a follower that stands for election itself, right after it has voted for
// another candidate, since a replica that lacks entries asks it for a pre-vote.
func TestVoterWaitsForCandidateItVotedFor(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	initial, err := quorum.InitialState(votersOf(1, 5).Members)
	expect(err).NotTo(gomega.HaveOccurred())
	initial.Entries = append(initial.Entries, quorum.Entry{Index: 2, Term: 1, Kind: quorum.EmptyEntry})
	voter := &quorum.Replica{ID: 2, Seed: 1}
	expect(voter.Start(initial)).To(gomega.Succeed())
	ask := func(from quorum.ReplicaID, term quorum.Term, pre bool, lastIndex uint64) {
		voter.Step(&quorumpb.Message{From: uint64(from), To: 2, Term: uint64(term), Body: &quorumpb.Message_VoteRequest{
			VoteRequest: &quorumpb.VoteRequest{Pre: pre, LastIndex: lastIndex, LastTerm: 1},
		}})
		finishOutputs(voter)
	}
	ask(1, 2, false, 2)
	expect(voter.HardState()).To(gomega.Equal(quorum.HardState{Term: 2, Vote: 1}))
	for tick := range 8 {
		ask(3, 3, true, 1)
		voter.Tick()
		finishOutputs(voter)
		expect(voter.Status().Role).To(gomega.Equal(quorum.Follower), "after %d ticks", tick+1)
	}
}

// askedIn lists the voters that messages ask for a vote.
func askedIn(messages []*quorumpb.Message) []uint64 {
	var asked []uint64
	for _, message := range messages {
		if message.GetVoteRequest() != nil {
			asked = append(asked, message.GetTo())
		}
	}
	return asked
}

// Guards against an election that ends, and the next that begins after a whole timeout,
// since one request or answer was lost where every voter that is left is needed.
func TestVotesAreAskedForUntilTheyAreAnswered(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	initial, err := quorum.InitialState(votersOf(1, 4).Members)
	expect(err).NotTo(gomega.HaveOccurred())
	candidate := &quorum.Replica{ID: 1, Seed: 1}
	expect(candidate.Start(initial)).To(gomega.Succeed())
	tick := func() []uint64 {
		candidate.Tick()
		return askedIn(finishOutputs(candidate))
	}
	answer := func(from uint64, pre, granted bool) []uint64 {
		term := candidate.Status().Term
		if pre && granted {
			term++
		}
		candidate.Step(&quorumpb.Message{From: from, To: 1, Term: uint64(term), Body: &quorumpb.Message_VoteResult{
			VoteResult: &quorumpb.VoteResult{Pre: pre, Granted: granted},
		}})
		return askedIn(finishOutputs(candidate))
	}
	for candidate.Status().Role != quorum.PreCandidate {
		tick()
	}
	answer(4, true, false)
	tick()
	expect(tick()).To(gomega.ConsistOf(uint64(2), uint64(3)), "one has refused, and the others were not heard")
	answer(2, true, true)
	tick()
	expect(tick()).To(gomega.ConsistOf(uint64(3)))
	expect(answer(3, true, true)).To(gomega.ConsistOf(uint64(2), uint64(3), uint64(4)), "the election begins")
	answer(2, false, true)
	tick()
	expect(tick()).To(gomega.ConsistOf(uint64(3), uint64(4)))
	answer(3, false, true)
	expect(candidate.Status().Role).To(gomega.Equal(quorum.Leader))
}

// Guards against a learner that is never promoted under a steady load, since the leader has
// always committed an entry that the learner has not acknowledged yet.
func TestLearnerIsPromotedUnderSteadyLoad(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	leader := newBoundedLogGroup(t, 1)
	_, _, err := leader.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: 2}})
	expect(err).NotTo(gomega.HaveOccurred())
	finishOutputs(leader)
	for range 20 {
		acknowledged := leader.Status().LastIndex
		_, _, err := leader.Propose([]byte("command"))
		expect(err).NotTo(gomega.HaveOccurred())
		finishOutputs(leader)
		appendResult(leader, 2, acknowledged, 0)
		leader.Tick()
		finishOutputs(leader)
	}
	_, _, err = leader.ProposeChange(quorum.MembershipChange{Kind: quorum.Promote, Member: quorum.Member{ID: 2}})
	expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a leader whose log grows without end for a member that is gone.
func TestDeadMemberKeepsNoEntries(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	leader := newBoundedLogGroup(t, 1)
	_, _, err := leader.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: 2}})
	expect(err).NotTo(gomega.HaveOccurred())
	finishOutputs(leader)
	appendResult(leader, 2, leader.Status().LastIndex, 0)
	for range 3 * 10 {
		leader.Tick()
		_, _, err := leader.Propose(make([]byte, boundedLogEntryBytes))
		expect(err).NotTo(gomega.HaveOccurred())
		finishOutputs(leader)
	}
	compact(t, leader)
	appendResult(leader, 2, 0, leader.Status().LastIndex)
	appendResult(leader, 2, 0, leader.Status().LastIndex)
	entries, chunks := sentTo(finishOutputs(leader), 2)
	expect(entries).To(gomega.BeZero())
	expect(chunks).To(gomega.Equal(1), "what a dead member lacks is sent as a snapshot when it is back")
}
