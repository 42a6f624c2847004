package target

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

// After a kill of all processes a limit must count as stated only with the next complete
// answer, not with one from before or one to a process that was killed.
func TestLimitIsStatedAnewAfterAllWereKilled(t *testing.T) {
	g := gomega.NewWithT(t)
	limited := &Target{}
	limited.StateRateLimitAnew()
	g.Expect(limited.LimitedPeriods()).To(gomega.BeEmpty(), "no limit is stated")

	limited.StateRateLimit(2)
	limited.stateLimit(httptest.NewRecorder())()
	answerToKilled := limited.stateLimit(httptest.NewRecorder())
	limited.StateRateLimitAnew()
	answerToKilled()
	answer := limited.stateLimit(httptest.NewRecorder())
	periods := limited.LimitedPeriods()
	g.Expect(periods).To(gomega.HaveLen(2))
	g.Expect(periods[0].Arrivals).To(gomega.HaveLen(2))
	g.Expect(periods[1].Arrivals).To(gomega.HaveLen(1))
	g.Expect(periods[1].Limit).To(gomega.Equal(periods[0].Limit))
	g.Expect(periods[1].StatedAt.IsZero()).To(gomega.BeTrue())

	answer()
	g.Expect(limited.LimitedPeriods()[1].StatedAt.IsZero()).To(gomega.BeFalse())
}
