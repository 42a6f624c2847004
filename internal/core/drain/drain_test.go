package drain_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// Random histories must behave like a simple model: a drain ends only when no
// request is in flight.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		tracker := &drain.Drain{Timeout: time.Hour}
		inFlight := map[drain.Ticket]bool{}
		begun := false
		now := start
		lastTicket := drain.Ticket(0)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0, 1:
				lastTicket++
				code := tracker.Enter(lastTicket)
				expect.Expect(code == request.OK).To(gomega.Equal(!begun))
				if code == request.OK {
					inFlight[lastTicket] = true
				}
			case 2:
				ended := drain.Ticket(rapid.IntRange(1, 30).Draw(r, "ended"))
				tracker.Leave(ended)
				delete(inFlight, ended)
			case 3:
				if !begun {
					tracker.Begin(now)
					begun = true
				}
			case 4:
				asked := drain.Ticket(rapid.IntRange(1, 30).Draw(r, "asked"))
				if inFlight[asked] || !begun {
					expect.Expect(tracker.MayCall(asked)).To(gomega.BeTrue())
				}
			}
			expect.Expect(tracker.Done(now)).To(gomega.Equal(begun && len(inFlight) == 0))
		}
	})
}

func TestDrainEndsEarly(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker := &drain.Drain{}
	tracker.Enter(1)
	expect.Expect(tracker.Begin(start)).To(gomega.Equal(drain.Draining))
	expect.Expect(tracker.TakeAnnouncement()).To(gomega.BeTrue())
	expect.Expect(tracker.TakeAnnouncement()).To(gomega.BeFalse())
	expect.Expect(tracker.Begin(start)).To(gomega.Equal(drain.Draining))
	expect.Expect(tracker.Done(start)).To(gomega.BeFalse())
	tracker.EndEarly()
	expect.Expect(tracker.Done(start)).To(gomega.BeTrue())
	expect.Expect(tracker.MayCall(1)).To(gomega.BeFalse())
}

func TestTimeoutEndsDrain(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker := &drain.Drain{Timeout: time.Minute}
	tracker.Enter(1)
	tracker.Begin(start)
	expect.Expect(tracker.Done(start.Add(time.Minute - 1))).To(gomega.BeFalse())
	expect.Expect(tracker.Done(start.Add(time.Minute))).To(gomega.BeTrue())
	state, inFlight := tracker.State()
	expect.Expect(state).To(gomega.Equal(drain.EndedEarly))
	expect.Expect(inFlight).To(gomega.Equal(1))
}

func TestDrainOfIdleNodeEndsAtOnce(t *testing.T) {
	tracker := &drain.Drain{}
	gomega.NewWithT(t).Expect(tracker.Begin(start)).To(gomega.Equal(drain.Empty))
}
