package registry

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const service request.ServiceName = "consumo"

func placeAt(index int) request.Place {
	return request.Place{
		Region: request.RegionName(fmt.Sprintf("region-%d", index/2)),
		Domain: request.DomainName(fmt.Sprintf("domain-%d", index)),
	}
}

// newSmallFleet returns a fleet of two replicas, each with three targets and one
// caller.
func newSmallFleet() (*testFleet, []*fleetNode, []*fleetNode) {
	fleet := newFleet(2)
	var targets, callers []*fleetNode
	for index := range 6 {
		targets = append(targets, fleet.addNode(fmt.Sprintf("target-%d", index), service, placeAt(index%2), nil, index%2))
	}
	for index := range 2 {
		callers = append(callers, fleet.addNode(fmt.Sprintf("caller-%d", index), "agenda", placeAt(index), []request.ServiceName{service}, index))
	}
	fleet.advance(2*membership.DefaultWarmUpTime, nil)
	return fleet, targets, callers
}

func targetCounts(callers []*fleetNode) []int {
	var lengths []int
	for _, caller := range callers {
		lengths = append(lengths, len(caller.lists[service]))
	}
	return lengths
}

func allHaveTargets(callers []*fleetNode, count int) func() bool {
	return func() bool {
		return !slices.ContainsFunc(targetCounts(callers), func(length int) bool { return length != count })
	}
}

func TestDrainingStateReachesAllNodesInTwoSeconds(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, callers := newSmallFleet()
	expect.Expect(targetCounts(callers)).To(gomega.Equal([]int{6, 6}))
	fleet.send(targets[0], targets[0].agent.setState(fleet.now, membership.Draining))
	elapsed := fleet.advance(10*time.Second, func() bool {
		return !slices.ContainsFunc(callers, func(caller *fleetNode) bool {
			return !slices.ContainsFunc(caller.agent.view.Records(service), func(record membership.Record) bool {
				return record.State == membership.Draining
			})
		})
	})
	expect.Expect(elapsed).To(gomega.BeNumerically("<=", 2*time.Second))
}

func TestColdTargetBecomesReadyAndDrainingIsFinal(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, callers := newSmallFleet()
	state := func() balancer.State { return callers[0].lists[service][0].State }
	fleet.send(targets[0], targets[0].agent.setState(fleet.now, membership.Cold))
	fleet.advance(time.Second, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Cold))
	fleet.advance(balancer.DefaultWarmupTime, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Ready))
	fleet.send(targets[0], targets[0].agent.setState(fleet.now, membership.Draining))
	fleet.send(targets[0], targets[0].agent.setState(fleet.now, membership.Ready))
	fleet.send(targets[0], targets[0].agent.setSlots(9))
	fleet.advance(time.Second, nil)
	expect.Expect(state()).To(gomega.Equal(balancer.Draining))
	expect.Expect(callers[0].lists[service][0].Slots).To(gomega.Equal(balancer.Slots(9)))
}

func TestDeadTargetIsRemovedFromAllListsInFiveSeconds(t *testing.T) {
	for name, kill := range map[string]func(*testFleet, *fleetNode){
		"silent":        func(*testFleet, *fleetNode) {},
		"stream closed": func(fleet *testFleet, node *fleetNode) { fleet.disconnect(node) },
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			fleet, targets, callers := newSmallFleet()
			targets[1].dead = true
			kill(fleet, targets[1])
			elapsed := fleet.advance(20*time.Second, allHaveTargets(callers, 5))
			expect.Expect(targetCounts(callers)).To(gomega.Equal([]int{5, 5}))
			expect.Expect(elapsed).To(gomega.BeNumerically("<=", 5*time.Second))
		})
	}
}

func TestLostReplicaRemovesNoTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, _, callers := newSmallFleet()
	fleet.killReplica(0)
	minTargets := 6
	recordMinimum := func() bool {
		for _, length := range targetCounts(callers) {
			minTargets = min(minTargets, length)
		}
		return false
	}
	fleet.advance(time.Second, recordMinimum)
	for _, node := range fleet.nodes {
		if node.session == nil {
			fleet.connect(node, 1)
		}
	}
	fleet.advance(20*time.Second, recordMinimum)
	expect.Expect(fleet.replicas[1].hub.registry.LeaseCount()).To(gomega.Equal(8))

	fleet.startReplica(0)
	for _, node := range fleet.nodes[:4] {
		fleet.disconnect(node)
		fleet.connect(node, 0)
	}
	fleet.advance(20*time.Second, recordMinimum)
	expect.Expect(minTargets).To(gomega.Equal(6))
	expect.Expect(fleet.replicas[0].hub.registry.LeaseCount()).To(gomega.Equal(4))
	expect.Expect(fleet.replicas[1].hub.registry.LeaseCount()).To(gomega.Equal(4))
}

