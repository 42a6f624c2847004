package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
)

// A replica that is gone without a word is left before its lease runs out; one
// that answers is kept.
func TestAReplicaThatAnswersNothingIsLeftSoon(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	for _, answers := range []bool{true, false} {
		asked := &agent{view: &membership.View{}, follower: &distribution.Follower{}}
		now := start
		asked.connected(now)
		left := time.Duration(0)
		for ; left == 0 && now.Before(start.Add(2*time.Second)); now = now.Add(TickInterval) {
			asked.tick(now)
			if answers {
				asked.receive(now, &pb.Reply{Lease: encodeLease(membership.Lease{Duration: membership.DefaultLeaseTime})})
			}
			if asked.silent(now) {
				left = now.Sub(start)
			}
		}
		if answers {
			expect(left).To(gomega.BeZero())
			continue
		}
		expect(left).To(gomega.BeNumerically("<", time.Second))
		expect(left).To(gomega.BeNumerically(">", 0))
	}
}
