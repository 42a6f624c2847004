package load_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const runDuration = 5 * time.Second

var (
	kindIndexes   = map[string]int{"read": 0, "file": 1}
	resultsByName = map[string]load.AttemptResult{
		"whole": load.ResultWhole, "refused": load.ResultRefused, "late": load.ResultLate, "wrong": load.ResultWrong,
	}
)

// figureCase runs one case of testdata/figures.txt.
type figureCase struct {
	t        *testing.T
	kinds    int
	overload load.Span
	samples  []load.Sample
}

func TestFigureCases(t *testing.T) {
	text, err := os.ReadFile("testdata/figures.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, part := range strings.Split(string(text), "\ncase ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			testCase := &figureCase{t: t}
			for line := range strings.Lines(body) {
				testCase.runLine(strings.Fields(line))
			}
		})
	}
}

func (testCase *figureCase) runLine(words []string) {
	switch {
	case len(words) == 0:
	case words[0] == "kinds":
		testCase.kinds = testCase.number(words[1])
	case words[0] == "overload":
		testCase.overload = load.Span{From: testCase.duration(words[1]), To: testCase.duration(words[2])}
	case words[0] == "expect":
		gomega.NewWithT(testCase.t).Expect(testCase.figure(words[1])).To(gomega.Equal(words[2]), words[1])
	default:
		testCase.addSamples(words)
	}
}

func (testCase *figureCase) addSamples(words []string) {
	count, from, to := testCase.number(words[1]), testCase.duration(words[2]), testCase.duration(words[3])
	step := (to - from) / time.Duration(count)
	for index := range count {
		at := from + step*time.Duration(index)
		testCase.samples = append(testCase.samples, load.Sample{
			KindIndex: kindIndexes[words[0]], ArrivedAt: at, EndedAt: at,
			Attempts: []load.Attempt{{Result: resultsByName[words[4]], Code: request.Overloaded}},
		})
	}
}

func (testCase *figureCase) figure(name string) string {
	before := load.Span{To: testCase.overload.From}
	after := load.Span{From: testCase.overload.To, To: runDuration}
	switch name {
	case "goodput-before":
		return formatRate(load.Goodput(testCase.samples, before, load.CountEach))
	case "goodput-during":
		return formatRate(load.Goodput(testCase.samples, testCase.overload, load.CountEach))
	case "goodput-after":
		return formatRate(load.Goodput(testCase.samples, after, load.CountEach))
	case "refused":
		return strconv.Itoa(load.CountRefusals(testCase.samples)[request.Overloaded])
	case "recovery":
		duration, recovered := load.RecoveryTime(testCase.samples, testCase.kinds, before, testCase.overload.To, runDuration)
		if !recovered {
			return "never"
		}
		return duration.String()
	}
	testCase.t.Fatalf("unknown figure %s", name)
	return ""
}

func (testCase *figureCase) number(text string) int {
	value, err := strconv.Atoi(text)
	gomega.NewWithT(testCase.t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

func (testCase *figureCase) duration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	gomega.NewWithT(testCase.t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

func formatRate(value float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", value), ".0")
}

func TestArrivalsAreSeededAndEvenlySpread(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	plan := load.Plan{
		Seed:       7,
		EntryNodes: 6,
		Kinds:      []load.Kind{{RatePerSecond: 50}, {RatePerSecond: 20}},
		Phases:     []load.Phase{{Name: "steady", Duration: time.Second, RateFactor: 1}, {Name: "double", Duration: 2 * time.Second, RateFactor: 2}},
	}
	arrivals := plan.Arrivals()
	expect(arrivals).To(gomega.HaveLen(70 + 280))
	expect(plan.Arrivals()).To(gomega.Equal(arrivals))
	inSteady := 0
	for _, arrival := range arrivals {
		if plan.PhaseSpan("steady").Contains(arrival.At) {
			inSteady++
		}
	}
	expect(inSteady).To(gomega.Equal(70))
	plan.Seed = 8
	expect(plan.Arrivals()).NotTo(gomega.Equal(arrivals))
}

func TestWastedShareCountsWorkOfFailedAttempts(t *testing.T) {
	kinds := []load.Kind{{Name: "read"}, {Name: "file", Repeat: request.Once}}
	samples := []load.Sample{
		{KindIndex: 0, Attempts: []load.Attempt{{Name: "a", Result: load.ResultLate}, {Name: "b", Result: load.ResultWhole}}},
		{KindIndex: 1, Attempts: []load.Attempt{{Name: "c", Result: load.ResultLate}, {Name: "d", Result: load.ResultWhole}}},
	}
	work := map[target.AttemptName]time.Duration{"a": time.Second, "b": time.Second, "c": 2 * time.Second, "before": time.Hour}
	gomega.NewWithT(t).Expect(load.WastedShare(samples, kinds, work)).To(gomega.Equal(0.25))
}

func TestCountRunViolationsFindsRepeatedAndDeniedActions(t *testing.T) {
	kinds := []load.Kind{{Name: "file", Repeat: request.Once}}
	records := target.NewRecords()
	for _, key := range []request.IdempotencyKey{"twice", "twice", "denied", "well"} {
		records.RecordRun(target.Action{Kind: "file", Key: key})
	}
	sample := func(key request.IdempotencyKey, outcomes ...string) load.Sample {
		found := load.Sample{Key: key}
		for _, outcome := range outcomes {
			found.Attempts = append(found.Attempts, load.Attempt{Result: load.ResultRefused, Outcome: outcome})
		}
		return found
	}
	samples := []load.Sample{
		sample("twice", "unknown"),
		sample("denied", "not-run", "not-run"),
		sample("well", "not-run", "unknown"),
		sample("never", "not-run"),
	}
	repeated, denied := load.CountRunViolations(samples, kinds, records)
	gomega.NewWithT(t).Expect([]int{repeated, denied}).To(gomega.Equal([]int{1, 1}))
}
