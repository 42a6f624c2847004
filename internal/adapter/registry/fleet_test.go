package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const service request.ServiceName = "consumo"

func domain(index int) request.Place {
	return request.Place{
		Region: request.RegionName(fmt.Sprintf("region-%d", index/2)),
		Domain: request.DomainName(fmt.Sprintf("domain-%d", index)),
	}
}

// smallFleet has two replicas with three targets each, and a caller at each.
func smallFleet() (*fleet, []*nodeStub, []*nodeStub) {
	made := newFleet(2)
	var targets, callers []*nodeStub
	for index := range 6 {
		targets = append(targets, made.addNode(fmt.Sprintf("target-%d", index), service, domain(index%2), nil, index%2))
	}
	for index := range 2 {
		callers = append(callers, made.addNode(fmt.Sprintf("caller-%d", index), "agenda", domain(index), []request.ServiceName{service}, index))
	}
	made.pass(2*membership.DefaultWarmUpTime, nil)
	return made, targets, callers
}

func counts(callers []*nodeStub) []int {
	var lengths []int
	for _, caller := range callers {
		lengths = append(lengths, len(caller.lists[service]))
	}
	return lengths
}

func allSee(callers []*nodeStub, count int) func() bool {
	return func() bool {
		return !slices.ContainsFunc(counts(callers), func(length int) bool { return length != count })
	}
}

func TestLeavingTargetIsKnownEverywhereInTwoSeconds(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, callers := smallFleet()
	expect.Expect(counts(callers)).To(gomega.Equal([]int{6, 6}))
	made.submit(targets[0], targets[0].agent.change(made.now, membership.Draining))
	took := made.pass(10*time.Second, func() bool {
		return !slices.ContainsFunc(callers, func(caller *nodeStub) bool {
			return !slices.ContainsFunc(caller.agent.view.Records(service), func(record membership.Record) bool {
				return record.State == membership.Draining
			})
		})
	})
	expect.Expect(took).To(gomega.BeNumerically("<=", 2*time.Second))
}

func TestColdTargetBecomesReadyAndALeavingOneStaysSo(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, callers := smallFleet()
	state := func() balancer.State { return callers[0].lists[service][0].State }
	made.submit(targets[0], targets[0].agent.change(made.now, membership.Cold))
	made.pass(time.Second, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Cold))
	made.pass(balancer.DefaultWarmupTime, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Ready))
	made.submit(targets[0], targets[0].agent.change(made.now, membership.Draining))
	made.submit(targets[0], targets[0].agent.change(made.now, membership.Ready))
	made.submit(targets[0], targets[0].agent.resize(9))
	made.pass(time.Second, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Draining))
	expect.Expect(callers[0].lists[service][0].Slots).To(gomega.Equal(balancer.Slots(9)))
}

func TestDeadTargetIsOutEverywhereInFiveSeconds(t *testing.T) {
	for name, kill := range map[string]func(*fleet, *nodeStub){
		"silent":        func(*fleet, *nodeStub) {},
		"stream closed": func(made *fleet, node *nodeStub) { made.breakSession(node) },
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			made, targets, callers := smallFleet()
			targets[1].dead = true
			kill(made, targets[1])
			took := made.pass(20*time.Second, allSee(callers, 5))
			expect.Expect(counts(callers)).To(gomega.Equal([]int{5, 5}))
			expect.Expect(took).To(gomega.BeNumerically("<=", 5*time.Second))
		})
	}
}

func TestLostReplicaCostsNoTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, _, callers := smallFleet()
	made.killReplica(0)
	fewest := 6
	watch := func() bool {
		for _, length := range counts(callers) {
			fewest = min(fewest, length)
		}
		return false
	}
	made.pass(time.Second, watch)
	for _, node := range made.nodes {
		if node.session == nil {
			made.attach(node, 1)
		}
	}
	made.pass(20*time.Second, watch)
	expect.Expect(made.replicas[1].desk.registry.LeaseCount()).To(gomega.Equal(8))

	made.startReplica(0)
	for _, node := range made.nodes[:4] {
		made.breakSession(node)
		made.attach(node, 0)
	}
	made.pass(20*time.Second, watch)
	expect.Expect(fewest).To(gomega.Equal(6))
	expect.Expect(made.replicas[0].desk.registry.LeaseCount()).To(gomega.Equal(4))
	expect.Expect(made.replicas[1].desk.registry.LeaseCount()).To(gomega.Equal(4))
}

func TestRestartedReplicaCostsNoTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, _, callers := smallFleet()
	fewest := 6
	watch := func() bool {
		for _, length := range counts(callers) {
			fewest = min(fewest, length)
		}
		return false
	}
	made.killReplica(0)
	made.pass(500*time.Millisecond, watch)
	made.startReplica(0)
	made.pass(500*time.Millisecond, watch)
	for _, node := range made.nodes {
		if node.session == nil {
			made.attach(node, 0)
		}
	}
	made.pass(20*time.Second, watch)
	expect.Expect(fewest).To(gomega.Equal(6))
}

func TestNodeWithoutAReplicaKeepsItsLists(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, _, callers := smallFleet()
	made.killReplica(0)
	made.killReplica(1)
	made.pass(time.Hour/60, nil)
	expect.Expect(counts(callers)).To(gomega.Equal([]int{6, 6}))
	expect.Expect(callers[0].agent.silent(made.now)).To(gomega.BeFalse())
}

