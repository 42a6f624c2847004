package host_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// Two operators patch the same version from two sides, and both lose the
// answer: one patch is accepted, and each resend learns its own outcome, again
// after all hosts were restarted.
func TestOperatorsRaceAndLoseTheirAnswers(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 3, "norte-a", "litoral-a", "sur-a", "norte-b", "litoral-b")
	sides := []*member{si.in("norte-b"), si.in("litoral-b")}
	for _, side := range sides {
		g.Eventually(func() error {
			_, err := ask[operator.Status](side, operator.ViewStatus, operator.Done{})
			return err
		}).WithTimeout(patience).Should(gomega.Succeed())
	}
	// Requests still reach the replicas; no answer comes back.
	si.network.cut(domains{"norte-a", "litoral-a", "sur-a"}, domains{"norte-b", "litoral-b"})
	sent := []operator.Patch{patch("ines", 1), patch("joaquin", 1)}
	sent[1].Note = "another content"
	ctx, lose := context.WithCancel(t.Context())
	answers := make(chan error, len(sides))
	for index, side := range sides {
		go func() {
			client := &operator.Client{Base: "http://" + string(side.settings.Listen.Admin), HTTP: http.DefaultClient}
			_, err := operator.Ask[operator.PatchOutcome](ctx, client, operator.CreatePatch, sent[index])
			answers <- err
		}()
	}
	var decided operator.PatchList
	g.Eventually(func() []operator.PatchOutcome {
		decided, _ = ask[operator.PatchList](si.in("sur-a"), operator.ListPatches, operator.Most{})
		return decided.Patches
	}).WithTimeout(patience).Should(gomega.HaveLen(1 + len(sent)))
	lose()
	for range sides {
		g.Expect(operator.IsInDoubt(<-answers)).To(gomega.BeTrue())
	}
	si.network.heal()
	first := si.expectOneWinner(sides, sent)

	for _, me := range si.hosts {
		me.stop()
	}
	for _, me := range si.hosts {
		me.end()
	}
	for _, me := range si.hosts {
		me.start()
	}
	g.Expect(si.expectOneWinner(sides, sent)).To(gomega.Equal(first), "each learns its first outcome again")
	si.awaitVersion(2)
}

// expectOneWinner sends the patches again and checks them against the versions.
func (si *site) expectOneWinner(sides []*member, sent []operator.Patch) []operator.PatchOutcome {
	si.t.Helper()
	g := gomega.NewWithT(si.t)
	var outcomes []operator.PatchOutcome
	won := 0
	for index, side := range sides {
		outcome := side.outcome(sent[index])
		if outcome.State == operator.StateAccepted {
			won++
			list, err := ask[operator.Versions](side, operator.ListVersions, operator.VersionRange{After: 1})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list.Versions).To(gomega.HaveLen(1))
			g.Expect(list.Versions[0].PatchID).To(gomega.Equal(sent[index].ID))
		} else {
			g.Expect(outcome.State).To(gomega.Equal(operator.StateStale))
			g.Expect(outcome.Since).To(gomega.HaveLen(1))
		}
		g.Expect(outcome.Version).To(gomega.Equal(configuration.Version(2)))
		outcomes = append(outcomes, outcome)
	}
	g.Expect(won).To(gomega.Equal(1))
	return outcomes
}
