package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Calls are refused only while the processor lag is over its limit, and never without
// one.
func TestProcessorLagOverLimitRefusesCalls(t *testing.T) {
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		name    string
		limit   time.Duration
		lag     time.Duration
		refused bool
	}{
		{"no lag", 250 * time.Millisecond, 0, false},
		{"below the limit", 250 * time.Millisecond, 200 * time.Millisecond, false},
		{"over the limit", 250 * time.Millisecond, 300 * time.Millisecond, true},
		{"no limit", 0, 300 * time.Millisecond, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			node := &Node{MaxProcessorLag: test.limit}
			node.lagMonitor.Interval = gateTickInterval
			node.lagMonitor.RecordTick(noon)
			gomega.NewWithT(t).Expect(node.overLagLimit(noon.Add(gateTickInterval + test.lag))).To(gomega.Equal(test.refused))
		})
	}
}
