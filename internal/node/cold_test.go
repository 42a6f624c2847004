package node_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/node"
)

// A target that announces itself is given as many calls as it has slots from the
// start, but for the one in twenty that stays free: it says itself for how long it is
// slow.
func TestAnAnnouncedTargetIsGivenItsSlots(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const slots, atOnce = 20, 19
	arrived, leave := make(chan struct{}, slots), make(chan struct{})
	// No call ends before so many are at the target.
	target := startRouted(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-leave
	}), func(no *node.Node) {
		no.Announced = true
		no.SetLocal(node.LocalTarget{Service: "agenda", Slots: slots, Serving: true})
	})
	connect(target)
	statuses := make(chan int, slots)
	for range slots {
		go func() {
			answer, _ := call(t, target.callers, "visits.example", http.MethodGet, "/visits/7", nil)
			statuses <- answer.StatusCode
		}()
	}
	for range atOnce {
		<-arrived
	}
	expect(arrived).To(gomega.BeEmpty())
	close(leave)
	for range slots {
		expect(<-statuses).To(gomega.Equal(http.StatusOK))
	}
}