func TestReportArrivesBeforeTheListWithoutItsTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, callers := smallFleet()
	for _, caller := range callers {
		caller.log = nil
	}
	crash := quarantine.Report{Event: quarantine.TargetCrashed, Crash: quarantine.Crash{Node: "target-0", Domain: "domain-0", Incarnation: 1}, Fingerprints: []request.Fingerprint{7}}
	made.submit(targets[0], targets[0].agent.report([]quarantine.Report{crash}))
	made.submit(targets[0], targets[0].agent.change(made.now, membership.Down))
	made.pass(time.Second, nil)
	for _, caller := range callers {
		expect.Expect(caller.log).To(gomega.Equal([]string{"report 1", "targets 5"}))
	}
}

func TestReportsReachNodesThatConnectLater(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, _ := smallFleet()
	crash := quarantine.Report{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{7}}
	made.submit(targets[0], targets[0].agent.report([]quarantine.Report{crash}))
	late := made.addNode("late", "agenda", domain(1), nil, 1)
	expect.Expect(late.log).To(gomega.ContainElement("report 1"))

	made.breakSession(targets[2])
	expect.Expect(targets[2].agent.report([]quarantine.Report{crash})).To(gomega.BeNil())
	late.log = nil
	made.attach(targets[2], 0)
	expect.Expect(late.log).To(gomega.BeEmpty())
	made.pass(TickInterval, nil)
	expect.Expect(late.log).To(gomega.ContainElement("report 1"))
}

func version(number int) distribution.Version {
	text := fmt.Sprintf("{\n\t\"padding\": \"%0512d\",\n\t\"number\": %d\n}\n", 0, number)
	patch := fmt.Sprintf(`[{"op":"replace","path":"/number","value":%d}]`, number)
	patched, err := configuration.Patch([]byte(text), []byte(patch))
	if err != nil {
		panic(err)
	}
	return distribution.Version{Number: configuration.Version(number), Text: patched, Patch: []byte(patch)}
}

func TestVersionsReachAllNodesAndNeverGoBack(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, _, callers := smallFleet()
	for number := 1; number <= 20; number++ {
		made.publish(version(number))
		made.pass(300*time.Millisecond, nil)
		for _, node := range made.nodes {
			expect.Expect(node.version).To(gomega.Equal(configuration.Version(number)))
		}
	}
	made.killReplica(0)
	made.startReplica(0)
	for number := 1; number <= 10; number++ {
		expect.Expect(made.replicas[0].desk.publisher.Publish(version(number))).To(gomega.Succeed())
	}
	made.attach(callers[0], 0)
	made.pass(5*time.Second, nil)
	expect.Expect(callers[0].version).To(gomega.Equal(configuration.Version(20)))
	for number := 11; number <= 21; number++ {
		expect.Expect(made.replicas[0].desk.publisher.Publish(version(number))).To(gomega.Succeed())
	}
	made.pass(time.Second, nil)
	expect.Expect(callers[0].version).To(gomega.Equal(configuration.Version(21)))
}

func TestStatusNamesWhoIsBehindAndOutOfReach(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, _ := smallFleet()
	made.publish(version(1))
	made.pass(3*time.Second, nil)
	current, behind := distribution.CountInForce(made.replicas[0].desk.tracker.Status(made.now), 1)
	expect.Expect([]int{current, behind}).To(gomega.Equal([]int{8, 0}))
	targets[0].dead = true
	made.killReplica(1)
	made.pass(distribution.DefaultSilenceTimeout+time.Second, nil)
	status := made.replicas[0].desk.tracker.Status(made.now)
	expect.Expect(status[0].Silent).To(gomega.ConsistOf(request.NodeID("target-0")))
	expect.Expect(status[1].OutOfReach).To(gomega.BeTrue())
}

func TestNodeThatMovedIsCountedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	made, targets, _ := smallFleet()
	made.breakSession(targets[0])
	made.attach(targets[0], 1)
	made.pass(distribution.DefaultSilenceTimeout+time.Second, nil)
	nodes := 0
	for _, status := range made.replicas[0].desk.tracker.Status(made.now) {
		nodes += status.Nodes
		expect.Expect(status.Silent).To(gomega.BeEmpty())
	}
	expect.Expect(nodes).To(gomega.Equal(8))
}

func TestNodesKnowWhatOthersPutOnALink(t *testing.T) {
	expect := gomega.NewWithT(t)
	made := newFleet(2)
	var links []*balancer.Links
	for index := range 3 {
		node := made.addNode(fmt.Sprintf("node-%d", index), service, domain(index%2), nil, index%2)
		node.agent.links = &balancer.Links{Capacity: 1000, UnimportantShare: 0.5}
		links = append(links, node.agent.links)
	}
	for range 30 {
		links[0].AddBytes(made.now, "region-9", 30)
		links[1].AddBytes(made.now, "region-9", 30)
		made.pass(TickInterval, nil)
	}
	expect.Expect(links[2].Full(made.now, "region-9")).To(gomega.BeTrue())
	expect.Expect(links[0].Full(made.now, "region-9")).To(gomega.BeTrue())
	_, own := links[0].Traffic(made.now, "region-9")
	expect.Expect(float64(own)).To(gomega.BeNumerically("<", 500))
	made.pass(10*time.Second, nil)
	expect.Expect(links[2].Full(made.now, "region-9")).To(gomega.BeFalse())
}

func TestStormIsSpreadOverTime(t *testing.T) {
	expect := gomega.NewWithT(t)
	made := newFleet(1)
	for index := range 500 {
		made.addNode(fmt.Sprintf("node-%d", index), service, domain(0), nil, 0)
	}
	expect.Expect(made.replicas[0].desk.registry.LeaseCount()).To(gomega.BeNumerically("<=", 60))
	took := made.pass(time.Minute, func() bool { return made.replicas[0].desk.registry.LeaseCount() == 500 })
	expect.Expect(took).To(gomega.BeNumerically("<=", 10*time.Second))
	expect.Expect(took).To(gomega.BeNumerically(">=", 2*time.Second))
}
