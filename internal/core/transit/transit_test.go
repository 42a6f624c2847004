package transit_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/transit"
)

// The clocks of the two processes started at different moments, so the difference of
// their readings alone says nothing.
func TestWaitIsMeasuredAboveFastestMessage(t *testing.T) {
	const offset = -37 * time.Hour
	monitor := &transit.Monitor{}
	cases := []struct {
		name   string
		sent   time.Duration
		delay  time.Duration
		waited time.Duration
	}{
		{"first", 1 * time.Second, 20 * time.Millisecond, 0},
		{"faster", 2 * time.Second, 8 * time.Millisecond, 0},
		{"as the first", 3 * time.Second, 20 * time.Millisecond, 12 * time.Millisecond},
		{"late", 4 * time.Second, 1008 * time.Millisecond, time.Second},
		{"read with the late one", 5 * time.Second, 8 * time.Millisecond, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			waited := monitor.Record(test.sent, test.sent+test.delay+offset)
			gomega.NewWithT(t).Expect(waited).To(gomega.Equal(test.waited))
		})
	}
}

// A longer path, or clocks that drift apart, must not make all messages late for good.
func TestReferenceFollowsPath(t *testing.T) {
	g := gomega.NewWithT(t)
	monitor := &transit.Monitor{}
	const before, after = 2 * time.Millisecond, 50 * time.Millisecond
	waited := time.Duration(0)
	for second := range 200 {
		sent, delay := time.Duration(second)*time.Second, before
		if second >= 100 {
			delay = after
		}
		waited = monitor.Record(sent, sent+delay)
		if second == 100 {
			g.Expect(waited).To(gomega.Equal(after - before))
		}
	}
	g.Expect(waited).To(gomega.BeZero())
}

// Guards against one odd statement of a peer after which all its calls count as late: their
// deadlines would have passed before they arrive.
func TestOddStatementDoesNotMakeOthersLate(t *testing.T) {
	cases := map[string]time.Duration{
		"sent far in the future": 24 * time.Hour,
		"sent long ago":          -24 * time.Hour,
		"sent before all time":   math.MinInt64 / 2,
		"sent after all time":    math.MaxInt64 / 2,
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			monitor := &transit.Monitor{}
			const delay = 8 * time.Millisecond
			for second := range 10 {
				sent := time.Duration(second) * time.Second
				g.Expect(monitor.Record(sent, sent+delay)).To(gomega.BeZero())
			}
			g.Expect(monitor.Record(10*time.Second+odd, 10*time.Second+delay)).To(gomega.BeZero())
			for second := range 10 {
				sent := time.Duration(11+second) * time.Second
				g.Expect(monitor.Record(sent, sent+delay)).To(gomega.BeZero())
			}
			g.Expect(monitor.Record(30*time.Second, 31*time.Second)).To(gomega.Equal(time.Second - delay))
		})
	}
}
