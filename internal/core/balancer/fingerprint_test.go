package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// Several nodes send the same request repeatedly and get random results. Together
// they must reach at most two targets in each failure domain.
func TestFingerprintReachesAtMostTwoTargetsPerDomain(t *testing.T) {
	suite.Check(t, 100, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		targets := newTargets(rapid.IntRange(1, 6).Draw(r, "targets per domain"))
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		reached := map[request.DomainName]map[request.NodeID]bool{}
		for sender := range 5 {
			loadBalancer := &balancer.Balancer{Self: request.NodeID(fmt.Sprintf("sender-%d", sender)), Place: callerPlace}
			loadBalancer.Update(start, balancer.View{Service: service, Targets: targets})
			now := start
			for range 40 {
				call := balancer.Call{Service: service, Repeatable: true, Fingerprint: 99}
				picked, code := loadBalancer.Pick(now, source, call)
				if code != request.OK {
					continue
				}
				domain := picked.Target.Place.Domain
				if reached[domain] == nil {
					reached[domain] = map[request.NodeID]bool{}
				}
				reached[domain][picked.Target.Node] = true
				loadBalancer.Sent(picked)
				result := balancer.Result(source.IntN(int(balancer.ShuttingDown)))
				loadBalancer.Answered(now, picked, call, balancer.Answer{Result: result, Latency: time.Millisecond})
				now = now.Add(50 * time.Millisecond)
			}
		}
		for domain, nodes := range reached {
			expect.Expect(len(nodes)).To(gomega.BeNumerically("<=", 2), "%s: %v", domain, nodes)
		}
	})
}

// All nodes must send a call that is limited to one target to the same target, and
// not to one of AvoidNodes, also if other calls of its kind may go to all tiers.
func TestSingleTargetCallsShareTargetThatIsNotAvoided(t *testing.T) {
	for _, allTiers := range []bool{false, true} {
		t.Run(fmt.Sprintf("all tiers %v", allTiers), func(t *testing.T) {
			for fingerprint := request.Fingerprint(1); fingerprint < 50; fingerprint++ {
				checkSingleTarget(t, fingerprint, allTiers)
			}
		})
	}
}

func checkSingleTarget(t *testing.T, fingerprint request.Fingerprint, allTiers bool) {
	t.Helper()
	expect := gomega.NewWithT(t)
	targets := newTargets(4)
	avoided := targets[fingerprint%4].Node
	source := rand.New(rand.NewPCG(uint64(fingerprint), 1))
	reached := map[request.NodeID]bool{}
	for sender := range 5 {
		loadBalancer := &balancer.Balancer{Self: request.NodeID(fmt.Sprintf("sender-%d", sender)), Place: callerPlace}
		loadBalancer.Update(start, balancer.View{Service: service, Targets: targets})
		call := balancer.Call{Service: service, Fingerprint: fingerprint, AllTiers: allTiers, SingleTarget: true, AvoidNodes: []request.NodeID{avoided}}
		picked, code := loadBalancer.Pick(start, source, call)
		expect.Expect(code).To(gomega.Equal(request.OK))
		expect.Expect(picked.Target.Place).To(gomega.Equal(callerPlace))
		reached[picked.Target.Node] = true
	}
	expect.Expect(reached).To(gomega.HaveLen(1))
	expect.Expect(reached).NotTo(gomega.HaveKey(avoided))
}

func TestAvoidedDomainIsNeverPicked(t *testing.T) {
	for _, allTiers := range []bool{false, true} {
		t.Run(fmt.Sprintf("all tiers %v", allTiers), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			loadBalancer := newBalancer(newTargets(2))
			call := balancer.Call{Service: service, Fingerprint: 5, AllTiers: allTiers, SingleTarget: true, AvoidDomains: []request.DomainName{callerPlace.Domain}}
			picked, code := loadBalancer.Pick(start, newRandom(), call)
			expect.Expect(code).To(gomega.Equal(request.OK))
			expect.Expect(picked.Target.Place.Domain).NotTo(gomega.Equal(callerPlace.Domain))
		})
	}
}

func TestAvoidedTargetIsPickedIfThereIsNoOther(t *testing.T) {
	expect := gomega.NewWithT(t)
	targets := newTargets(1)[:1]
	loadBalancer := newBalancer(targets)
	call := balancer.Call{Service: service, Fingerprint: 5, SingleTarget: true, AvoidNodes: []request.NodeID{targets[0].Node}}
	picked, code := loadBalancer.Pick(start, newRandom(), call)
	expect.Expect(code).To(gomega.Equal(request.OK))
	expect.Expect(picked.Target.Node).To(gomega.Equal(targets[0].Node))
}
