package latency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/latency"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

// An estimate is the latency of the right rank of a sorted list, or up to 1/16 above it.
func TestEstimateAgreesWithSortedList(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r).Expect
		table := &latency.Table[string]{}
		var recorded []time.Duration
		for _, micros := range rapid.SliceOfN(rapid.Int64Range(0, latency.Longest.Microseconds()), 1, 200).Draw(r, "latencies") {
			took := time.Duration(micros) * time.Microsecond
			table.Record(start, "visits", took)
			recorded = append(recorded, took)
		}
		slices.Sort(recorded)
		exceeding := rapid.SampledFrom([]float64{0, 0.001, 0.01, 0.25}).Draw(r, "exceeding")
		exact := recorded[len(recorded)-1-int(exceeding*float64(len(recorded)))]
		estimate := table.Estimate(start, "visits", exceeding)
		expect(estimate.Calls).To(gomega.Equal(len(recorded)))
		expect(estimate.Within).To(gomega.BeNumerically(">=", exact))
		expect(estimate.Within).To(gomega.BeNumerically("<=", exact+exact/16+time.Millisecond))
	})
}

func TestEstimateForgetsOldCalls(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	table := &latency.Table[string]{}
	table.Record(start, "visits", 3*time.Second)
	table.Record(start.Add(31*time.Second), "visits", 8*time.Millisecond)
	expect(table.Estimate(start.Add(59*time.Second), "visits", 0)).To(gomega.Equal(latency.Estimate{Calls: 2, Within: 3_071 * time.Millisecond}))
	expect(table.Estimate(start.Add(62*time.Second), "visits", 0)).To(gomega.Equal(latency.Estimate{Calls: 1, Within: 8 * time.Millisecond}))
	expect(table.Estimate(start.Add(3*time.Minute), "visits", 0)).To(gomega.BeZero())
	expect(table.Estimate(start, "grants", 0)).To(gomega.BeZero())
}

// Latencies beyond the longest one that is told apart count as that.
func TestLongestLatency(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	table := &latency.Table[string]{}
	table.Record(start, "visits", time.Hour)
	expect(table.Estimate(start, "visits", 0).Within).To(gomega.Equal(latency.Longest))
}

func BenchmarkRecord(b *testing.B) {
	table := &latency.Table[string]{}
	b.ReportAllocs()
	for b.Loop() {
		table.Record(start, "visits", 123*time.Millisecond)
	}
}
