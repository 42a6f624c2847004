package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const service request.ServiceName = "consumo"

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newRegistry(id request.NodeID) *membership.Registry {
	registry := &membership.Registry{Self: id, RegistrationsPerSecond: 1000}
	registry.Start(start, 1)
	return registry
}

func announce(node string, sequence membership.Sequence) membership.Announcement {
	return membership.Announcement{
		Node: request.NodeID(node), Incarnation: 1, Sequence: sequence, Address: "127.0.0.1:7000",
		Place: request.Place{Region: "norte", Domain: "norte-1"}, Service: service, Slots: 50,
	}
}

func nodeNames(records []membership.Record) []string {
	var nodes []string
	for _, record := range records {
		nodes = append(nodes, string(record.Node))
	}
	return nodes
}

// tick advances the time of a registry in steps of 100 ms and returns the end.
func tick(registry *membership.Registry, from time.Time, span time.Duration) time.Time {
	end := from.Add(span)
	for now := from; now.Before(end); now = now.Add(100 * time.Millisecond) {
		registry.Tick(now)
	}
	registry.Tick(end)
	return end
}

func TestExpiredNodeIsRemovedWithinFiveSeconds(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	registry.Register(start, announce("a", 1))
	view := &membership.View{Services: []request.ServiceName{service}}
	view.Apply(start, registry.Subscribe(start, "caller", view.Subscription()))
	expect.Expect(nodeNames(view.Records(service))).To(gomega.ConsistOf("a"))
	now := tick(registry, start, membership.DefaultLeaseTime)
	for _, update := range registry.Pull(now, "caller") {
		view.Apply(now, update)
	}
	expect.Expect(view.Records(service)).To(gomega.BeEmpty())
	expect.Expect(now.Sub(start)).To(gomega.BeNumerically("<", 5*time.Second))
}

func TestNextPullContainsDrainingState(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	registry.Register(start, announce("a", 1))
	view := &membership.View{Services: []request.ServiceName{service}}
	view.Apply(start, registry.Subscribe(start, "caller", view.Subscription()))
	draining := announce("a", 2)
	draining.State = membership.Draining
	registry.Register(start, draining)
	for _, update := range registry.Pull(start, "caller") {
		changed, resync := view.Apply(start, update)
		expect.Expect(changed).To(gomega.ConsistOf(service))
		expect.Expect(resync).To(gomega.BeFalse())
	}
	expect.Expect(view.Records(service)[0].State).To(gomega.Equal(membership.Draining))
}

func TestBrokenSessionShortensLease(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	registry.Register(start, announce("a", 1))
	registry.Disconnected(start, "a")
	tick(registry, start, membership.DefaultReconnectTime)
	expect.Expect(registry.Records(service)).To(gomega.BeEmpty())
}

func TestPausedReplicaEndsNoLease(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	registry.Register(start, announce("a", 1))
	registry.Tick(start.Add(time.Minute))
	registry.Tick(start.Add(time.Minute + 100*time.Millisecond))
	expect.Expect(registry.Records(service)).To(gomega.HaveLen(1))
	registry.Tick(start.Add(-time.Hour))
	registry.Tick(start.Add(-time.Hour + 100*time.Millisecond))
	expect.Expect(registry.Records(service)).To(gomega.HaveLen(1))
}

func TestEndOfOldLeaseKeepsMovedNode(t *testing.T) {
	expect := gomega.NewWithT(t)
	first, second := newRegistry("first"), newRegistry("second")
	first.Register(start, announce("a", 1))
	second.ApplyReplica(start, "first", first.SubscribeReplica(start, "second"))
	expect.Expect(second.Register(start, announce("a", 1)).RegisterAgain).To(gomega.BeTrue())
	expect.Expect(second.Register(start, announce("a", 2)).Duration).To(gomega.BeNumerically(">", 0))
	now := tick(first, start, membership.DefaultLeaseTime)
	for _, update := range first.PullReplica(now, "second") {
		second.ApplyReplica(now, "first", update)
	}
	expect.Expect(nodeNames(second.Records(service))).To(gomega.ConsistOf("a"))
}

