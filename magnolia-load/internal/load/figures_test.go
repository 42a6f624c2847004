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

const runEnd = 5 * time.Second

var (
	kindNumbers = map[string]int{"read": 0, "file": 1}
	results     = map[string]load.Result{
		"whole": load.Whole, "refused": load.Refused, "late": load.Late, "wrong": load.Wrong,
	}
)

// script is one case of the data file as far as it was read.
type script struct {
	t        *testing.T
	kinds    int
	overload load.Span
	samples  []load.Sample
}

func TestFiguresFollowTheScript(t *testing.T) {
	text, err := os.ReadFile("testdata/figures.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, part := range strings.Split(string(text), "\ncase ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			run := &script{t: t}
			for line := range strings.Lines(body) {
				run.step(strings.Fields(line))
			}
		})
	}
}

func (s *script) step(words []string) {
	switch {
	case len(words) == 0:
	case words[0] == "kinds":
		s.kinds = s.number(words[1])
	case words[0] == "overload":
		s.overload = load.Span{From: s.moment(words[1]), To: s.moment(words[2])}
	case words[0] == "expect":
		gomega.NewWithT(s.t).Expect(s.figure(words[1])).To(gomega.Equal(words[2]), words[1])
	default:
		s.add(words)
	}
}

func (s *script) add(words []string) {
	count, from, to := s.number(words[1]), s.moment(words[2]), s.moment(words[3])
	step := (to - from) / time.Duration(count)
	for index := range count {
		at := from + step*time.Duration(index)
		s.samples = append(s.samples, load.Sample{
			Kind: kindNumbers[words[0]], Arrived: at, Ended: at,
			Attempts: []load.Attempt{{Result: results[words[4]], Code: request.Overloaded}},
		})
	}
}

func (s *script) figure(name string) string {
	before := load.Span{To: s.overload.From}
	after := load.Span{From: s.overload.To, To: runEnd}
	switch name {
	case "goodput-before":
		return short(load.Goodput(s.samples, before, load.Each))
	case "goodput-during":
		return short(load.Goodput(s.samples, s.overload, load.Each))
	case "goodput-after":
		return short(load.Goodput(s.samples, after, load.Each))
	case "refused":
		return strconv.Itoa(load.Refusals(s.samples)[request.Overloaded])
	case "recovery":
		took, back := load.Recovery(s.samples, s.kinds, before, s.overload.To, runEnd)
		if !back {
			return "never"
		}
		return took.String()
	}
	s.t.Fatalf("unknown figure %s", name)
	return ""
}

func (s *script) number(text string) int {
	value, err := strconv.Atoi(text)
	gomega.NewWithT(s.t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

func (s *script) moment(text string) time.Duration {
	value, err := time.ParseDuration(text)
	gomega.NewWithT(s.t).Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

func short(value float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", value), ".0")
}

func TestArrivalsAreSeededAndEven(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	plan := load.Plan{
		Seed:    7,
		Entries: 6,
		Kinds:   []load.Kind{{Rate: 50}, {Rate: 20}},
		Phases:  []load.Phase{{Name: "steady", Length: time.Second, Factor: 1}, {Name: "double", Length: 2 * time.Second, Factor: 2}},
	}
	arrivals := plan.Arrivals()
	expect(arrivals).To(gomega.HaveLen(70 + 280))
	expect(plan.Arrivals()).To(gomega.Equal(arrivals))
	inSteady := 0
	for _, arrival := range arrivals {
		if plan.SpanOf("steady").Holds(arrival.At) {
			inSteady++
		}
	}
	expect(inSteady).To(gomega.Equal(70))
	plan.Seed = 8
	expect(plan.Arrivals()).NotTo(gomega.Equal(arrivals))
}

func TestWastedCountsWorkForAttemptsThatFailed(t *testing.T) {
	kinds := []load.Kind{{Name: "read"}, {Name: "file", Repeat: request.Once}}
	samples := []load.Sample{
		{Kind: 0, Attempts: []load.Attempt{{Name: "a", Result: load.Late}, {Name: "b", Result: load.Whole}}},
		{Kind: 1, Attempts: []load.Attempt{{Name: "c", Result: load.Late}, {Name: "d", Result: load.Whole}}},
	}
	work := map[target.AttemptName]time.Duration{"a": time.Second, "b": time.Second, "c": 2 * time.Second, "before": time.Hour}
	gomega.NewWithT(t).Expect(load.Wasted(samples, kinds, work)).To(gomega.Equal(0.25))
}

func TestOverrunsFindActionsThatRanTwiceOrAgainstAPromise(t *testing.T) {
	kinds := []load.Kind{{Name: "file", Repeat: request.Once}}
	records := target.NewRecords()
	for _, key := range []request.IdempotencyKey{"twice", "twice", "denied", "well"} {
		records.Ran(target.Action{Kind: "file", Key: key})
	}
	sample := func(key request.IdempotencyKey, outcomes ...string) load.Sample {
		found := load.Sample{Key: key}
		for _, outcome := range outcomes {
			found.Attempts = append(found.Attempts, load.Attempt{Result: load.Refused, Outcome: outcome})
		}
		return found
	}
	samples := []load.Sample{
		sample("twice", "unknown"),
		sample("denied", "not-run", "not-run"),
		sample("well", "not-run", "unknown"),
		sample("never", "not-run"),
	}
	repeated, denied := load.Overruns(samples, kinds, records)
	gomega.NewWithT(t).Expect([]int{repeated, denied}).To(gomega.Equal([]int{1, 1}))
}
