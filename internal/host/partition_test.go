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

// leader gives the host that another one knows as the leader.
func (si *site) leader(asked *member) *member {
	si.t.Helper()
	var found *member
	gomega.NewWithT(si.t).Eventually(func() *member {
		list, _ := ask[operator.Replicas](asked, operator.ListReplicas, operator.Done{})
		for _, row := range list.Replicas {
			if row.ID == list.Leader {
				found = si.in(row.Domain)
			}
		}
		return found
	}).WithTimeout(patience).ShouldNot(gomega.BeNil())
	return found
}

// others lists the domains of all other hosts.
func (si *site) others(but *member) (rest domains, hosts []*member) {
	for _, me := range si.hosts {
		if me != but {
			rest = append(rest, me.settings.FailureDomain)
			hosts = append(hosts, me)
		}
	}
	return rest, hosts
}

// A leader that is silently cut off for long commits nothing, and when it comes
// back it catches up without an election on the healthy side.
func TestLeaderCutOffForLong(t *testing.T) {
	g := gomega.NewWithT(t)
	si := newSite(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	lost := si.leader(si.hosts[0])
	rest, healthy := si.others(lost)
	si.network.part(domains{lost.settings.FailureDomain}, rest)

	_, err := ask[operator.PatchOutcome](lost, operator.CreatePatch, patch("cut-off", 1))
	g.Expect(err).To(gomega.HaveOccurred(), "the cut-off leader commits nothing")
	const patches = 12
	for number := range configuration.Version(patches) {
		healthy[int(number)%len(healthy)].accept(fmt.Sprint("healthy-", number), 1+number)
	}
	si.awaitVersion(1+patches, healthy...)
	g.Expect(lost.forced.all()).To(gomega.Equal([]int{1}))
	leader := si.leader(healthy[0])

	si.network.heal()
	si.awaitVersion(1 + patches)
	g.Expect(si.leader(healthy[0])).To(gomega.BeIdenticalTo(leader), "no election on the healthy side")
	for _, me := range si.hosts {
		all := me.forced.all()
		for index := 1; index < len(all); index++ {
			g.Expect(all[index]).To(gomega.BeNumerically(">", all[index-1]), "a version went back at %s", me.settings.Node)
		}
	}
	outcome := lost.outcome(patch("cut-off", 1))
	g.Expect(outcome.State).To(gomega.Equal(operator.StateStale))
	g.Expect(outcome.Since).To(gomega.HaveLen(patches))
}

// Regions that lose each other go on: the majority takes patches and bookings,
// each region serves reads, and together again all have the latest version.
func TestRegionsApartAndTogether(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	version := configuration.Version(1)
	for round, apart := range []domains{norte, sur} {
		majority := append(append(domains{}, litoral...), sur...)
		if round == 1 {
			majority = append(append(domains{}, litoral...), norte...)
		}
		si.network.part(apart, majority)
		for range 3 {
			si.in(majority[round]).accept(fmt.Sprint("patch-", version), version)
			version++
		}
		key := fmt.Sprint("booking-", round)
		var kept reply
		g.Eventually(func() int {
			kept = si.in(majority[2]).book(key)
			return kept.status
		}).WithTimeout(patience).Should(gomega.Equal(http.StatusOK))
		for _, me := range si.hosts {
			g.Eventually(func() int { return me.checklist(round).status }).WithTimeout(patience).Should(gomega.Equal(http.StatusOK))
		}
		refused := si.in(apart[0]).book(key)
		g.Expect(refused.status).NotTo(gomega.Equal(http.StatusOK))
		g.Expect(refused.outcome).To(gomega.Equal(request.Unknown.String()), "it ran on the other side")
		si.network.heal()
		si.awaitVersion(int(version))
		g.Eventually(func() reply { return si.in(apart[0]).book(key) }).WithTimeout(patience).Should(gomega.Equal(kept))
		g.Expect(si.record.runs(key)).To(gomega.Equal(1))
	}
}

// A leader that hears nobody, but is heard, gives way: the rest go on, and a
// patch that only it holds is not accepted twice or half.
func TestDeafLeaderGivesWay(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 3, "norte-a", "litoral-a", "sur-a")
	deaf := si.leader(si.hosts[0])
	rest, healthy := si.others(deaf)
	si.network.cut(rest, domains{deaf.settings.FailureDomain})
	_, err := ask[operator.PatchOutcome](deaf, operator.CreatePatch, patch("deaf", 1))
	g.Expect(err).To(gomega.HaveOccurred())
	healthy[0].accept("heard", 1)
	si.awaitVersion(2, healthy...)
	si.network.heal()
	si.awaitVersion(2)
	g.Expect(deaf.outcome(patch("deaf", 1)).State).To(gomega.Equal(operator.StateStale))
}
