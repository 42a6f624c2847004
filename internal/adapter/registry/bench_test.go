package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	letterNodes    = 3000
	letterServices = 110
	letterReplicas = 6
	callsPerNode   = 5
)

// letterFleet is a part of the letter's size: its services, failure domains
// and calls for fewer nodes.
func letterFleet(nodes int) *fleet {
	made := newFleet(letterReplicas)
	name := func(index int) request.ServiceName {
		return request.ServiceName(fmt.Sprintf("service-%d", index%letterServices))
	}
	for index := range nodes {
		var calls []request.ServiceName
		for call := 1; call <= callsPerNode; call++ {
			calls = append(calls, name(index*7+call*13))
		}
		replica := index % letterReplicas
		place := request.Place{Region: request.RegionName(fmt.Sprintf("region-%d", replica%2)), Domain: request.DomainName(fmt.Sprintf("domain-%d", replica))}
		made.addNode(fmt.Sprintf("node-%d", index), name(index), place, calls, replica)
	}
	made.publish(version(1))
	made.pass(15*time.Second, nil)
	return made
}

// restart lets a node leave as planned and come back cold.
func (f *fleet) restart(node *nodeStub) {
	f.submit(node, node.agent.change(f.now, membership.Draining))
	f.pass(time.Second, nil)
	f.breakSession(node)
	f.pass(2*time.Second, nil)
	node.agent.self.Incarnation++
	node.agent.self.Sequence = 1
	node.agent.self.State = membership.Cold
	f.attach(node, node.replica)
	f.pass(time.Second, nil)
	f.submit(node, node.agent.change(f.now, membership.Ready))
}

// BenchmarkMinute runs one minute of membership and versions: every node
// renews each second, one node in 3,000 is restarted, and 8 versions come.
// It reports the bytes and the processor time of one node in one second, both
// ends and all replicas included.
func BenchmarkMinute(b *testing.B) {
	for _, nodes := range []int{10, 30, 100, 300, 1000, letterNodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			made := letterFleet(nodes)
			number := 1
			made.bytes = 0
			begin := made.now
			b.ResetTimer()
			for b.Loop() {
				for range 8 {
					number++
					made.publish(version(number))
					made.pass(7*time.Second, nil)
				}
				made.restart(made.nodes[number%nodes])
			}
			nodeSeconds := made.now.Sub(begin).Seconds() * float64(nodes)
			b.ReportMetric(float64(made.bytes)/nodeSeconds, "bytes/node-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/nodeSeconds, "us/node-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkReturn brings a failure domain of 500 nodes back at once.
func BenchmarkReturn(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		made := letterFleet(letterNodes)
		var away []*nodeStub
		for _, node := range made.nodes {
			if node.replica == 0 {
				node.dead = true
				made.breakSession(node)
				away = append(away, node)
			}
		}
		made.pass(10*time.Second, nil)
		made.bytes = 0
		b.StartTimer()
		for _, node := range away {
			node.dead = false
			node.agent.self.Incarnation++
			made.attach(node, 0)
		}
		took := made.pass(time.Minute, func() bool { return made.replicas[0].desk.registry.LeaseCount() == len(away) })
		b.ReportMetric(took.Seconds(), "s")
		b.ReportMetric(float64(made.bytes)/float64(letterNodes), "bytes/node")
	}
}
