package node_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/node"
)

// A target that announces itself gets as many calls at once as it has slots right
// after its start, except for the one slot in twenty that is kept free: it states
// itself for how long it is slow.
func TestAnnouncedTargetGetsAllSlotsAtStart(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const slots, usable = 20, 19
	arrived, release := make(chan struct{}, slots), make(chan struct{})
	// No call ends before this many are at the target.
	target := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}), func(underTest *node.Node) {
		underTest.TargetAnnouncesItself = true
		underTest.SetLocalTarget(node.LocalTarget{Service: "agenda", Slots: slots, Serving: true})
	})
	connectHosts(target)
	statuses := make(chan int, slots)
	for range slots {
		go func() {
			answer, _ := sendCall(t, target.callers, "visits.example", http.MethodGet, "/visits/7", nil)
			statuses <- answer.StatusCode
		}()
	}
	for range usable {
		<-arrived
	}
	expect(arrived).To(gomega.BeEmpty())
	close(release)
	for range slots {
		expect(<-statuses).To(gomega.Equal(http.StatusOK))
	}
}
