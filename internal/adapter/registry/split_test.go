package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// applyBound is the time within which an accepted version must be in force at every node.
const applyBound = 2500 * time.Millisecond

// fleetSizes are the fleets that each test runs with.
var fleetSizes = []struct {
	replicas, nodes int
	seeds           uint64
}{{3, 9, 10}, {9, 93, 3}}

// runSplit accepts versions for 20 s while disturb changes the links, and expects every node
// to have each version in force within the bound.
func runSplit(t *testing.T, fleet *splitFleet, disturb func(step int)) {
	g := gomega.NewWithT(t)
	fleet.accept()
	for step := range 200 {
		disturb(step)
		if step%7 == 0 {
			fleet.accept()
		}
		fleet.step()
		g.Expect(fleet.outdated(applyBound, fleet.nodes)).To(gomega.BeEmpty())
	}
}

// forEachFleet runs a test for each size and seed.
func forEachFleet(t *testing.T, run func(t *testing.T, fleet *splitFleet)) {
	for _, size := range fleetSizes {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d nodes, seed %d", size.nodes, seed), func(t *testing.T) {
				t.Parallel()
				run(t, newSplitFleet(seed, size.replicas, size.nodes))
			})
		}
	}
}

// A version that is accepted while some replicas lack a majority must be in force within
// the bound at the nodes of these as well, though no peer shows it to them.
func TestVersionReachesNodesOfReplicasWithoutMajority(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		minority := fleet.random.Perm(len(fleet.replicas))[:(len(fleet.replicas)-1)/2]
		runSplit(t, fleet, func(step int) {
			switch step {
			case 30:
				fleet.split(minority)
			case 120:
				fleet.heal()
			}
		})
	})
}

// Cuts that heal and come again between other replicas must not keep a version from nodes.
func TestVersionReachesNodesWhileCutsComeAgain(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		runSplit(t, fleet, func(step int) {
			switch step % 45 {
			case 10:
				fleet.split(fleet.random.Perm(len(fleet.replicas))[:(len(fleet.replicas)-1)/2])
			case 40:
				fleet.heal()
			}
		})
	})
}

// A replica that only sends, or only receives, must not keep a version from its nodes.
func TestVersionReachesNodesOfReplicaBehindOneWayLinks(t *testing.T) {
	for name, direction := range map[string]func(one, other int) [2]int{
		"sends":    func(one, other int) [2]int { return [2]int{other, one} },
		"receives": func(one, other int) [2]int { return [2]int{one, other} },
	} {
		t.Run(name, func(t *testing.T) {
			forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
				one := fleet.random.IntN(len(fleet.replicas))
				runSplit(t, fleet, func(step int) {
					switch step {
					case 30:
						for other := range fleet.replicas {
							fleet.replicaCuts[direction(one, other)] = other != one
						}
					case 120:
						fleet.heal()
					}
				})
			})
		})
	}
}

// A frozen leader must not keep a version from its own nodes or from those of others.
func TestVersionReachesNodesOfFrozenLeader(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		runSplit(t, fleet, func(step int) {
			switch step {
			case 30:
				fleet.frozen[fleet.leader] = true
			case 120:
				fleet.heal()
			}
		})
	})
}

// Moves of nodes between replicas without a common majority must not remove targets that
// serve from the lists of those who can reach them.
func TestSplitOfReplicasRemovesNoTarget(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		g := gomega.NewWithT(t)
		minority := fleet.random.Perm(len(fleet.replicas))[:(len(fleet.replicas)-1)/2]
		for step := range 300 {
			switch step {
			case 30:
				fleet.split(minority)
			case 120:
				fleet.heal()
			}
			fleet.step()
			if step > 20 {
				g.Expect(fleet.shortLists(fleet.nodes, len(fleet.nodes))).To(gomega.BeEmpty())
			}
		}
	})
}

