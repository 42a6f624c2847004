package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const customer = request.CustomerName("salto")

func newGranter(limit quota.Limit, share float64) *quota.Granter {
	granter := &quota.Granter{Random: rand.New(rand.NewPCG(1, 2)), Tolerance: tolerance}
	granter.SetLimits(simulationStart, limits(limit), share)
	return granter
}

func limits(limit quota.Limit) map[request.CustomerName]quota.Limit {
	return map[request.CustomerName]quota.Limit{customer: limit}
}

// drain takes all tokens that there are at a time.
func drain(granter *quota.Granter, now time.Time) int {
	for count := 0; ; count++ {
		if granter.Take(now, customer).Result != quota.Granted {
			return count
		}
	}
}

func TestGranterGrantsItsPart(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	granter := newGranter(quota.Limit{Rate: 60, Burst: 120}, 0.5)
	expect(drain(granter, simulationStart)).To(gomega.BeZero(), "a new bucket holds less than one token")
	later := simulationStart.Add(time.Hour)
	expect(drain(granter, later)).To(gomega.Equal(61))
	expect(drain(granter, later.Add(time.Second))).To(gomega.BeNumerically("~", 30, 1))
	grant := granter.Take(later.Add(time.Second), customer)
	expect(grant.Result).To(gomega.Equal(quota.Empty))
	expect(grant.Wait).To(gomega.BeNumerically("<=", time.Second/30))
}

func TestChangesOfQuota(t *testing.T) {
	first := quota.Limit{Rate: 100, Burst: 100}
	later := simulationStart.Add(time.Minute)
	cases := []struct {
		name    string
		change  func(granter *quota.Granter)
		highest int
		lowest  int
	}{
		{"raised: what was not earned is not granted", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(quota.Limit{Rate: 1000, Burst: 1000}), 1)
		}, 101, 101},
		{"lowered: the burst is cut at once", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(quota.Limit{Rate: 5, Burst: 5}), 1)
		}, 6, 6},
		{"removed and added again: no burst", func(granter *quota.Granter) {
			granter.SetLimits(later, nil, 1)
			granter.SetLimits(later, limits(first), 1)
		}, 0, 0},
		{"no member any more: nothing", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(first), 0)
		}, 0, 0},
		{"member again: no burst", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(first), 0)
			granter.SetLimits(later, limits(first), 0.2)
		}, 0, 0},
		{"smaller part: the burst is cut", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(first), 0.1)
		}, 11, 11},
		{"the clock of the process goes back", func(granter *quota.Granter) {
			granter.SetLimits(later, limits(first), 1)
			drain(granter, later)
			granter.SetLimits(simulationStart, limits(first), 1)
		}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			granter := newGranter(first, 1)
			test.change(granter)
			gomega.NewWithT(t).Expect(drain(granter, later)).To(gomega.And(gomega.BeNumerically(">=", test.lowest), gomega.BeNumerically("<=", test.highest)))
		})
	}
}

// The pattern is a quota that is lowered while a replica is cut off: it must not go on with
// the higher one.
func TestReplicaGrantsWhileNoneDecideWithoutIt(t *testing.T) {
	cases := []struct {
		name     string
		standing quota.Standing
		grants   bool
	}{
		{"confirmed lately", quota.Standing{SinceConfirmed: time.Second, Members: 6, Silent: 5}, true},
		{"alone", quota.Standing{SinceConfirmed: 3 * time.Second, Members: 6, Silent: 5}, false},
		{"in a minority", quota.Standing{SinceConfirmed: 3 * time.Second, Members: 6, Silent: 4}, false},
		{"in one of two halves", quota.Standing{SinceConfirmed: time.Minute, Members: 6, Silent: 3}, true},
		{"in the smaller part of five", quota.Standing{SinceConfirmed: time.Minute, Members: 5, Silent: 3}, false},
		{"with all, without a leader", quota.Standing{SinceConfirmed: 4 * time.Second, Members: 6}, true},
		{"without a group", quota.Standing{SinceConfirmed: 4 * time.Second, Members: 1}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(test.standing.MayGrant()).To(gomega.Equal(test.grants))
		})
	}
}

// Buckets hold no more on top of the burst than half of the slack.
func TestExtraTokensFollowTolerance(t *testing.T) {
	cases := []struct {
		name   string
		slack  float64
		burst  float64
		tokens int
	}{
		{"slack for more than a token each", 20, 60, 66},
		{"slack for half a token each", 6, 60, 60 + 6/2},
		{"no slack", 0, 60, 60},
		{"no slack and a burst below a token each", 0, 1, 6},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			granted := 0
			for range 6 {
				granter := &quota.Granter{Random: rand.New(rand.NewPCG(1, 2)), Tolerance: quota.Tolerance{Slack: test.slack}}
				granter.SetLimits(simulationStart, limits(quota.Limit{Rate: 600, Burst: test.burst}), 1.0/6)
				granted += drain(granter, simulationStart.Add(time.Minute))
			}
			gomega.NewWithT(t).Expect(granted).To(gomega.BeNumerically("~", test.tokens, 3))
			gomega.NewWithT(t).Expect(granted).To(gomega.BeNumerically("<=", test.tokens))
		})
	}
}

