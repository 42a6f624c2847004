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

// A host that lost its disk does not vote. Once its replica is put in the place
// of the old one, another host may be lost at once: claims and versions stand.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 3, "norte-a", "litoral-a", "sur-a")
	lost, second, last := si.hosts[0], si.hosts[1], si.hosts[2]
	last.accept("before", 1)
	kept := last.book("before")
	g.Expect(kept.status).To(gomega.Equal(http.StatusOK))
	before, err := ask[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	lost.end()
	g.Expect(os.RemoveAll(lost.settings.DataFolder)).To(gomega.Succeed())
	second.end()
	lost.start()
	g.Eventually(func() error {
		_, err := ask[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
		return err
	}).WithTimeout(patience).Should(gomega.MatchError(gomega.ContainSubstring("this replica has no log")))
	_, err = ask[operator.PatchOutcome](last, operator.CreatePatch, patch("no quorum", 2))
	g.Expect(err).To(gomega.HaveOccurred(), "an empty disk makes no majority")
	g.Expect(last.book("no quorum").status).NotTo(gomega.Equal(http.StatusOK))
	g.Expect(si.record.runs("no quorum")).To(gomega.BeZero())

	second.start()
	g.Eventually(func() error {
		_, err := ask[operator.Done](last, operator.ReplaceReplica,
			operator.Replacement{Lost: before.Here, Address: string(lost.settings.Listen.Peers)})
		return err
	}).WithTimeout(patience).Should(gomega.Succeed())
	// The host that is asked may not lead, and learns by the next message that the
	// removal is committed.
	after := operator.Replicas{}
	g.Eventually(func() ([]operator.ReplicaRow, error) {
		after, err = ask[operator.Replicas](last, operator.ListReplicas, operator.Done{})
		return after.Replicas, err
	}).WithTimeout(patience).Should(gomega.HaveLen(3))
	for _, row := range after.Replicas {
		g.Expect(row.ID).NotTo(gomega.Equal(before.Here), "a replica without its disk is a new one")
	}
	second.end()

	outcome := last.outcome(patch("before", 1))
	g.Expect(outcome.State).To(gomega.Equal(operator.StateAccepted), "the patch keeps its first outcome")
	g.Expect(outcome.Version).To(gomega.Equal(configuration.Version(2)))
	g.Eventually(func() reply { return lost.book("before") }).WithTimeout(patience).Should(gomega.Equal(kept))
	g.Expect(si.record.runs("before")).To(gomega.Equal(1))
	last.accept("after", 2)
	si.awaitVersion(3, lost, last)
}

// After many patches and restarts, together and one by one, the latest version
// is in force everywhere. MAGNOLIAWALL_PATCHES gives another number of patches.
func TestRestartsComeBackToTheLatestVersion(t *testing.T) {
	t.Parallel()
	patches := 60
	if text, ok := os.LookupEnv("MAGNOLIAWALL_PATCHES"); ok {
		patches, _ = strconv.Atoi(text)
	}
	si := newSite(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	for number := range patches {
		si.hosts[number%len(si.hosts)].accept(fmt.Sprint("patch-", number), configuration.Version(1+number))
	}
	for _, me := range si.hosts {
		me.stop()
	}
	for _, me := range si.hosts {
		me.end()
	}
	for _, me := range si.hosts {
		me.start()
	}
	si.awaitVersion(1 + patches)
	for _, me := range si.hosts {
		me.end()
		me.start()
		si.awaitVersion(1+patches, me)
	}
	si.hosts[0].accept("last", configuration.Version(1+patches))
	si.awaitVersion(2 + patches)
	for _, me := range si.hosts {
		gomega.NewWithT(t).Expect(me.forced.all()).To(gomega.Equal([]int{1 + patches, 2 + patches}))
	}
}