func TestRestartedReplicaRemovesNoTarget(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, _, callers := newSmallFleet()
	minTargets := 6
	recordMinimum := func() bool {
		for _, length := range targetCounts(callers) {
			minTargets = min(minTargets, length)
		}
		return false
	}
	fleet.killReplica(0)
	fleet.advance(500*time.Millisecond, recordMinimum)
	fleet.startReplica(0)
	fleet.advance(500*time.Millisecond, recordMinimum)
	for _, node := range fleet.nodes {
		if node.session == nil {
			fleet.connect(node, 0)
		}
	}
	fleet.advance(20*time.Second, recordMinimum)
	expect.Expect(minTargets).To(gomega.Equal(6))
}

func TestNodeWithoutReplicaKeepsItsTargetLists(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, _, callers := newSmallFleet()
	fleet.killReplica(0)
	fleet.killReplica(1)
	fleet.advance(time.Hour/60, nil)
	expect.Expect(targetCounts(callers)).To(gomega.Equal([]int{6, 6}))
	expect.Expect(callers[0].agent.replicaUnresponsive(fleet.now)).To(gomega.BeFalse())
}

func TestCrashReportPrecedesTargetRemoval(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, callers := newSmallFleet()
	for _, caller := range callers {
		caller.events = nil
	}
	crash := quarantine.Report{Event: quarantine.TargetCrashed, Crash: quarantine.Crash{Node: "target-0", Domain: "domain-0", Incarnation: 1}, Fingerprints: []request.Fingerprint{7}}
	fleet.send(targets[0], targets[0].agent.report(fleet.now, []quarantine.Report{crash}))
	fleet.send(targets[0], targets[0].agent.setState(fleet.now, membership.Down))
	fleet.advance(time.Second, nil)
	for _, caller := range callers {
		expect.Expect(caller.events).To(gomega.Equal([]string{"report 1", "targets 5"}))
	}
}

func TestCrashReportsReachNodesThatConnectLater(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, _ := newSmallFleet()
	crash := quarantine.Report{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{7}}
	fleet.send(targets[0], targets[0].agent.report(fleet.now, []quarantine.Report{crash}))
	late := fleet.addNode("late", "agenda", placeAt(1), nil, 1)
	expect.Expect(late.events).To(gomega.ContainElement("report 1"))

	fleet.disconnect(targets[2])
	expect.Expect(targets[2].agent.report(fleet.now, []quarantine.Report{crash})).To(gomega.BeNil())
	late.events = nil
	fleet.connect(targets[2], 0)
	expect.Expect(late.events).To(gomega.BeEmpty())
	fleet.advance(TickInterval, nil)
	expect.Expect(late.events).To(gomega.ContainElement("report 1"))
}

// TestReportsCarryTheirAge guards against a hold that begins anew at each node that
// connects, moves or was without a replica.
func TestReportsCarryTheirAge(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, _ := newSmallFleet()
	crash := quarantine.Report{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{7}}
	fleet.send(targets[0], targets[0].agent.report(fleet.now, []quarantine.Report{crash}))
	fleet.advance(20*time.Second, nil)
	late := fleet.addNode("late", "agenda", placeAt(1), nil, 1)
	expect.Expect(late.reportAge).To(gomega.BeNumerically("~", 20*time.Second, time.Second))
	fleet.killReplica(0)
	fleet.startReplica(0)
	fleet.advance(10*time.Second, nil)
	later := fleet.addNode("later", "agenda", placeAt(0), nil, 0)
	expect.Expect(later.reportAge).To(gomega.BeNumerically("~", 30*time.Second, time.Second))

	fleet.disconnect(targets[3])
	expect.Expect(targets[3].agent.report(fleet.now, []quarantine.Report{crash})).To(gomega.BeNil())
	fleet.advance(5*time.Second, nil)
	fleet.connect(targets[3], 1)
	fleet.advance(TickInterval, nil)
	expect.Expect(late.reportAge).To(gomega.BeNumerically("~", 5*time.Second, time.Second))
}

// TestStatedAgesAreBounded guards against an age beyond the range of durations, which would
// put its event into the future.
func TestStatedAgesAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	for _, stated := range []uint64{0, 1500, math.MaxInt64 / 1000, math.MaxInt64, math.MaxUint64} {
		report := decodeReports([]*pb.Report{{AgeMs: stated}})[0]
		restricted := decodeRestricted(&pb.RestrictedTarget{AgeMs: stated})
		want := min(stated, uint64(time.Hour/time.Millisecond))
		expect(report.Age.Milliseconds()).To(gomega.BeEquivalentTo(want), "%d ms", stated)
		expect(restricted.Age.Milliseconds()).To(gomega.BeEquivalentTo(want), "%d ms", stated)
	}
}

