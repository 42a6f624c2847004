package intake_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/intake"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const consumo, evidencia = request.ServiceName("consumo"), request.ServiceName("evidencia")

func TestShortageEndsWithCapacity(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	shortage := &intake.Shortage{}
	expect(shortage.Lasts(noon)).To(gomega.BeFalse())
	shortage.Heard(consumo, 1)
	shortage.Heard(evidencia, 0.2)
	shortage.Found(noon)
	expect(shortage.Lasts(noon.Add(900 * time.Millisecond))).To(gomega.BeTrue())
	expect(shortage.Lasts(noon.Add(time.Second))).To(gomega.BeFalse(), "no refusal for a second")
	for range 2 {
		shortage.Heard(consumo, 0.5)
	}
	expect(shortage.Lasts(noon)).To(gomega.BeTrue(), "two targets with capacity are not the whole service")
	for range 10 {
		shortage.Heard(consumo, 0.5)
	}
	expect(shortage.Lasts(noon)).To(gomega.BeFalse())
	shortage.Found(noon)
	expect(shortage.Lasts(noon)).To(gomega.BeTrue(), "a refusal counts until the next report of capacity")
}

// After a restart, cold targets warm up. Requests that entered before go on
// failing for as long as a request takes. The share must rise meanwhile if the
// downstream services report capacity, and be whole after another such time.
func TestOldRequestsDoNotLowerShareAfterShortage(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const interval, requestTime = 10 * time.Millisecond, 800 * time.Millisecond
	shareAfter := func(load float64) float64 {
		meter, shortage := &intake.Meter{}, &intake.Shortage{}
		endCall := func(now time.Time) {
			end := intake.Fine
			if shortage.Lasts(now) {
				end = intake.Starved
			}
			meter.Ended(now, visit, end)
		}
		now := noon
		for ; now.Before(noon.Add(3 * time.Second)); now = now.Add(interval) {
			shortage.Heard(consumo, 1.2)
			shortage.Found(now)
			endCall(now)
		}
		// The first requests to end were started during the shortage, the later ones
		// after it.
		for warm := now; now.Before(warm.Add(2 * requestTime)); now = now.Add(interval) {
			shortage.Heard(consumo, load)
			endCall(now)
		}
		return meter.Share(now, visit)
	}
	expect(shareAfter(1)).To(gomega.BeNumerically("<", 0.5))
	expect(shareAfter(0.5)).To(gomega.BeNumerically(">", 0.95))
}
