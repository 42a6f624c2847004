package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// receivesNoCalls reports whether calls from each of the hosts are all answered, and
// none of them reached one host or its target.
func (cluster *testCluster) receivesNoCalls(avoided *clusterMember, from []*clusterMember) bool {
	inbound, runs := avoided.inboundCallsMetric(), cluster.executions.countAt(avoided.target)
	for _, member := range from {
		for number := range 40 {
			if member.checklist(number).status != http.StatusOK {
				return false
			}
		}
	}
	return avoided.inboundCallsMetric() == inbound && cluster.executions.countAt(avoided.target) == runs
}

// expectReceivesCalls waits until calls reach a host's target.
func (cluster *testCluster) expectReceivesCalls(wanted *clusterMember) {
	cluster.t.Helper()
	before := cluster.executions.countAt(wanted.target)
	gomega.NewWithT(cluster.t).Eventually(func() int {
		cluster.receivesNoCalls(wanted, cluster.members)
		return cluster.executions.countAt(wanted.target)
	}).WithTimeout(testTimeout).Should(gomega.BeNumerically(">", before))
}

// When a target drains, callers on all other hosts stop sending to it, and the
// requests in flight are finished.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 1, "norte-a", "norte-a", "norte-a", "norte-b")
	entry := cluster.members[1]
	cluster.expectReceivesCalls(entry)
	longer := deadlinePatch("longer", 1)
	longer.Operations = json.RawMessage(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"10m"}]`)
	g.Expect(entry.patchOutcome(longer).State).To(gomega.Equal(operator.PatchAccepted))
	cluster.awaitVersion(2)
	inFlight := make(chan reply, 64)
	sent := 0
	runner := entry
	for ; runner == entry; sent++ {
		go func(path string) { inFlight <- entry.call(http.MethodGet, path, "") }(heldRequestPath(sent))
		runner = cluster.awaitHeldRequest()
	}
	cluster.expectReceivesCalls(runner)

	_, err := operate[operator.Done](cluster.members[3], operator.DrainTarget, operator.NodeQuery{Node: runner.settings.Node})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest := cluster.others(runner)
	g.Eventually(func() bool { return cluster.receivesNoCalls(runner, rest) }).WithTimeout(testTimeout).Should(gomega.BeTrue())
	g.Expect(runner.done).To(gomega.BeEmpty(), "the host runs until the request in flight is finished")
	for _, member := range cluster.members {
		member.target.releaseHeld()
	}
	for number := range sent {
		answer := <-inFlight
		g.Expect(answer.status).To(gomega.Equal(http.StatusOK), fmt.Sprint(answer))
		g.Expect(answer.body).To(gomega.Equal("done "))
		g.Expect(cluster.executions.count(heldRequestPath(number))).To(gomega.Equal(1), "the request was interrupted and sent again")
	}
}

func heldRequestPath(number int) string {
	return fmt.Sprintf("/technicians/held-%d/day", number)
}

// When a target dies, callers on all other hosts stop sending to it, and start
// again when it is back.
func TestDeadTargetReceivesNoCalls(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 1, "norte-a", "norte-a", "norte-b")
	dead := cluster.members[1]
	_, rest := cluster.others(dead)
	cluster.expectReceivesCalls(dead)
	dead.target.crash()
	g.Eventually(func() bool { return cluster.receivesNoCalls(dead, rest) }).WithTimeout(testTimeout).Should(gomega.BeTrue())
	dead.target.restart(t)
	cluster.expectReceivesCalls(dead)
}

// When a target says in an answer that it is leaving, callers on all hosts stop sending to
// it, and start again with its next run.
func TestLeavingTargetReceivesNoCallsUntilItsNextRun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 1, "norte-a", "norte-a", "norte-b")
	for _, member := range cluster.members {
		cluster.expectReceivesCalls(member)
	}
	answer := cluster.members[0].call(http.MethodGet, "/visits/leave/checklist", "")
	g.Expect(answer.status).To(gomega.Equal(http.StatusOK))
	leaving := cluster.members[slices.IndexFunc(cluster.members, func(member *clusterMember) bool { return member.target.isLeaving() })]
	_, rest := cluster.others(leaving)
	g.Eventually(func() bool { return cluster.receivesNoCalls(leaving, rest) }).WithTimeout(testTimeout).Should(gomega.BeTrue())
	leaving.target.crash()
	leaving.target.restart(t)
	cluster.expectReceivesCalls(leaving)
}

// inboundCallsMetric reads the node's metric of calls from peers.
func (member *clusterMember) inboundCallsMetric() string {
	return regexp.MustCompile(`magnoliawall_inbound_calls_total \d+`).FindString(member.metrics())
}

// metrics returns the host's page of metrics, or nothing if it does not answer.
func (member *clusterMember) metrics() string {
	answer, err := http.Get("http://" + string(member.settings.Listen.Admin) + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	return string(content)
}

// A request that crashes its target takes down at most two targets of a failure
// domain, however often its caller repeats it. Other requests are still served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 1, "norte-a", "norte-a", "norte-a", "norte-a", "norte-b", "norte-b")
	for number := range 24 {
		member := cluster.members[number%len(cluster.members)]
		answer := member.call(http.MethodGet, "/visits/poison/checklist", "")
		g.Expect(answer.status).NotTo(gomega.Equal(http.StatusOK))
		for _, other := range cluster.members {
			other.target.restart(t)
		}
		cluster.awaitTargets(len(cluster.members))
		g.Eventually(func() int { return member.checklist(number).status }).WithTimeout(testTimeout).
			Should(gomega.Equal(http.StatusOK), "other requests are still served")
	}
	deaths := map[request.DomainName]int{}
	for _, member := range cluster.members {
		deaths[member.settings.FailureDomain] += member.target.crashCount()
	}
	for domain, count := range deaths {
		g.Expect(count).To(gomega.BeNumerically("<=", 2), fmt.Sprint(domain))
	}
	g.Expect(deaths["norte-a"]+deaths["norte-b"]).NotTo(gomega.BeZero(), "the request crashes its target")
}