func newVersion(number int) distribution.Version {
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
	fleet, _, callers := newSmallFleet()
	for number := 1; number <= 20; number++ {
		fleet.publish(newVersion(number))
		fleet.advance(300*time.Millisecond, nil)
		for _, node := range fleet.nodes {
			expect.Expect(node.version).To(gomega.Equal(configuration.Version(number)))
		}
	}
	fleet.killReplica(0)
	fleet.startReplica(0)
	for number := 1; number <= 10; number++ {
		expect.Expect(fleet.replicas[0].hub.publisher.Publish(newVersion(number))).To(gomega.Succeed())
	}
	fleet.connect(callers[0], 0)
	fleet.advance(5*time.Second, nil)
	expect.Expect(callers[0].version).To(gomega.Equal(configuration.Version(20)))
	for number := 11; number <= 21; number++ {
		expect.Expect(fleet.replicas[0].hub.publisher.Publish(newVersion(number))).To(gomega.Succeed())
	}
	fleet.advance(time.Second, nil)
	expect.Expect(callers[0].version).To(gomega.Equal(configuration.Version(21)))
}

func TestStatusListsSilentNodesAndUnreachableDomains(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, _ := newSmallFleet()
	fleet.publish(newVersion(1))
	fleet.advance(3*time.Second, nil)
	current, behind := distribution.CountInForce(fleet.replicas[0].hub.tracker.Status(fleet.now), 1)
	expect.Expect([]int{current, behind}).To(gomega.Equal([]int{8, 0}))
	targets[0].dead = true
	fleet.killReplica(1)
	fleet.advance(distribution.DefaultSilenceTimeout+time.Second, nil)
	status := fleet.replicas[0].hub.tracker.Status(fleet.now)
	expect.Expect(status[0].Silent).To(gomega.ConsistOf(request.NodeID("target-0")))
	expect.Expect(status[1].OutOfReach).To(gomega.BeTrue())
}

func TestNodeThatChangedReplicaIsCountedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet, targets, _ := newSmallFleet()
	fleet.disconnect(targets[0])
	fleet.connect(targets[0], 1)
	fleet.advance(distribution.DefaultSilenceTimeout+time.Second, nil)
	nodes := 0
	for _, status := range fleet.replicas[0].hub.tracker.Status(fleet.now) {
		nodes += status.Nodes
		expect.Expect(status.Silent).To(gomega.BeEmpty())
	}
	expect.Expect(nodes).To(gomega.Equal(8))
}

func TestNodesLearnLinkUsageOfOthers(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet := newFleet(2)
	var links []*balancer.Links
	for index := range 3 {
		node := fleet.addNode(fmt.Sprintf("node-%d", index), service, placeAt(index%2), nil, index%2)
		node.agent.links = &balancer.Links{Capacity: 1000, UnimportantShare: 0.5}
		links = append(links, node.agent.links)
	}
	for range 30 {
		links[0].AddBytes(fleet.now, "region-9", 30)
		links[1].AddBytes(fleet.now, "region-9", 30)
		fleet.advance(TickInterval, nil)
	}
	expect.Expect(links[2].Full(fleet.now, "region-9")).To(gomega.BeTrue())
	expect.Expect(links[0].Full(fleet.now, "region-9")).To(gomega.BeTrue())
	_, own := links[0].Traffic(fleet.now, "region-9")
	expect.Expect(float64(own)).To(gomega.BeNumerically("<", 500))
	fleet.advance(10*time.Second, nil)
	expect.Expect(links[2].Full(fleet.now, "region-9")).To(gomega.BeFalse())
}

func TestRegistrationStormIsSpreadOverTime(t *testing.T) {
	expect := gomega.NewWithT(t)
	fleet := newFleet(1)
	for index := range 500 {
		fleet.addNode(fmt.Sprintf("node-%d", index), service, placeAt(0), nil, 0)
	}
	expect.Expect(fleet.replicas[0].hub.registry.LeaseCount()).To(gomega.BeNumerically("<=", 60))
	elapsed := fleet.advance(time.Minute, func() bool { return fleet.replicas[0].hub.registry.LeaseCount() == 500 })
	expect.Expect(elapsed).To(gomega.BeNumerically("<=", 10*time.Second))
	expect.Expect(elapsed).To(gomega.BeNumerically(">=", 2*time.Second))
}
