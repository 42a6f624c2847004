package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
)

// A replica that stops answering without closing its stream is detected before
// the lease expires; one that answers is not.
func TestUnresponsiveReplicaIsDetectedBeforeLeaseExpires(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	for _, answering := range []bool{true, false} {
		agent := &agent{view: &membership.View{}, follower: &distribution.Follower{}}
		now := startTime
		agent.attach(now, "near")
		detectedAfter := time.Duration(0)
		for ; detectedAfter == 0 && now.Before(startTime.Add(2*time.Second)); now = now.Add(TickInterval) {
			agent.tick(now)
			if answering {
				agent.receive(now, &pb.Reply{Lease: encodeLease(membership.Lease{Duration: membership.DefaultLeaseTime})})
			}
			if agent.replicaUnresponsive(now) {
				detectedAfter = now.Sub(startTime)
			}
		}
		if answering {
			expect(detectedAfter).To(gomega.BeZero())
			continue
		}
		expect(detectedAfter).To(gomega.BeNumerically("<", time.Second))
		expect(detectedAfter).To(gomega.BeNumerically(">", 0))
	}
}

// What a node has is confirmed as of the time at which it asked, and only by a replica with
// a quorum.
func TestRenewalConfirmsVersionsAsOfItsSending(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var confirmed time.Time
	agent := &agent{view: &membership.View{}, follower: &distribution.Follower{}, events: Events{Confirmed: func(at time.Time) { confirmed = at }}}
	lease := &pb.Reply{Lease: encodeLease(membership.Lease{Duration: membership.DefaultLeaseTime})}
	agent.attach(startTime, "near")
	agent.receive(startTime.Add(300*time.Millisecond), lease)
	expect(confirmed).To(gomega.Equal(startTime))
	renewed := startTime.Add(membership.DefaultRenewInterval)
	agent.tick(renewed)
	agent.receive(renewed.Add(time.Second), &pb.Reply{Quorum: &pb.Quorum{Lost: true}})
	agent.receive(renewed.Add(time.Second), lease)
	expect(confirmed).To(gomega.Equal(startTime), "the replica has lost its quorum")
	agent.receive(renewed.Add(2*time.Second), &pb.Reply{Quorum: &pb.Quorum{}})
	agent.receive(renewed.Add(2*time.Second), lease)
	expect(confirmed).To(gomega.Equal(renewed))
}

// Guards against a node that goes from replica to replica and stays too short at each to be
// sent the version that it lacks, which so comes into force late (CONFIG): a large one takes
// more than a tick from another region.
func TestEachReplicaHasTimeToDeliverVersion(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	agent := &agent{view: &membership.View{}, follower: &distribution.Follower{}}
	agent.attach(startTime, "near")
	expect(agent.replicaOutdated(startTime)).To(gomega.BeFalse())
	agent.follower.NoteVersion(7)
	left := startTime.Add(maxVersionLag)
	expect(agent.replicaOutdated(left)).To(gomega.BeTrue())
	agent.attach(left.Add(TickInterval), "far")
	expect(agent.replicaOutdated(left.Add(2 * TickInterval))).To(gomega.BeFalse())
	expect(agent.replicaOutdated(left.Add(TickInterval + maxVersionLag))).To(gomega.BeTrue())
}
