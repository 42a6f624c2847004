package host_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// avoided tells whether none of some calls from each host came to a target.
func (si *site) avoided(ta *target, from []*member) bool {
	before := si.record.runsAt(ta)
	for _, me := range from {
		for number := range 10 {
			if me.checklist(number).status != http.StatusOK {
				return false
			}
		}
	}
	return si.record.runsAt(ta) == before
}

// Callers on all other hosts stop sending to a target that drains, and the
// drain cuts no request in flight.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 1, "norte-a", "norte-a", "norte-a", "norte-b")
	leaving := si.hosts[1]
	g.Eventually(func() bool { return si.avoided(leaving.target, si.hosts) }).WithTimeout(patience).
		Should(gomega.BeFalse(), "it takes its part before it drains")
	inFlight := make(chan reply, 1)
	go func() { inFlight <- leaving.call(http.MethodGet, "/technicians/held/day", "") }()
	runner := si.hosts[0]
	g.Eventually(func() bool {
		for _, me := range si.hosts {
			select {
			case <-me.target.held:
				runner = me
				return true
			default:
			}
		}
		return false
	}).WithTimeout(patience).Should(gomega.BeTrue())

	_, err := ask[operator.Done](si.hosts[3], operator.DrainTarget, operator.NodeQuery{Node: runner.settings.Node})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest := si.others(runner)
	g.Eventually(func() bool { return si.avoided(runner.target, rest) }).WithTimeout(patience).Should(gomega.BeTrue())
	g.Expect(runner.done).NotTo(gomega.Receive(), "it stays until the request in flight is done")
	close(runner.target.release)
	told := <-inFlight
	g.Expect(told.status).To(gomega.Equal(http.StatusOK), fmt.Sprint(told))
	g.Expect(told.body).To(gomega.Equal("done "))
}

// Callers on all other hosts stop sending to a target that died.
func TestDeadTargetIsLeftAlone(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 1, "norte-a", "norte-a", "norte-b")
	dead := si.hosts[1]
	dead.end()
	dead.target.die()
	_, rest := si.others(dead)
	g.Eventually(func() bool { return si.avoided(dead.target, rest) }).WithTimeout(patience).Should(gomega.BeTrue())
}

// A request that crashes its target brings down at most two targets of a
// failure domain, however often its caller sends it again; others go on.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 1, "norte-a", "norte-a", "norte-a", "norte-a", "norte-b", "norte-b")
	for number := range 24 {
		me := si.hosts[number%len(si.hosts)]
		told := me.call(http.MethodGet, "/visits/poison/checklist", "")
		g.Expect(told.status).NotTo(gomega.Equal(http.StatusOK))
		for _, other := range si.hosts {
			other.target.revive(t)
		}
		si.awaitTargets(len(si.hosts))
		g.Eventually(func() int { return me.checklist(number).status }).WithTimeout(patience).
			Should(gomega.Equal(http.StatusOK), "an innocent request goes on")
	}
	deaths := map[any]int{}
	for _, me := range si.hosts {
		deaths[me.settings.FailureDomain] += me.target.died()
	}
	for domain, count := range deaths {
		g.Expect(count).To(gomega.BeNumerically("<=", 2), fmt.Sprint(domain))
	}
	g.Expect(deaths).NotTo(gomega.BeEmpty())
}
