package replica

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against lost ids that are counted for longer, since leadership is transferred (as
// before a large snapshot) and the new leader counts their silence from its election.
func TestTransferOfLeadershipDoesNotDelayReplacement(t *testing.T) {
	checkReplacementAfterTransfer(t, false)
}

// The same with successors at other addresses, whose disks do not show that the lost ones are.
func TestTransferOfLeadershipDoesNotDelayReplacementElsewhere(t *testing.T) {
	checkReplacementAfterTransfer(t, true)
}

func checkReplacementAfterTransfer(t *testing.T, elsewhere bool) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	leader := cluster.leader()
	var lost []string
	for _, address := range cluster.order {
		if address != leader.Address && len(lost) < maxLostDisks {
			lost = append(lost, address)
		}
	}
	for _, address := range lost {
		cluster.stop(address)
	}
	for range 20 {
		cluster.runRound()
	}
	for _, address := range lost {
		back := address
		if elsewhere {
			back += "-again"
			cluster.order[slices.Index(cluster.order, address)] = back
		}
		cluster.loseDisk(back)
		cluster.startWithSeeds(back, false)
	}
	for range 30 {
		cluster.runRound()
	}
	cluster.Expect(leader.core.TransferLeadership(leader.core.Successor())).To(gomega.Succeed())
	for range 50 {
		cluster.runRound()
	}
	membership := cluster.leader().core.Status().Membership
	live := 0
	for _, member := range membership.Members {
		if !member.Learner && slices.Contains(cluster.order, member.Address) && cluster.hosts[member.Address].core.ID == member.ID {
			live++
		}
	}
	if live-maxLostDisks < membership.Majority() {
		t.Errorf("successors elsewhere %t: %d of %d voters would be left after the next loss", elsewhere, live-maxLostDisks, membership.VoterCount())
	}
}
