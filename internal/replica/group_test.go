package replica

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against logs that do not tell why a host with an empty disk does not vote: it
// finds no replica, or the group lacks voters.
func TestGroupStateTellsWhyHostDoesNotVote(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	expect := cluster.Expect
	whole := cluster.leader().groupState()
	expect(whole).To(gomega.Equal(GroupState{Voters: 6, Needed: 4, InContact: 6}))
	expect(whole.endangered()).To(gomega.BeFalse())

	for _, address := range cluster.seeds[:2] {
		cluster.stop(address)
	}
	for range 2 * unresponsiveTicks {
		cluster.runRound()
	}
	short := cluster.leader().groupState()
	expect(short).To(gomega.Equal(GroupState{Voters: 6, Needed: 4, InContact: 4}))
	expect(short.endangered()).To(gomega.BeTrue(), "one more loss stops the group")

	cluster.stop(cluster.seeds[2])
	for range 2 * unresponsiveTicks {
		cluster.runRound()
	}
	for _, address := range cluster.order[3:] {
		state := cluster.hosts[address].groupState()
		expect(state.InContact).To(gomega.Equal(3), "%s has no leader and hears the other two: %v", address, state)
		expect(state.endangered()).To(gomega.BeTrue())
	}
}

// A host that finds no replica says so; one that found the group says how many answered.
func TestGroupStateCountsAnswersToHostWithoutLog(t *testing.T) {
	cluster := newSeedCluster(t, 0)
	cluster.order, cluster.seeds = []string{"host-0", "host-1", "host-2"}, []string{"host-0", "host-1", "host-2"}
	for _, address := range cluster.order[:2] {
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, false)
	}
	cluster.loseDisk("host-2")
	for range 30 {
		cluster.runRound()
	}
	state := cluster.hosts["host-0"].groupState()
	cluster.Expect(state).To(gomega.Equal(GroupState{WithoutLog: true, Asked: 3, Answered: 1}))
	cluster.Expect(state.String()).To(gomega.Equal("no log yet; 1 of 3 addresses that were asked for one have answered"))
	cluster.Expect(state.endangered()).To(gomega.BeTrue())
}

func TestGroupStateNamesChangeThatWaits(t *testing.T) {
	state := GroupState{Voters: 7, Learners: 1, Needed: 4, InContact: 5, Lag: 40, Waiting: "promotion of replica 9 at host-0: the learner has not caught up yet"}
	gomega.NewWithT(t).Expect(state.String()).To(gomega.Equal(
		"5 of 7 voters in contact, 4 needed, 1 learners, 40 entries behind; waiting: promotion of replica 9 at host-0: the learner has not caught up yet"))
}
