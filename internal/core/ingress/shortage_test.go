package ingress_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/ingress"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const consumo, evidencia = request.ServiceName("consumo"), request.ServiceName("evidencia")

func TestShortageEndsWithCapacity(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	shortage := &ingress.Shortage{}
	expect(shortage.Active(noon)).To(gomega.BeFalse())
	shortage.RecordLoad(consumo, 1)
	shortage.RecordLoad(evidencia, 0.2)
	shortage.RecordRefusal(noon)
	expect(shortage.Active(noon.Add(900 * time.Millisecond))).To(gomega.BeTrue())
	expect(shortage.Active(noon.Add(time.Second))).To(gomega.BeFalse(), "no refusal for a second")
	for range 2 {
		shortage.RecordLoad(consumo, 0.5)
	}
	expect(shortage.Active(noon)).To(gomega.BeTrue(), "two targets with capacity are not the whole service")
	for range 10 {
		shortage.RecordLoad(consumo, 0.5)
	}
	expect(shortage.Active(noon)).To(gomega.BeFalse())
	shortage.RecordRefusal(noon)
	expect(shortage.Active(noon)).To(gomega.BeTrue(), "a refusal counts until the next report of capacity")
}

// After a restart, cold targets warm up. Requests that entered before go on
// failing for as long as a request takes. The share must rise meanwhile if the
// downstream services report capacity, and be almost full after another such time.
func TestOldRequestsDoNotLowerShareAfterShortage(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const interval, requestTime = 10 * time.Millisecond, 800 * time.Millisecond
	shareAfter := func(load float64) float64 {
		controller, shortage := &ingress.ShareController{}, &ingress.Shortage{}
		endCall := func(now time.Time) {
			end := ingress.Unaffected
			if shortage.Active(now) {
				end = ingress.Overloaded
			}
			controller.RecordEnd(now, visit, end)
		}
		now := noon
		for ; now.Before(noon.Add(3 * time.Second)); now = now.Add(interval) {
			shortage.RecordLoad(consumo, 1.2)
			shortage.RecordRefusal(now)
			endCall(now)
		}
		// The first requests to end were started during the shortage, the later ones
		// after it.
		for warm := now; now.Before(warm.Add(2 * requestTime)); now = now.Add(interval) {
			shortage.RecordLoad(consumo, load)
			endCall(now)
		}
		return controller.Share(now, visit)
	}
	expect(shareAfter(1)).To(gomega.BeNumerically("<", 0.5))
	expect(shareAfter(0.5)).To(gomega.BeNumerically(">", 0.95))
}
