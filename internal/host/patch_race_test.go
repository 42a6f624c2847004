package host_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// Two operators patch the same version through different hosts, and both lose the
// answer. One patch is accepted, and when each is sent again it gets its own
// outcome, also after all hosts were restarted.
func TestConcurrentPatchesWithLostAnswers(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a", "norte-b", "litoral-b")
	sides := []*clusterMember{cluster.memberIn("norte-b"), cluster.memberIn("litoral-b")}
	for _, side := range sides {
		g.Eventually(func() error {
			_, err := operate[operator.Status](side, operator.ViewStatus, operator.Done{})
			return err
		}).WithTimeout(testTimeout).Should(gomega.Succeed())
	}
	// Requests still reach the replicas, but answers do not come back.
	cluster.network.block(domains{"norte-a", "litoral-a", "sur-a"}, domains{"norte-b", "litoral-b"})
	sent := []operator.Patch{deadlinePatch("ines", 1), deadlinePatch("joaquin", 1)}
	sent[1].Note = "another content"
	ctx, lose := context.WithCancel(t.Context())
	answers := make(chan error, len(sides))
	for index, side := range sides {
		go func() {
			client := &operator.Client{Base: "http://" + string(side.settings.Listen.Admin), HTTP: http.DefaultClient}
			_, err := operator.Call[operator.PatchOutcome](ctx, client, operator.CreatePatch, sent[index])
			answers <- err
		}()
	}
	var decided operator.PatchList
	g.Eventually(func() []operator.PatchOutcome {
		decided, _ = operate[operator.PatchList](cluster.memberIn("sur-a"), operator.ListPatches, operator.ListQuery{})
		return decided.Patches
	}).WithTimeout(testTimeout).Should(gomega.HaveLen(1 + len(sent)))
	lose()
	for range sides {
		g.Expect(operator.IsInDoubt(<-answers)).To(gomega.BeTrue())
	}
	cluster.network.heal()
	first := cluster.expectOneAccepted(sides, sent)

	for _, member := range cluster.members {
		member.stop()
	}
	for _, member := range cluster.members {
		member.stopAndWait()
	}
	for _, member := range cluster.members {
		member.start()
	}
	g.Expect(cluster.expectOneAccepted(sides, sent)).To(gomega.Equal(first), "each patch keeps its first outcome")
	cluster.awaitVersion(2)
}

// expectOneAccepted sends the patches again and compares the outcomes with the
// list of versions.
func (cluster *testCluster) expectOneAccepted(sides []*clusterMember, sent []operator.Patch) []operator.PatchOutcome {
	cluster.t.Helper()
	g := gomega.NewWithT(cluster.t)
	var outcomes []operator.PatchOutcome
	won := 0
	for index, side := range sides {
		outcome := side.patchOutcome(sent[index])
		if outcome.State == operator.PatchAccepted {
			won++
			list, err := operate[operator.Versions](side, operator.ListVersions, operator.VersionRange{After: 1})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list.Versions).To(gomega.HaveLen(1))
			g.Expect(list.Versions[0].PatchID).To(gomega.Equal(sent[index].ID))
		} else {
			g.Expect(outcome.State).To(gomega.Equal(operator.PatchStale))
			g.Expect(outcome.Since).To(gomega.HaveLen(1))
		}
		g.Expect(outcome.Version).To(gomega.Equal(configuration.Version(2)))
		outcomes = append(outcomes, outcome)
	}
	g.Expect(won).To(gomega.Equal(1))
	return outcomes
}
