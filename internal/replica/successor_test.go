package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a group without a majority after hosts that are gone for good were replaced
// by empty ones at other addresses, and as many lose their disks once the successors have
// had their time.
func TestNextLostDisksFindGoneHostsReplaced(t *testing.T) {
	checkGoneHostsReplaced(t, downTicks)
}

// The same with successors that come 0.1 s later, when the silence of the hosts that are gone
// has not shown that they are.
func TestNextLostDisksFindGoneHostsReplacedAtOnce(t *testing.T) {
	checkGoneHostsReplaced(t, 2)
}

func checkGoneHostsReplaced(t *testing.T, down int) {
	for _, size := range []int{3, 5, 6, 7, 9} {
		for _, leaderGone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, leader gone %t", size, leaderGone), func(t *testing.T) {
				cluster := newLossCluster(t, size, (size-1)/2)
				cluster.record(0)
				cluster.slowDown()
				leader := cluster.leaderAddress()
				gone := cluster.hostsExcept(cluster.lostDisks, leader)
				if leaderGone {
					gone[0] = leader
				}
				for _, address := range gone {
					cluster.stop(address)
				}
				cluster.runRounds(down)
				for _, address := range gone {
					at := slices.Index(cluster.order, address)
					cluster.order[at] = address + "-again"
					cluster.loseDisk(cluster.order[at])
					cluster.startWithSeeds(cluster.order[at], false)
				}
				cluster.runRounds(catchUpTicks)
				cluster.Expect(cluster.leader()).NotTo(gomega.BeNil())
				membership := cluster.leader().core.Status().Membership
				live := 0
				for _, member := range membership.Members {
					if !member.Learner && slices.Contains(cluster.order, member.Address) {
						live++
					}
				}
				cluster.Expect(live-cluster.lostDisks).To(gomega.BeNumerically(">=", membership.Majority()),
					"voters that are left if %d more are lost, of %d:\n%s", cluster.lostDisks, membership.VoterCount(), cluster.describe())
			})
		}
	}
}
