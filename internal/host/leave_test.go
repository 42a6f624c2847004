package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// avoided tells whether calls from each host are all answered, and none of them
// came to one host or its target.
func (si *site) avoided(left *member, from []*member) bool {
	inbound, runs := left.inbound(), si.record.runsAt(left.target)
	for _, me := range from {
		for number := range 40 {
			if me.checklist(number).status != http.StatusOK {
				return false
			}
		}
	}
	return left.inbound() == inbound && si.record.runsAt(left.target) == runs
}

// expectReached waits until calls come to a host's target.
func (si *site) expectReached(wanted *member) {
	si.t.Helper()
	before := si.record.runsAt(wanted.target)
	gomega.NewWithT(si.t).Eventually(func() int {
		si.avoided(wanted, si.hosts)
		return si.record.runsAt(wanted.target)
	}).WithTimeout(patience).Should(gomega.BeNumerically(">", before))
}

// Callers on all other hosts stop sending to a target that drains, and the
// drain cuts no request in flight.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 1, "norte-a", "norte-a", "norte-a", "norte-b")
	entry := si.hosts[1]
	si.expectReached(entry)
	longer := patch("longer", 1)
	longer.Operations = json.RawMessage(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"10m"}]`)
	g.Expect(entry.outcome(longer).State).To(gomega.Equal(operator.StateAccepted))
	si.awaitVersion(2)
	inFlight := make(chan reply, 64)
	sent := 0
	runner := entry
	for ; runner == entry; sent++ {
		go func(path string) { inFlight <- entry.call(http.MethodGet, path, "") }(heldPath(sent))
		runner = si.awaitHeld()
	}
	si.expectReached(runner)

	_, err := ask[operator.Done](si.hosts[3], operator.DrainTarget, operator.NodeQuery{Node: runner.settings.Node})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest := si.others(runner)
	g.Eventually(func() bool { return si.avoided(runner, rest) }).WithTimeout(patience).Should(gomega.BeTrue())
	g.Expect(runner.done).To(gomega.BeEmpty(), "it stays until the request in flight is done")
	for _, me := range si.hosts {
		me.target.letGo()
	}
	for number := range sent {
		told := <-inFlight
		g.Expect(told.status).To(gomega.Equal(http.StatusOK), fmt.Sprint(told))
		g.Expect(told.body).To(gomega.Equal("done "))
		g.Expect(si.record.runs(heldPath(number))).To(gomega.Equal(1), "it was cut and sent again")
	}
}

func heldPath(number int) string {
	return fmt.Sprintf("/technicians/held-%d/day", number)
}

// Callers on all other hosts stop sending to a target that died, and come back
// to it when it is there again.
func TestDeadTargetIsLeftAlone(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 1, "norte-a", "norte-a", "norte-b")
	dead := si.hosts[1]
	_, rest := si.others(dead)
	si.expectReached(dead)
	dead.target.die()
	g.Eventually(func() bool { return si.avoided(dead, rest) }).WithTimeout(patience).Should(gomega.BeTrue())
	dead.target.revive(t)
	si.expectReached(dead)
}

// inbound gives the node's count of calls from peers.
func (me *member) inbound() string {
	answer, err := http.Get("http://" + string(me.settings.Listen.Admin) + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	return regexp.MustCompile(`magnoliawall_inbound_calls_total \d+`).FindString(string(content))
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
	deaths := map[request.DomainName]int{}
	for _, me := range si.hosts {
		deaths[me.settings.FailureDomain] += me.target.died()
	}
	for domain, count := range deaths {
		g.Expect(count).To(gomega.BeNumerically("<=", 2), fmt.Sprint(domain))
	}
	g.Expect(deaths["norte-a"]+deaths["norte-b"]).NotTo(gomega.BeZero(), "it does crash its target")
}
