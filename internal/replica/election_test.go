package replica

import (
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against seconds without a leader when every voter that is left is needed: an
// election failed when one of them still heard of the former leader, when two stood at
// once, or when the one that stood lacked an entry.
func TestElectionWithJustEnoughVotersEndsInTwoTimeouts(t *testing.T) {
	const longestTicks = 2 * 2 * defaultElectionTicks
	var took []int
	for seed := range uint64(200) {
		cluster := newLossCluster(t, 6, 2)
		cluster.record(0)
		cluster.links = newLinkModel(cluster.testCluster, seed)
		cluster.runRounds(int(seed % 19))
		leader := cluster.leaderAddress()
		cluster.submit(cluster.hosts[leader], strings.Repeat("x", int(seed)*500))
		cluster.runRounds(int(seed % 5))
		others := cluster.hostsExcept(5, leader)
		cluster.stop(leader)
		cluster.stop(others[seed%5])
		took = append(took, cluster.ticksUntil(5*longestTicks, func() bool { return cluster.leader() != nil }))
	}
	slices.Sort(took)
	t.Logf("ticks until there is a leader: median %d, 9 in 10 %d, most %d", took[100], took[180], took[199])
	gomega.NewWithT(t).Expect(took[199]).To(gomega.BeNumerically("<=", longestTicks))
}
