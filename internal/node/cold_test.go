package node_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/node"
)

// A target that announces itself is given as many calls as it has slots from the
// start: it says itself for how long it is slow.
func TestAnAnnouncedTargetIsGivenAllItsSlots(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const slots = 16
	together, leave := sync.WaitGroup{}, make(chan struct{})
	together.Add(slots)
	// No call ends before all of them are at the target.
	target := startRouted(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		together.Done()
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
	together.Wait()
	close(leave)
	for range slots {
		expect(<-statuses).To(gomega.Equal(http.StatusOK))
	}
}
