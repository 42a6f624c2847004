package host_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// leader gives the host of the leader, by the answer of a source host.
func (cluster *testCluster) leader(source *clusterMember) *clusterMember {
	cluster.t.Helper()
	var found *clusterMember
	gomega.NewWithT(cluster.t).Eventually(func() *clusterMember {
		list, _ := operate[operator.Replicas](source, operator.ListReplicas, operator.Done{})
		for _, row := range list.Replicas {
			if row.ID == list.Leader {
				found = cluster.memberIn(row.Domain)
			}
		}
		return found
	}).WithTimeout(testTimeout).ShouldNot(gomega.BeNil())
	return found
}

// others lists all hosts but one, and their domains.
func (cluster *testCluster) others(excluded *clusterMember) (rest domains, hosts []*clusterMember) {
	for _, member := range cluster.members {
		if member != excluded {
			rest = append(rest, member.settings.FailureDomain)
			hosts = append(hosts, member)
		}
	}
	return rest, hosts
}

// A leader that is silently cut off for long commits nothing. When it comes back
// it catches up without causing an election on the healthy side.
func TestLongPartitionOfLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	lost := cluster.leader(cluster.members[0])
	rest, healthy := cluster.others(lost)
	cluster.network.partition(domains{lost.settings.FailureDomain}, rest)

	_, err := operate[operator.PatchOutcome](lost, operator.CreatePatch, deadlinePatch("cut-off", 1))
	g.Expect(err).To(gomega.HaveOccurred(), "the cut-off leader commits nothing")
	const patches = 12
	for number := range configuration.Version(patches) {
		healthy[int(number)%len(healthy)].acceptPatch(fmt.Sprint("healthy-", number), 1+number)
	}
	cluster.awaitVersion(1+patches, healthy...)
	g.Expect(lost.logs.activatedVersions()).To(gomega.Equal([]int{1}))
	leader := cluster.leader(healthy[0])

	cluster.network.heal()
	cluster.awaitVersion(1 + patches)
	g.Expect(cluster.leader(healthy[0])).To(gomega.BeIdenticalTo(leader), "no election on the healthy side")
	for _, member := range cluster.members {
		all := member.logs.activatedVersions()
		for index := 1; index < len(all); index++ {
			g.Expect(all[index]).To(gomega.BeNumerically(">", all[index-1]), "a version went back at %s", member.settings.Node)
		}
	}
	outcome := lost.patchOutcome(deadlinePatch("cut-off", 1))
	g.Expect(outcome.State).To(gomega.Equal(operator.PatchStale))
	g.Expect(outcome.Since).To(gomega.HaveLen(patches))
}

// During a partition between regions the majority accepts patches and bookings,
// and each region serves reads. After it, all hosts have the latest version.
func TestRegionsApartAndTogether(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	version := configuration.Version(1)
	for round, apart := range []domains{norte, sur} {
		majority := append(append(domains{}, litoral...), sur...)
		if round == 1 {
			majority = append(append(domains{}, litoral...), norte...)
		}
		cluster.network.partition(apart, majority)
		for range 3 {
			cluster.memberIn(majority[round]).acceptPatch(fmt.Sprint("patch-", version), version)
			version++
		}
		key := fmt.Sprint("booking-", round)
		var kept reply
		g.Eventually(func() int {
			kept = cluster.memberIn(majority[2]).book(key)
			return kept.status
		}).WithTimeout(testTimeout).Should(gomega.Equal(http.StatusOK))
		for _, member := range cluster.members {
			g.Eventually(func() int { return member.checklist(round).status }).WithTimeout(testTimeout).Should(gomega.Equal(http.StatusOK))
		}
		refused := cluster.memberIn(apart[0]).book(key)
		g.Expect(refused.status).NotTo(gomega.Equal(http.StatusOK))
		g.Expect(refused.outcome).To(gomega.Equal(request.Unknown.String()), "it ran on the other side")
		cluster.network.heal()
		cluster.awaitVersion(int(version))
		g.Eventually(func() reply { return cluster.memberIn(apart[0]).book(key) }).WithTimeout(testTimeout).Should(gomega.Equal(kept))
		g.Expect(cluster.executions.count(key)).To(gomega.Equal(1))
	}
}

// A leader that receives nothing, but can send, must step down: the rest go on,
// and a patch that only the old leader has is not accepted, wholly or in part.
func TestLeaderWithoutIncomingMessagesStepsDown(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a")
	isolated := cluster.leader(cluster.members[0])
	rest, healthy := cluster.others(isolated)
	cluster.network.block(rest, domains{isolated.settings.FailureDomain})
	_, err := operate[operator.PatchOutcome](isolated, operator.CreatePatch, deadlinePatch("deaf", 1))
	g.Expect(err).To(gomega.HaveOccurred())
	healthy[0].acceptPatch("heard", 1)
	cluster.awaitVersion(2, healthy...)
	cluster.network.heal()
	cluster.awaitVersion(2)
	g.Expect(isolated.patchOutcome(deadlinePatch("deaf", 1)).State).To(gomega.Equal(operator.PatchStale))
}