// Without a tolerance no node admits anything by itself.
func TestNoOwnPartWithoutOvershoot(t *testing.T) {
	asker := &quota.Asker[string]{Random: rand.New(rand.NewPCG(1, 2))}
	for tick := range 1000 {
		grant := asker.TakeOwnPart(simulationStart.Add(time.Duration(tick)*time.Second), customer, quota.Limit{Rate: 60, Burst: 60}, 1)
		gomega.NewWithT(t).Expect(grant.Result).To(gomega.Equal(quota.Unavailable))
	}
}

func TestCustomersWithoutQuota(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	granter := newGranter(quota.Limit{}, 0.2)
	expect(granter.Take(simulationStart, customer).Result).To(gomega.Equal(quota.Granted))
	expect(granter.Take(simulationStart, "nobody").Result).To(gomega.Equal(quota.Unavailable))
}

// A replica without a token, or without an answer, is left out for a while; the others
// are asked in the order of the list.
func TestAskerLeavesOutReplicas(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	asker := &quota.Asker[string]{Random: rand.New(rand.NewPCG(1, 2)), Tolerance: tolerance}
	replicas := []string{"near", "middle", "far"}
	next := func(now time.Time, name request.CustomerName) string {
		position, ok := asker.Next(now, name, replicas, 0)
		if !ok {
			return ""
		}
		return replicas[position]
	}
	now := simulationStart
	expect(next(now, customer)).To(gomega.Equal("near"))
	asker.Answered(now, customer, "near", quota.Grant{Result: quota.Empty, Wait: 300 * time.Millisecond}, time.Millisecond)
	expect(next(now, customer)).To(gomega.Equal("middle"))
	expect(next(now, "artigas")).To(gomega.Equal("near"), "other customers may have tokens there")
	asker.NotAnswered(now, "middle")
	expect(next(now, "artigas")).To(gomega.Equal("near"))
	expect(next(now, customer)).To(gomega.Equal("far"))
	asker.Answered(now, customer, "far", quota.Grant{Result: quota.Empty, Wait: 100 * time.Millisecond}, time.Millisecond)
	expect(next(now, customer)).To(gomega.BeEmpty())
	wait, exhausted := asker.Exhausted(now, customer, replicas)
	expect(exhausted).To(gomega.BeTrue())
	expect(wait).To(gomega.Equal(100 * time.Millisecond))
	expect(next(now.Add(100*time.Millisecond), customer)).To(gomega.Equal("far"))
	expect(next(now.Add(300*time.Millisecond), customer)).To(gomega.Equal("near"))
	expect(next(now.Add(time.Second), customer)).To(gomega.Equal("near"))
}

// The pattern is a replica that falls silent while many requests arrive: each of them waits
// a few times as long as its answers usually took, and few of them wait at all.
func TestSilentReplicaDelaysFewRequests(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	asker := &quota.Asker[string]{}
	expect(asker.Timeout("near")).To(gomega.Equal(250 * time.Millisecond))
	for range 20 {
		asker.Answered(simulationStart, customer, "near", quota.Grant{}, time.Millisecond)
		asker.Answered(simulationStart, customer, "far", quota.Grant{}, 41*time.Millisecond)
	}
	expect(asker.Timeout("near")).To(gomega.BeNumerically("<", 60*time.Millisecond))
	expect(asker.Timeout("far")).To(gomega.BeNumerically("~", 214*time.Millisecond, time.Millisecond))
	waits := 0
	for tick := range 1000 {
		now := simulationStart.Add(time.Duration(tick) * 10 * time.Millisecond)
		if position, ok := asker.Next(now, customer, []string{"near", "far"}, 0); ok && position == 0 {
			waits++
			asker.NotAnswered(now, "near")
		}
	}
	expect(waits).To(gomega.BeNumerically("<=", 6), "of 1,000 requests in 10 s")
}

// The parts that nodes admit without a replica add up to a share of the quota, also in the
// first second after they all lose the replicas.
func TestOwnPartsAddUp(t *testing.T) {
	const nodes = 3000
	random := rand.New(rand.NewPCG(1, 2))
	limit := quota.Limit{Rate: 60, Burst: 60}
	admitted := 0
	for range nodes {
		asker := &quota.Asker[string]{Random: random, Tolerance: tolerance}
		for tick := range 500 {
			if asker.TakeOwnPart(simulationStart.Add(time.Duration(tick)*10*time.Millisecond), customer, limit, nodes).Result == quota.Granted {
				admitted++
			}
		}
	}
	expected := 0.25 * float64(limit.Rate) * 5
	gomega.NewWithT(t).Expect(float64(admitted)).To(gomega.BeNumerically("~", expected, 0.3*expected))
}

func BenchmarkTake(b *testing.B) {
	granter := newGranter(quota.Limit{Rate: 1e6, Burst: 1e6}, 1)
	b.ReportAllocs()
	now := simulationStart
	for b.Loop() {
		now = now.Add(time.Microsecond)
		granter.Take(now, customer)
	}
}

func BenchmarkNext(b *testing.B) {
	asker := &quota.Asker[string]{}
	replicas := []string{"near", "middle", "far"}
	asker.Answered(simulationStart, customer, "near", quota.Grant{Result: quota.Empty, Wait: time.Second}, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		asker.Next(simulationStart, customer, replicas, 0)
	}
}