func TestRestartedReplicaRecoversItsLeases(t *testing.T) {
	expect := gomega.NewWithT(t)
	first, second := newRegistry("first"), newRegistry("second")
	for index := range 20 {
		first.Register(start, announce(fmt.Sprintf("node-%d", index), 1))
	}
	second.ApplyReplica(start, "first", first.SubscribeReplica(start, "second"))

	restarted := &membership.Registry{Self: "first"}
	restarted.Start(start, 2)
	restarted.ApplyReplica(start, "second", second.SubscribeReplica(start, "first"))
	expect.Expect(restarted.Records(service)).To(gomega.HaveLen(20))
	second.ApplyReplica(start, "first", restarted.SubscribeReplica(start, "second"))
	expect.Expect(second.Records(service)).To(gomega.HaveLen(20))

	expect.Expect(restarted.Renew(start, "node-7", 1, 1).Duration).To(gomega.BeNumerically(">", 0))
	now := start
	for range 7 {
		now = tick(restarted, now, time.Second)
		restarted.Renew(now, "node-7", 1, 1)
	}
	expect.Expect(nodeNames(restarted.Records(service))).To(gomega.ConsistOf("node-7"))
}

func TestRestartedReplicaRemovesNothingWhileWarmingUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	first := newRegistry("first")
	first.Register(start, announce("a", 1))
	view := &membership.View{Services: []request.ServiceName{service}}
	view.Apply(start, first.Subscribe(start, "caller", view.Subscription()))

	restarted := newRegistry("first")
	view.ResetPosition()
	view.Apply(start, restarted.Subscribe(start, "caller", view.Subscription()))
	expect.Expect(nodeNames(view.Records(service))).To(gomega.ConsistOf("a"))
	now := tick(restarted, start, membership.DefaultWarmUpTime)
	for _, update := range restarted.Pull(now, "caller") {
		_, resync := view.Apply(now, update)
		expect.Expect(resync).To(gomega.BeTrue())
	}
	view.Apply(now, restarted.Subscribe(now, "caller", view.Subscription()))
	expect.Expect(view.Records(service)).To(gomega.BeEmpty())
}

func TestRegistrationRateIsLimited(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := &membership.Registry{Self: "replica", RegistrationsPerSecond: 100}
	registry.Start(start, 1)
	pending := map[int]bool{}
	for index := range 500 {
		pending[index] = true
	}
	now := start
	for len(pending) > 0 {
		admitted := 0
		for index := range 500 {
			if !pending[index] {
				continue
			}
			lease := registry.Register(now, announce(fmt.Sprintf("node-%d", index), 1))
			if lease.Duration > 0 {
				delete(pending, index)
				admitted++
				continue
			}
			expect.Expect(lease.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
		expect.Expect(admitted).To(gomega.BeNumerically("<=", 25))
		now = now.Add(100 * time.Millisecond)
	}
	expect.Expect(now.Sub(start)).To(gomega.BeNumerically("~", 5*time.Second, time.Second))
}

func TestUnchangedListIsSentAsDigest(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	registry.Register(start, announce("a", 1))
	view := &membership.View{Services: []request.ServiceName{service}}
	view.Apply(start, registry.Subscribe(start, "caller", view.Subscription()))
	view.ResetPosition()
	answer := registry.Subscribe(start, "caller", view.Subscription())
	expect.Expect(answer.Lists[0].HasRecords).To(gomega.BeFalse())
	_, resync := view.Apply(start, answer)
	expect.Expect(resync).To(gomega.BeFalse())
}

func TestNodeWithClockSetBackCanRegister(t *testing.T) {
	expect := gomega.NewWithT(t)
	registry := newRegistry("replica")
	newer := announce("a", 1)
	newer.Incarnation = 9
	registry.Register(start, newer)
	older := announce("a", 1)
	expect.Expect(registry.Register(start, older).Duration).To(gomega.BeZero())
	now := tick(registry, start, membership.DefaultLeaseTime)
	lease := registry.Register(now, older)
	expect.Expect(lease.RegisterAgain).To(gomega.BeTrue())
	older.Incarnation, older.Sequence = lease.MinIncarnation, lease.AboveSequence+1
	expect.Expect(registry.Register(now, older).Duration).To(gomega.BeNumerically(">", 0))
}

func TestRepeatedDeltaDoesNotListHiddenRecord(t *testing.T) {
	expect := gomega.NewWithT(t)
	first := newRegistry("first")
	view := &membership.View{Services: []request.ServiceName{service}}
	view.Apply(start, first.Subscribe(start, "caller", view.Subscription()))
	first.Register(start, announce("a", 1))
	delta := first.Pull(start, "caller")[0]
	view.Apply(start, delta)
	list := membership.List{Service: service, HasRecords: true}
	view.Apply(start, membership.Update{Epoch: 1, To: delta.To + 5, Answer: true, Lists: []membership.List{list}})
	expect.Expect(view.Records(service)).To(gomega.BeEmpty())
	_, resync := view.Apply(start, delta)
	expect.Expect(view.Records(service)).To(gomega.BeEmpty())
	expect.Expect(resync).To(gomega.BeFalse())
}
