package measure

import (
	"bytes"
	"context"
	"testing"

	"github.com/onsi/gomega"
)

func TestReportGivesMediansOfBothVersions(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	values := map[uint64]float64{4: 3, 5: 1, 6: Never}
	measurement := Measurement{Name: "overload", About: "A load.", Run: func(_ context.Context, run Run) ([]Figure, error) {
		run.KeepFile("plot.svg", []byte("<svg/>"))
		return []Figure{
			{Name: "time", Unit: "s", Target: "1", Value: values[run.Seed], Naive: Never, HasNaive: true},
			{Name: "calls", Unit: "calls", Value: 12345},
		}, nil
	}}
	report, err := Repeat(context.Background(), measurement, Settings{Seed: 4, Runs: 3, Progress: func(string, ...any) {}})
	expect(err).NotTo(gomega.HaveOccurred())

	var lines bytes.Buffer
	report.WriteLines(&lines)
	expect(lines.String()).To(gomega.Equal(
		"overload-time-naive: never s\noverload-time: 3 s (target 1)\noverload-calls: 12345 calls\n"))
	page := string(report.page())
	expect(page).To(gomega.ContainSubstring("`script/measure overload --seed 4 --runs 3 --write`"))
	expect(page).To(gomega.ContainSubstring("| time | s | 1 | 3 | 1 | never | never | never | never |"))
	expect(page).To(gomega.ContainSubstring("![plot.svg](plot.svg)"))
}

func TestFormatNumberKeepsFourSignificantDigits(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	expect(formatNumber(0.0123456)).To(gomega.Equal("0.01235"))
	expect(formatNumber(97.8912)).To(gomega.Equal("97.89"))
	expect(formatNumber(0)).To(gomega.Equal("0"))
	expect(formatNumber(1364)).To(gomega.Equal("1364"))
}

func TestFitLineFindsSlopeAndRSquared(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	exact := fitLine([]sizedValue{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	expect(exact).To(gomega.Equal(fittedLine{Slope: 2, Intercept: 3, RSquared: 1}))
	expect(exact.at(10)).To(gomega.Equal(23.0))
	rough := fitLine([]sizedValue{{Size: 1, Value: 1}, {Size: 2, Value: 4}, {Size: 3, Value: 1}})
	expect(rough.Slope).To(gomega.BeZero())
	expect(rough.RSquared).To(gomega.BeZero())
}
