package host_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A booking runs at most once, also when a region is silently cut off while
// callers send and resend on both sides, and nobody is told "not run" of one
// that ran.
func TestOnceAcrossPartitionSides(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 5, "norte-a", "norte-b", "litoral-a", "litoral-b", "sur-a", "sur-b")
	running := make(chan reply, 1)
	go func() { running <- si.in("norte-a").book("held") }()
	t.Cleanup(func() {
		select {
		case told := <-running:
			t.Logf("the booking that was to be held was answered %+v", told)
		default:
		}
	})
	holder := si.awaitHeld()
	const bookings, before, sends = 36, 9, 3
	senders := sync.WaitGroup{}
	closed := make([]bool, bookings)
	for number := range bookings {
		senders.Go(func() {
			key := fmt.Sprint("visit-", number)
			for attempt := range sends {
				told := si.hosts[(number+attempt)%len(si.hosts)].book(key)
				if told.outcome == "not-run" && number%2 == 0 {
					closed[number] = true
					return
				}
			}
		})
	}
	g.Eventually(si.record.total).WithTimeout(patience).Should(gomega.BeNumerically(">=", before))
	si.network.part(norte, append(append(domains{}, litoral...), sur...))

	for _, domain := range norte {
		for number := range 5 {
			g.Eventually(func() int { return si.in(domain).checklist(number).status }).WithTimeout(patience).
				Should(gomega.Equal(http.StatusOK), "a domain that is cut off serves by its own targets")
		}
	}
	g.Eventually(func() int { return si.in("sur-b").book("healthy side").status }).WithTimeout(patience).
		Should(gomega.Equal(http.StatusOK))
	senders.Wait()
	if holder.settings.Region == "norte" {
		g.Eventually(func() request.Code {
			told := si.in("sur-b").book("held")
			g.Expect(told.outcome).To(gomega.Equal("unknown"), told.body)
			return told.code
		}).WithTimeout(patience).Should(gomega.Equal(request.OutcomeUnknown))
	}
	si.network.heal()
	holder.target.letGo()
	<-running
	si.expectOneEnd("held")

	for number := range bookings {
		key := fmt.Sprint("visit-", number)
		if closed[number] {
			g.Expect(si.record.runs(key)).To(gomega.BeZero(), key+" was told not-run")
		}
		si.expectOneEnd(key)
	}
}

// expectOneEnd waits until resends on two sides are told the same end of a
// booking: the kept answer, or that it may have run.
func (si *site) expectOneEnd(key string) reply {
	si.t.Helper()
	g := gomega.NewWithT(si.t)
	var told reply
	g.Eventually(func() bool {
		told = si.in("norte-a").book(key)
		ended := told.status == http.StatusOK || told.code == request.OutcomeUnknown
		return ended && si.in("sur-b").book(key) == told
	}).WithTimeout(patience).Should(gomega.BeTrue(), key)
	runs := si.record.runs(key)
	g.Expect(runs).To(gomega.BeNumerically("<=", 1), key)
	if told.status == http.StatusOK {
		g.Expect(told.body).To(gomega.Equal("done " + key))
		g.Expect(runs).To(gomega.Equal(1), key)
	}
	return told
}
