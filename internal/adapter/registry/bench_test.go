package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	siteNodes              = 3000
	siteServices           = 110
	siteReplicas           = 6
	watchedServicesPerNode = 5
)

// newSiteFleet returns a fleet with the services, failure domains and calls per
// node of a full site, but with the given number of nodes.
func newSiteFleet(nodes int) *testFleet {
	fleet := newFleet(siteReplicas)
	name := func(index int) request.ServiceName {
		return request.ServiceName(fmt.Sprintf("service-%d", index%siteServices))
	}
	for index := range nodes {
		var calls []request.ServiceName
		for call := 1; call <= watchedServicesPerNode; call++ {
			calls = append(calls, name(index*7+call*13))
		}
		replica := index % siteReplicas
		place := request.Place{Region: request.RegionName(fmt.Sprintf("region-%d", replica%2)), Domain: request.DomainName(fmt.Sprintf("domain-%d", replica))}
		fleet.addNode(fmt.Sprintf("node-%d", index), name(index), place, calls, replica)
	}
	fleet.publish(newVersion(1))
	fleet.advance(15*time.Second, nil)
	return fleet
}

// restart drains a node, disconnects it and connects it again as cold.
func (fleet *testFleet) restart(node *fleetNode) {
	fleet.send(node, node.agent.setState(fleet.now, membership.Draining))
	fleet.advance(time.Second, nil)
	fleet.disconnect(node)
	fleet.advance(2*time.Second, nil)
	node.agent.self.Incarnation++
	node.agent.self.Sequence = 1
	node.agent.self.State = membership.Cold
	fleet.connect(node, node.replica)
	fleet.advance(time.Second, nil)
	fleet.send(node, node.agent.setState(fleet.now, membership.Ready))
}

// BenchmarkMinuteOfMembership runs one minute of membership and configuration
// updates: every node renews its lease each second, one node in 3,000 is
// restarted, and 8 versions are published. It reports bytes and processor time
// per node and second, for both ends and all replicas.
func BenchmarkMinuteOfMembership(b *testing.B) {
	for _, nodes := range []int{10, 30, 100, 300, 1000, siteNodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			fleet := newSiteFleet(nodes)
			number := 1
			fleet.bytes = 0
			startedAt := fleet.now
			b.ResetTimer()
			for b.Loop() {
				for range 8 {
					number++
					fleet.publish(newVersion(number))
					fleet.advance(7*time.Second, nil)
				}
				fleet.restart(fleet.nodes[number%nodes])
			}
			nodeSeconds := fleet.now.Sub(startedAt).Seconds() * float64(nodes)
			b.ReportMetric(float64(fleet.bytes)/nodeSeconds, "bytes/node-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/nodeSeconds, "us/node-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDomainReturn reconnects all 500 nodes of a failure domain at once.
func BenchmarkDomainReturn(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		fleet := newSiteFleet(siteNodes)
		var disconnected []*fleetNode
		for _, node := range fleet.nodes {
			if node.replica == 0 {
				node.dead = true
				fleet.disconnect(node)
				disconnected = append(disconnected, node)
			}
		}
		fleet.advance(10*time.Second, nil)
		fleet.bytes = 0
		b.StartTimer()
		for _, node := range disconnected {
			node.dead = false
			node.agent.self.Incarnation++
			fleet.connect(node, 0)
		}
		elapsed := fleet.advance(time.Minute, func() bool { return fleet.replicas[0].hub.registry.LeaseCount() == len(disconnected) })
		b.ReportMetric(elapsed.Seconds(), "s")
		b.ReportMetric(float64(fleet.bytes)/float64(siteNodes), "bytes/node")
	}
}
