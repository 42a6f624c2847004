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

// TestDrainCutsNothing compares random histories with a plain model.
func TestDrainCutsNothing(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		stop := &drain.Drain{Limit: time.Hour}
		inFlight := map[drain.Ticket]bool{}
		begun := false
		now := start
		next := drain.Ticket(0)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0, 1:
				next++
				code := stop.Enter(next)
				expect.Expect(code == request.OK).To(gomega.Equal(!begun))
				if code == request.OK {
					inFlight[next] = true
				}
			case 2:
				ended := drain.Ticket(rapid.IntRange(1, 30).Draw(r, "ended"))
				stop.Leave(ended)
				delete(inFlight, ended)
			case 3:
				if !begun {
					stop.Begin(now)
					begun = true
				}
			case 4:
				asked := drain.Ticket(rapid.IntRange(1, 30).Draw(r, "asked"))
				if inFlight[asked] || !begun {
					expect.Expect(stop.MayCall(asked)).To(gomega.BeTrue())
				}
			}
			expect.Expect(stop.Done(now)).To(gomega.Equal(begun && len(inFlight) == 0))
		}
	})
}

func TestSecondSignalEndsTheWait(t *testing.T) {
	expect := gomega.NewWithT(t)
	stop := &drain.Drain{}
	stop.Enter(1)
	expect.Expect(stop.Begin(start)).To(gomega.Equal(drain.Draining))
	expect.Expect(stop.Announce()).To(gomega.BeTrue())
	expect.Expect(stop.Announce()).To(gomega.BeFalse())
	expect.Expect(stop.Begin(start)).To(gomega.Equal(drain.Draining))
	expect.Expect(stop.Done(start)).To(gomega.BeFalse())
	stop.Cut()
	expect.Expect(stop.Done(start)).To(gomega.BeTrue())
	expect.Expect(stop.MayCall(1)).To(gomega.BeFalse())
}

func TestLimitEndsTheWait(t *testing.T) {
	expect := gomega.NewWithT(t)
	stop := &drain.Drain{Limit: time.Minute}
	stop.Enter(1)
	stop.Begin(start)
	expect.Expect(stop.Done(start.Add(time.Minute - 1))).To(gomega.BeFalse())
	expect.Expect(stop.Done(start.Add(time.Minute))).To(gomega.BeTrue())
	state, inFlight := stop.State()
	expect.Expect(state).To(gomega.Equal(drain.Ended))
	expect.Expect(inFlight).To(gomega.Equal(1))
}

func TestIdleNodeIsEmptyAtOnce(t *testing.T) {
	stop := &drain.Drain{}
	gomega.NewWithT(t).Expect(stop.Begin(start)).To(gomega.Equal(drain.Empty))
}
