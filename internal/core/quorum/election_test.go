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
