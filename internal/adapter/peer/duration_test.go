package peer

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestStatedTimeIsBounded guards against counts of a malformed message that turn negative
// or are beyond the range of durations.
func TestStatedTimeIsBounded(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	for _, unit := range []time.Duration{time.Microsecond, time.Millisecond} {
		expect(StatedTime(1500, unit)).To(gomega.Equal(1500 * unit))
		expect(StatedTime(-1, unit)).To(gomega.BeZero())
		expect(StatedTime(math.MinInt64, unit)).To(gomega.BeZero())
		for _, count := range []int64{math.MaxInt64, math.MaxInt64 / 1000, math.MaxInt64 / 1_000_000} {
			expect(StatedTime(count, unit)).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", maxStatedTime)), "%d of %s", count, unit)
		}
	}
}