// Nodes that are cut off together with their replica must keep it and its targets, and
// get what they missed after the cut.
func TestDomainThatIsCutOffKeepsItsReplica(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		g := gomega.NewWithT(t)
		domain := fleet.random.IntN(len(fleet.replicas))
		var inside []*choosingNode
		for _, node := range fleet.nodes {
			if node.index%len(fleet.replicas) == domain {
				inside = append(inside, node)
			}
		}
		fleet.accept()
		for step := range 300 {
			switch step {
			case 30:
				fleet.cutDomain(domain)
			case 230:
				fleet.heal()
			}
			if step%7 == 0 {
				fleet.accept()
			}
			fleet.step()
			if step < 20 || step >= 230 {
				continue
			}
			for _, node := range inside {
				g.Expect(node.replica).To(gomega.Equal(domain))
			}
			g.Expect(fleet.shortLists(inside, len(inside))).To(gomega.BeEmpty())
		}
		g.Expect(fleet.outdated(applyBound, fleet.nodes)).To(gomega.BeEmpty())
	})
}

// While no replica has a majority, nodes must stay where they are and ask less and less
// often.
func TestNodesStayWhileNoReplicaHasMajority(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		g := gomega.NewWithT(t)
		for range 30 {
			fleet.step()
		}
		for one := range fleet.replicas {
			fleet.split([]int{one})
		}
		// Until each replica has noticed, nodes may move to one that has not.
		for range 30 {
			fleet.step()
		}
		homes := fleet.homes()
		for range 270 {
			fleet.step()
			g.Expect(fleet.homes()).To(gomega.Equal(homes))
		}
		// Rounds start at once, twice after a move, and after pauses of 1, 2, 4, 8 and 10 s
		// on average: eight in 30 s.
		for _, count := range fleet.opened {
			g.Expect(count).To(gomega.BeNumerically("<=", 8*len(fleet.nodes)))
		}
	})
}

// After the end of a split, nodes must return to their nearest replica one by one.
func TestNodesReturnInTurnAfterSplit(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		g := gomega.NewWithT(t)
		for range 30 {
			fleet.step()
		}
		homes := fleet.homes()
		fleet.split(fleet.random.Perm(len(fleet.replicas))[:(len(fleet.replicas)-1)/2])
		for range 50 {
			fleet.step()
		}
		fleet.heal()
		away := fleet.awayFrom(homes)
		g.Expect(away).NotTo(gomega.BeZero())
		// The first return comes after half the interval at the earliest, the last after one
		// and a half.
		for range 80 {
			fleet.step()
			g.Expect(fleet.awayFrom(homes)).To(gomega.Equal(away))
		}
		for range 400 {
			fleet.step()
		}
		g.Expect(fleet.awayFrom(homes)).To(gomega.BeZero())
	})
}

// Two replicas that do not reach each other must not hold the same sequence of a node that
// moves from one to the other, as the end of the first lease would remove its target later.
func TestNodeThatMovesRaisesItsSequence(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := newSplitFleet(1, 3, 9)
	for range 60 {
		fleet.step()
	}
	for replica := range fleet.replicas {
		fleet.split([]int{replica})
	}
	moving := fleet.nodes[0].fleetNode
	var sequences []membership.Sequence
	for _, replica := range []int{1, 2} {
		fleet.disconnect(moving)
		fleet.connect(moving, replica)
		records := fleet.replicas[replica].hub.registry.Records(service)
		g.Expect(records[0].Holder).To(gomega.Equal(fleet.replicas[replica].id))
		sequences = append(sequences, records[0].Sequence)
	}
	g.Expect(sequences[1]).To(gomega.BeNumerically(">", sequences[0]))
}

// A crash that was reported to a replica without a majority must reach the nodes of the
// others as soon as its node has moved, as they could send the request to their targets.
func TestCrashReportCrossesSplit(t *testing.T) {
	forEachFleet(t, func(t *testing.T, fleet *splitFleet) {
		g := gomega.NewWithT(t)
		for range 30 {
			fleet.step()
		}
		minority := fleet.random.Perm(len(fleet.replicas))[:(len(fleet.replicas)-1)/2]
		fleet.split(minority)
		fleet.step()
		reporting := fleet.nodes[minority[0]]
		fleet.send(reporting.fleetNode, reporting.agent.report(fleet.now, []quarantine.Report{{Event: quarantine.TargetCrashed, Fingerprints: []request.Fingerprint{7}}}))
		for range int(applyBound / TickInterval) {
			fleet.step()
		}
		for _, node := range fleet.nodes {
			if node != reporting {
				g.Expect(node.events).To(gomega.ContainElement("report 1"), "%s at %s", node.agent.self.Node, fleet.replicas[node.replica].id)
			}
		}
	})
}
