package node_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// reportingTarget is a target that reports about itself in each answer.
func reportingTarget(header, value string) *visits {
	return &visits{serve: func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set(header, value) }}
}

// A target that states a rate limit gets no more calls than that, from all callers
// together, however many of them send at once. At this limit no call is due within the
// time of the test, so that only the allowance for a burst may arrive.
func TestTargetGetsNoMoreCallsThanItsRateLimit(t *testing.T) {
	const calls, burst = 40, 5
	target := reportingTarget(web.HeaderRateLimit, "0.001")
	one, two := startRoutedHost(t, "one", "agenda", target), startRoutedHost(t, "two", "subsidios", http.NotFoundHandler())
	connectHosts(one, two)
	for _, entry := range []*host{one, two} {
		_, _ = sendCall(t, entry.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	}
	told := target.arrived.Load()
	sending := sync.WaitGroup{}
	for range calls / 2 {
		for _, entry := range []*host{one, two} {
			sending.Go(func() {
				_, _ = sendCall(t, entry.callers, "visits.example", http.MethodGet, "/visits/8", nil)
			})
		}
	}
	sending.Wait()
	gomega.NewWithT(t).Expect(target.arrived.Load() - told).To(gomega.BeNumerically("<=", burst))
}

// A target that says in an answer that it is leaving gets no further call, also where no
// replica can be reached. Calls are refused as not run while there is no other target, and
// go to another one without a retry.
func TestTargetGetsNoCallsAfterItSaysThatItIsLeaving(t *testing.T) {
	const calls = 20
	expect := gomega.NewWithT(t).Expect
	leaving, staying := reportingTarget(web.HeaderLeaving, "1"), &visits{}
	one, two := startRoutedHost(t, "one", "agenda", leaving), startRoutedHost(t, "two", "agenda", staying)
	caller := startRoutedHost(t, "three", "subsidios", http.NotFoundHandler())
	connectHosts(one, caller)
	_, _ = sendCall(t, caller.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	told := leaving.arrived.Load()
	send := func() int {
		answer, _ := sendCall(t, caller.callers, "visits.example", http.MethodPost, "/visits/grants/7", nil)
		return answer.StatusCode
	}
	for range calls {
		expect(send()).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	connectHosts(one, two, caller)
	for range calls {
		expect(send()).To(gomega.Equal(http.StatusOK))
	}
	expect(leaving.arrived.Load()).To(gomega.Equal(told))
	expect(staying.arrived.Load()).To(gomega.BeEquivalentTo(calls))
}
