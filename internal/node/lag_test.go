package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Calls are turned away only while work waits longer than it may, and never where
// that is not bounded.
func TestCallsAreTurnedAwayWhileTheProcessorIsTaken(t *testing.T) {
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		most   time.Duration
		late   time.Duration
		turned bool
	}{
		{"in time", 250 * time.Millisecond, 0, false},
		{"a little late", 250 * time.Millisecond, 200 * time.Millisecond, false},
		{"late", 250 * time.Millisecond, 300 * time.Millisecond, true},
		{"late, and not bounded", 0, 300 * time.Millisecond, false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			no := &Node{MostLag: each.most}
			no.pulse.Interval = gateInterval
			no.pulse.Beat(noon)
			gomega.NewWithT(t).Expect(no.lags(noon.Add(gateInterval + each.late))).To(gomega.Equal(each.turned))
		})
	}
}
