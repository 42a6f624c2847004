package target_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const reportedSlots = 10

func TestLoadReportCases(t *testing.T) {
	text, err := os.ReadFile("testdata/report.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	distortions := map[string]target.Distortion{"idle": target.AlwaysIdle, "full": target.AlwaysFull}
	for _, part := range strings.Split(string(text), "\ncase ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			report := &target.LoadReport{}
			for line := range strings.Lines(body) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				switch words[0] {
				case "lag":
					report.Lag = duration(t, words[1])
				case "distortion":
					report.Distortion = distortions[words[1]]
				case "load":
					report.Observe(moment(t, words[1]), target.Load{InFlight: number(t, words[2]), Slots: reportedSlots})
				case "read":
					read := report.Read(moment(t, words[1]))
					gomega.NewWithT(t).Expect(read.InFlight).To(gomega.Equal(number(t, words[2])), line)
				}
			}
		})
	}
}

func TestWarmupSlowdownFallsToOne(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	warmup := target.Warmup{InitialSlowdown: 5, Duration: 2 * time.Second}
	expect(warmup.Slowdown(0)).To(gomega.Equal(5.0))
	expect(warmup.Slowdown(time.Second)).To(gomega.Equal(3.0))
	expect(warmup.Slowdown(2 * time.Second)).To(gomega.Equal(1.0))
	expect(target.Warmup{}.Slowdown(0)).To(gomega.Equal(1.0))
}

func TestServiceTimeIsSeededAndHasItsMean(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	serviceTime := target.ServiceTime{Mean: 40 * time.Millisecond}
	first, second := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	sum := time.Duration(0)
	const samples = 20_000
	for range samples {
		sampled := serviceTime.Sample(first)
		expect(sampled).To(gomega.Equal(serviceTime.Sample(second)))
		expect(sampled).To(gomega.BeNumerically(">=", 30*time.Millisecond))
		sum += sampled
	}
	expect(sum / samples).To(gomega.BeNumerically("~", serviceTime.Mean, time.Millisecond))
}

func moment(t *testing.T, text string) time.Time {
	return time.Unix(1_000, 0).Add(duration(t, text))
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	value, err := time.ParseDuration(text)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

func number(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}
