package claim_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const lossCount = 150

// A claim outlives the loss of a host with its disk, of a second one right after
// the first was repaired, and a restart of all.
func TestClaimOutlivesLostHosts(t *testing.T) {
	for seed := range uint64(lossCount) {
		expect := gomega.NewWithT(t).Expect
		hosts := newSite(uint64(suite.Seed()) + seed)
		claimed, answered := hosts.claimAs(0, 'a', "key")
		expect(answered).To(gomega.BeTrue())
		expect(claimed.State).To(gomega.Equal(ledger.Granted))
		lost := quorum.ReplicaID(1 + hosts.random.IntN(5))
		hosts.loseAndRepair(lost, 6)
		second := quorum.ReplicaID(1 + hosts.random.IntN(6))
		if second == lost {
			second = 6
		}
		hosts.keepers[second].up = false
		resent, answered := hosts.claimAs(0, 'b', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.Running), "seed offset %d", seed)
		hosts.loseAndRepair(second, 7)
		for _, id := range hosts.order {
			if hosts.keepers[id].up {
				hosts.start(id)
			}
		}
		resent, answered = hosts.claimAs(0, 'c', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.Running), "seed offset %d", seed)
	}
}

// The smaller side of a partition is granted nothing, and learns afterwards what
// the larger one was granted.
func TestClaimsUnderAPartition(t *testing.T) {
	for seed := range uint64(lossCount) {
		expect := gomega.NewWithT(t).Expect
		hosts := newSite(uint64(suite.Seed()) + seed)
		_, answered := hosts.claimAs(0, 'x', "before")
		expect(answered).To(gomega.BeTrue())
		first, second := quorum.ReplicaID(1+hosts.random.IntN(5)), quorum.ReplicaID(1+hosts.random.IntN(5))
		hosts.keepers[first].side, hosts.keepers[second].side = 1, 1
		_, answered = hosts.claimAs(1, 'a', "key")
		expect(answered).To(gomega.BeFalse(), "seed offset %d", seed)
		claimed, answered := hosts.claimAs(0, 'b', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(claimed.State).To(gomega.Equal(ledger.Granted))
		hosts.keepers[first].side, hosts.keepers[second].side = 0, 0
		resent, answered := hosts.claimAs(0, 'c', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(resent.State).To(gomega.Equal(ledger.Running), "seed offset %d", seed)
		late, answered := hosts.claimAs(0, 'a', "key")
		expect(answered).To(gomega.BeTrue(), "seed offset %d", seed)
		expect(late.State).To(gomega.Equal(ledger.Running), "seed offset %d", seed)
	}
}

// Two of the three hosts that recorded a claim lose their disks while the third
// is away. Under new names they cannot vote, and nothing is granted; under their
// old names, the claim is granted a second time.
func TestLostDisksUnderOldNamesGrantTwice(t *testing.T) {
	granted := func(oldNames bool) bool {
		hosts := newSite(uint64(suite.Seed()))
		hosts.keepers[4].side, hosts.keepers[5].side = 1, 1
		claimed, answered := hosts.claimAs(0, 'a', "key")
		gomega.NewWithT(t).Expect(answered && claimed.State == ledger.Granted).To(gomega.BeTrue())
		hosts.keepers[3].side = 2
		for _, id := range []quorum.ReplicaID{1, 2} {
			hosts.keepers[id].up = false
			if oldNames {
				hosts.add(id, hosts.formed)
			} else {
				hosts.add(id+5, quorum.Restored{})
			}
		}
		hosts.keepers[4].side, hosts.keepers[5].side = 0, 0
		again, answered := hosts.claimAs(0, 'b', "key")
		return answered && again.State == ledger.Granted
	}
	expect := gomega.NewWithT(t).Expect
	expect(granted(false)).To(gomega.BeFalse())
	expect(granted(true)).To(gomega.BeTrue(), "the test can tell the two apart")
}
