package host_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A booking runs at most once, although callers send it again on both sides of a
// silent partition; and no caller is told "not run" for a booking that ran.
func TestOnceAcrossPartitionSides(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	running := make(chan reply, 1)
	go func() { running <- cluster.memberIn("norte-a").book("held") }()
	t.Cleanup(func() {
		select {
		case answer := <-running:
			t.Logf("the booking that was to be held was answered %+v", answer)
		default:
		}
	})
	holder := cluster.awaitHeldRequest()
	const bookings, before, sends = 36, 9, 3
	senders := sync.WaitGroup{}
	closed := make([]bool, bookings)
	for number := range bookings {
		senders.Go(func() {
			key := fmt.Sprint("visit-", number)
			for attempt := range sends {
				answer := cluster.members[(number+attempt)%len(cluster.members)].book(key)
				if answer.outcome == "not-run" && number%2 == 0 {
					closed[number] = true
					return
				}
			}
		})
	}
	g.Eventually(cluster.executions.distinctCount).WithTimeout(testTimeout).Should(gomega.BeNumerically(">=", before))
	cluster.network.partition(norte, append(append(domains{}, litoral...), sur...))

	for _, domain := range norte {
		for number := range 5 {
			g.Eventually(func() int { return cluster.memberIn(domain).checklist(number).status }).WithTimeout(testTimeout).
				Should(gomega.Equal(http.StatusOK), "a partitioned domain serves from its own targets")
		}
	}
	g.Eventually(func() int { return cluster.memberIn("sur-b").book("healthy side").status }).WithTimeout(testTimeout).
		Should(gomega.Equal(http.StatusOK))
	senders.Wait()
	if holder.settings.Region == "norte" {
		g.Eventually(func() request.Code {
			answer := cluster.memberIn("sur-b").book("held")
			g.Expect(answer.outcome).To(gomega.Equal("unknown"), answer.body)
			return answer.code
		}).WithTimeout(testTimeout).Should(gomega.Equal(request.OutcomeUnknown))
	}
	cluster.network.heal()
	holder.target.releaseHeld()
	<-running
	cluster.expectSameFinalAnswer("held")

	for number := range bookings {
		key := fmt.Sprint("visit-", number)
		if closed[number] {
			g.Expect(cluster.executions.count(key)).To(gomega.BeZero(), key+" was told not-run")
		}
		cluster.expectSameFinalAnswer(key)
	}
}

// expectSameFinalAnswer waits until repetitions of a booking at both sides get the
// same final answer: the kept one, or that it may have run.
func (cluster *testCluster) expectSameFinalAnswer(key string) reply {
	cluster.t.Helper()
	g := gomega.NewWithT(cluster.t)
	var answer reply
	g.Eventually(func() bool {
		answer = cluster.memberIn("norte-a").book(key)
		ended := answer.status == http.StatusOK || answer.code == request.OutcomeUnknown
		return ended && cluster.memberIn("sur-b").book(key) == answer
	}).WithTimeout(testTimeout).Should(gomega.BeTrue(), key)
	runs := cluster.executions.count(key)
	g.Expect(runs).To(gomega.BeNumerically("<=", 1), key)
	if answer.status == http.StatusOK {
		g.Expect(answer.body).To(gomega.Equal("done " + key))
		g.Expect(runs).To(gomega.Equal(1), key)
	}
	return answer
}
