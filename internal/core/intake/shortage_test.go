package intake_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/intake"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const consumo, evidencia = request.ServiceName("consumo"), request.ServiceName("evidencia")

func TestAShortageLastsUntilThereIsRoom(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	shortage := &intake.Shortage{}
	expect(shortage.Lasts(noon)).To(gomega.BeFalse())
	shortage.Heard(consumo, 1)
	shortage.Heard(evidencia, 0.2)
	shortage.Found(noon)
	expect(shortage.Lasts(noon.Add(900 * time.Millisecond))).To(gomega.BeTrue())
	expect(shortage.Lasts(noon.Add(time.Second))).To(gomega.BeFalse(), "nothing was refused for a second")
	for range 2 {
		shortage.Heard(consumo, 0.5)
	}
	expect(shortage.Lasts(noon)).To(gomega.BeTrue(), "two targets with room are not the service")
	for range 10 {
		shortage.Heard(consumo, 0.5)
	}
	expect(shortage.Lasts(noon)).To(gomega.BeFalse())
	shortage.Found(noon)
	expect(shortage.Lasts(noon)).To(gomega.BeTrue(), "a refusal counts until room is heard of again")
}

// The pattern: cold targets after a restart become warm. Requests that entered while
// they were cold go on failing for the time that a request takes. The shares rise
// meanwhile, since the services below say that they have room, and are whole when
// another such time is over.
func TestWhatBeganInAShortageHoldsNoShareDown(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const between, lasts = 10 * time.Millisecond, 800 * time.Millisecond
	share := func(load float64) float64 {
		meter, shortage := &intake.Meter{}, &intake.Shortage{}
		end := func(now time.Time) {
			ended := intake.Fine
			if shortage.Lasts(now) {
				ended = intake.Starved
			}
			meter.Ended(now, visit, ended)
		}
		now := noon
		for ; now.Before(noon.Add(3 * time.Second)); now = now.Add(between) {
			shortage.Heard(consumo, 1.2)
			shortage.Found(now)
			end(now)
		}
		// What entered before is refused or late for a while, what enters now is not.
		for warm := now; now.Before(warm.Add(2 * lasts)); now = now.Add(between) {
			shortage.Heard(consumo, load)
			end(now)
		}
		return meter.Share(now, visit)
	}
	expect(share(1)).To(gomega.BeNumerically("<", 0.5))
	expect(share(0.5)).To(gomega.BeNumerically(">", 0.95))
}
