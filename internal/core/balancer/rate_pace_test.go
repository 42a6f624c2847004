package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A target that refuses calls by its rate limit gets none for a time that doubles with each
// refusal and shrinks with each success, up to a bound, and ends with the limit. More
// important calls than the refused one go there again once the wait for the limit is over.
func TestPaceOfCallsToRateLimitedTarget(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const rateWait = 400 * time.Millisecond
	const ordinary, important = request.Priority(0), request.Priority(request.BucketCount)
	place := request.Place{Region: "norte", Domain: "norte-a"}
	paced := &balancer.Balancer{Self: "caller", Place: place}
	now := time.Unix(1_000, 0)
	paced.Update(now, balancer.View{Service: service, Targets: []balancer.Target{
		{Node: "limited", Address: "1", Place: place, Slots: 50},
		{Node: "far", Address: "2", Place: request.Place{Region: "sur", Domain: "sur-a"}, Slots: 50},
	}})
	random := rand.New(rand.NewPCG(1, 4))
	pick := func(priority request.Priority) balancer.Choice {
		choice, code := paced.Pick(now, random, balancer.Call{Service: service, AllTiers: true, Priority: priority})
		expect(code).To(gomega.Equal(request.OK))
		return choice
	}
	answer := func(code request.Code, limited bool, wait time.Duration) {
		choice := pick(ordinary)
		expect(choice.Target.Node).To(gomega.Equal(request.NodeID("limited")))
		paced.Sent(choice)
		paced.Answered(now, choice, balancer.Call{Service: service, Priority: ordinary}, balancer.Answer{Result: balancer.ResultOf(code), Latency: time.Millisecond, RateLimited: limited, RateWait: wait})
	}
	// heldFor advances the clock to the end of the hold and returns its length.
	heldFor := func() time.Duration {
		began := now
		for pick(ordinary).Target.Node != "limited" {
			if now.Sub(began) > rateWait {
				expect(pick(important).Target.Node).To(gomega.Equal(request.NodeID("limited")))
			}
			now = now.Add(10 * time.Millisecond)
		}
		return now.Sub(began)
	}
	expect(pick(ordinary).HasAlternative).To(gomega.BeTrue())
	for _, step := range []struct {
		code request.Code
		held time.Duration
	}{
		{request.RateLimited, rateWait},
		{request.RateLimited, 800 * time.Millisecond},
		{request.RateLimited, 1600 * time.Millisecond},
		{request.RateLimited, 3 * time.Second},
		{request.RateLimited, 3 * time.Second},
		{request.OK, 2250 * time.Millisecond},
		{request.RateLimited, 3 * time.Second},
	} {
		wait := time.Duration(0)
		if step.code == request.RateLimited {
			wait = rateWait
		}
		answer(step.code, true, wait)
		expect(heldFor()).To(gomega.Equal(step.held), step.code.String())
	}
	answer(request.OK, false, 0)
	expect(heldFor()).To(gomega.BeZero())
	answer(request.RateLimited, true, rateWait)
	expect(heldFor()).To(gomega.Equal(rateWait))
}
