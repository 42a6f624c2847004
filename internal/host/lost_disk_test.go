package host_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// A host that lost its disk does not vote. Right after its replica has replaced
// the old one, another host may be lost: claims and versions must survive.
func TestSecondHostLostRightAfterReplicaReplacement(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a")
	lost, second, last := cluster.members[0], cluster.members[1], cluster.members[2]
	last.acceptPatch("before", 1)
	kept := last.book("before")
	g.Expect(kept.status).To(gomega.Equal(http.StatusOK))
	before, err := operate[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	lost.stopAndWait()
	g.Expect(os.RemoveAll(lost.settings.DataFolder)).To(gomega.Succeed())
	second.stopAndWait()
	lost.start()
	g.Eventually(func() error {
		_, err := operate[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
		return err
	}).WithTimeout(testTimeout).Should(gomega.MatchError(gomega.ContainSubstring("this replica has no log")))
	_, err = operate[operator.PatchOutcome](last, operator.CreatePatch, deadlinePatch("no quorum", 2))
	g.Expect(err).To(gomega.HaveOccurred(), "a replica with an empty disk does not count for a majority")
	g.Expect(last.book("no quorum").status).NotTo(gomega.Equal(http.StatusOK))
	g.Expect(cluster.executions.count("no quorum")).To(gomega.BeZero())

	second.start()
	g.Eventually(func() error {
		_, err := operate[operator.Done](last, operator.ReplaceReplica,
			operator.Replacement{Lost: before.Self, Address: string(lost.settings.Listen.Peers)})
		return err
	}).WithTimeout(testTimeout).Should(gomega.Succeed())
	// The host that is asked may be a follower, which learns with the next message
	// that the removal is committed.
	after := operator.Replicas{}
	g.Eventually(func() ([]operator.ReplicaRow, error) {
		after, err = operate[operator.Replicas](last, operator.ListReplicas, operator.Done{})
		return after.Replicas, err
	}).WithTimeout(testTimeout).Should(gomega.HaveLen(3))
	for _, row := range after.Replicas {
		g.Expect(row.ID).NotTo(gomega.Equal(before.Self), "a replica that lost its disk gets a new id")
	}
	second.stopAndWait()

	outcome := last.patchOutcome(deadlinePatch("before", 1))
	g.Expect(outcome.State).To(gomega.Equal(operator.PatchAccepted), "the patch keeps its first outcome")
	g.Expect(outcome.Version).To(gomega.Equal(configuration.Version(2)))
	g.Eventually(func() reply { return lost.book("before") }).WithTimeout(testTimeout).Should(gomega.Equal(kept))
	g.Expect(cluster.executions.count("before")).To(gomega.Equal(1))
	last.acceptPatch("after", 2)
	cluster.awaitVersion(3, lost, last)
}

// After many patches, and restarts of all hosts at once and one by one, the latest
// version is active everywhere. MAGNOLIAWALL_PATCHES sets the number of patches.
func TestRestartsActivateLatestVersion(t *testing.T) {
	t.Parallel()
	patches := 60
	if text, ok := os.LookupEnv("MAGNOLIAWALL_PATCHES"); ok {
		patches, _ = strconv.Atoi(text)
	}
	cluster := startCluster(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	for number := range patches {
		cluster.members[number%len(cluster.members)].acceptPatch(fmt.Sprint("patch-", number), configuration.Version(1+number))
	}
	for _, member := range cluster.members {
		member.stop()
	}
	for _, member := range cluster.members {
		member.stopAndWait()
	}
	for _, member := range cluster.members {
		member.start()
	}
	cluster.awaitVersion(1 + patches)
	for _, member := range cluster.members {
		member.stopAndWait()
		member.start()
		cluster.awaitVersion(1+patches, member)
	}
	cluster.members[0].acceptPatch("last", configuration.Version(1+patches))
	cluster.awaitVersion(2 + patches)
	for _, member := range cluster.members {
		gomega.NewWithT(t).Expect(member.logs.activatedVersions()).To(gomega.Equal([]int{1 + patches, 2 + patches}))
	}
}
