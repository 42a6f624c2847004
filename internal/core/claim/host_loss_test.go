package claim_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const seedCount = 150

// A claim survives the loss of a host with its disk, the loss of a second one
// right after the first was replaced, and a restart of all hosts.
func TestClaimSurvivesLostHosts(t *testing.T) {
	for seed := range uint64(seedCount) {
		expect := gomega.NewWithT(t).Expect
		cluster := newCluster(uint64(suite.Seed()) + seed)
		claimed, answered := cluster.claimAs(0, 'a', "key")
		expect(answered).To(gomega.BeTrue())
		expect(claimed.State).To(gomega.Equal(ledger.ClaimGranted))
		lost := quorum.ReplicaID(1 + cluster.random.IntN(5))
		cluster.replaceLost(lost, 6)
		second := quorum.ReplicaID(1 + cluster.random.IntN(6))
		if second == lost {
			second = 6
		}
		cluster.replicas[second].running = false
		resent, answered := cluster.claimAs(0, 'b', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.ClaimRunning), "seed offset %d", seed)
		cluster.replaceLost(second, 7)
		for _, id := range cluster.order {
			if cluster.replicas[id].running {
				cluster.start(id)
			}
		}
		resent, answered = cluster.claimAs(0, 'c', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.ClaimRunning), "seed offset %d", seed)
	}
}

// The minority side of a partition is granted no claim. After the partition heals,
// its attempt gets the result that follows from the claim of the majority side.
func TestClaimsDuringPartition(t *testing.T) {
	for seed := range uint64(seedCount) {
		expect := gomega.NewWithT(t).Expect
		cluster := newCluster(uint64(suite.Seed()) + seed)
		_, answered := cluster.claimAs(0, 'x', "before")
		expect(answered).To(gomega.BeTrue())
		first, second := quorum.ReplicaID(1+cluster.random.IntN(5)), quorum.ReplicaID(1+cluster.random.IntN(5))
		cluster.replicas[first].side, cluster.replicas[second].side = 1, 1
		_, answered = cluster.claimAs(1, 'a', "key")
		expect(answered).To(gomega.BeFalse(), "seed offset %d", seed)
		claimed, answered := cluster.claimAs(0, 'b', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(claimed.State).To(gomega.Equal(ledger.ClaimGranted))
		cluster.replicas[first].side, cluster.replicas[second].side = 0, 0
		resent, answered := cluster.claimAs(0, 'c', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.ClaimRunning), "seed offset %d", seed)
		late, answered := cluster.claimAs(0, 'a', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(late.State).To(gomega.Equal(ledger.ClaimRunning), "seed offset %d", seed)
	}
}

// Two of the three replicas that stored a claim lose their disks while the third
// is disconnected. If they return under new ids, they cannot vote, and the claim
// is not granted. If they returned under their old ids, the claim would be granted
// a second time.
func TestLostDisksUnderOldIDsGrantTwice(t *testing.T) {
	granted := func(oldIDs bool) bool {
		cluster := newCluster(uint64(suite.Seed()))
		cluster.replicas[4].side, cluster.replicas[5].side = 1, 1
		claimed, answered := cluster.claimAs(0, 'a', "key")
		gomega.NewWithT(t).Expect(answered && claimed.State == ledger.ClaimGranted).To(gomega.BeTrue())
		cluster.replicas[3].side = 2
		for _, id := range []quorum.ReplicaID{1, 2} {
			cluster.replicas[id].running = false
			if oldIDs {
				cluster.add(id, cluster.initialDisk)
			} else {
				cluster.add(id+5, quorum.PersistentState{})
			}
		}
		cluster.replicas[4].side, cluster.replicas[5].side = 0, 0
		again, answered := cluster.claimAs(0, 'b', "key")
		return answered && again.State == ledger.ClaimGranted
	}
	expect := gomega.NewWithT(t).Expect
	expect(granted(false)).To(gomega.BeFalse())
	expect(granted(true)).To(gomega.BeTrue(), "the test must detect the second grant")
}
