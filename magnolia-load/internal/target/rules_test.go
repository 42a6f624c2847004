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

const scriptedSlots = 10

func TestReportFollowsTheScript(t *testing.T) {
	text, err := os.ReadFile("testdata/report.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	lies := map[string]target.Lie{"idle": target.AlwaysIdle, "full": target.AlwaysFull}
	for _, part := range strings.Split(string(text), "\ncase ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			report := &target.Report{}
			for line := range strings.Lines(body) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				switch words[0] {
				case "lag":
					report.Lag = length(t, words[1])
				case "lie":
					report.Lie = lies[words[1]]
				case "load":
					report.Observe(moment(t, words[1]), target.Load{InFlight: number(t, words[2]), Slots: scriptedSlots})
				case "read":
					read := report.Read(moment(t, words[1]))
					gomega.NewWithT(t).Expect(read.InFlight).To(gomega.Equal(number(t, words[2])), line)
				}
			}
		})
	}
}

func TestWarmupFallsToNone(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	warmup := target.Warmup{Factor: 5, Length: 2 * time.Second}
	expect(warmup.Slowness(0)).To(gomega.Equal(5.0))
	expect(warmup.Slowness(time.Second)).To(gomega.Equal(3.0))
	expect(warmup.Slowness(2 * time.Second)).To(gomega.Equal(1.0))
	expect(target.Warmup{}.Slowness(0)).To(gomega.Equal(1.0))
}

func TestTimingIsSeededWithItsMean(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	timing := target.Timing{Mean: 40 * time.Millisecond}
	first, second := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	sum := time.Duration(0)
	const draws = 20_000
	for range draws {
		drawn := timing.Draw(first)
		expect(drawn).To(gomega.Equal(timing.Draw(second)))
		expect(drawn).To(gomega.BeNumerically(">=", 30*time.Millisecond))
		sum += drawn
	}
	expect(sum / draws).To(gomega.BeNumerically("~", timing.Mean, time.Millisecond))
}

func moment(t *testing.T, text string) time.Time {
	return time.Unix(1_000, 0).Add(length(t, text))
}

func length(t *testing.T, text string) time.Duration {
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
