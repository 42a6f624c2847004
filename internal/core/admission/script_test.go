package admission_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// scriptRunner runs the lines of one data file on a gate. A line has the form
// "TIME EVENT ARGUMENTS => DECISIONS", or is a comment that begins with "#".
type scriptRunner struct {
	gate    *admission.Gate
	now     time.Time
	notices []admission.Notice
}

func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	expect := gomega.NewWithT(t)
	text, err := os.ReadFile(path)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	runner := &scriptRunner{gate: &admission.Gate{Downstream: &admission.Levels{}}}
	for index, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		event, want, _ := strings.Cut(line, " => ")
		got := runner.step(t, strings.Fields(event))
		expect.Expect(got).To(gomega.Equal(want), "%s:%d: %s", path, index+1, line)
	}
}

// step runs one event, and returns the decisions that follow from it.
func (runner *scriptRunner) step(t *testing.T, words []string) string {
	since, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatalf("time %q: %v", words[0], err)
	}
	runner.now = epoch.Add(since)
	runner.notices = runner.notices[:0]
	args := arguments(words[2:])
	call := request.CallID(args.number("call"))
	results := []string{}
	switch words[1] {
	case "gate":
		runner.gate.Slots, runner.gate.Warm = args.number("slots"), args.has("warm")
	case "arrive":
		work := request.Work{Call: call, RootKind: "agenda/checklist", Spent: args.duration("spent"), Deadline: runner.now.Add(args.duration("within"))}
		work.Patience, work.Movable = args.duration("patience"), args.has("movable")
		work.Priority = request.NewPriority(request.Importance(args.number("importance")), request.Bucket(args.number("bucket")))
		var decision admission.Decision
		decision, runner.notices = runner.gate.Arrive(runner.now, work, runner.notices)
		results = append(results, decisionText(decision))
	case "finish":
		runner.notices = runner.gate.Finish(runner.now, call, admission.Sample{Latency: args.duration("latency"), Result: admission.Succeeded}, runner.notices)
	case "cancel":
		runner.notices = runner.gate.Cancel(runner.now, call, runner.notices)
	case "tick":
		runner.notices = runner.gate.Tick(runner.now, runner.notices)
	case "learn":
		runner.gate.Downstream.RecordLevel("consumo", "agenda/checklist", request.Level(args.number("level")), runner.now)
	case "stated":
		limit, limited := args.find("limit")
		rate, _ := strconv.ParseFloat(limit, 64)
		stated := admission.RateStatement{Limited: limited, Limit: request.Rate(rate), HandedAt: epoch.Add(args.duration("handed"))}
		runner.notices = runner.gate.RecordRate(runner.now, stated, runner.notices)
	case "adopt":
		runner.gate.AdoptRate(runner.now, request.Rate(args.number("limit")))
	case "reset":
		runner.gate.ResetRate()
	case "close":
		runner.notices = runner.gate.RefuseQueued(request.Draining, runner.notices)
	case "rate":
		rate := runner.gate.Rate(runner.now)
		results = append(results, fmt.Sprintf("limited=%t limit=%g wait=%s", rate.Limited, rate.Limit, rate.Wait.Round(time.Millisecond)))
	case "show":
		results = append(results, fmt.Sprintf("limit=%d running=%d waiting=%d level=%d", runner.gate.Limit(), runner.gate.Running(), runner.gate.Waiting(), runner.gate.Level("agenda/checklist", runner.now)))
	default:
		t.Fatalf("unknown event %q", words[1])
	}
	for _, notice := range runner.notices {
		results = append(results, fmt.Sprintf("%d:%s", notice.Call, decisionText(notice.Decision)))
	}
	return strings.Join(results, " ")
}

func decisionText(decision admission.Decision) string {
	switch decision.Verdict {
	case admission.Admit:
		return "admit"
	case admission.Wait:
		return "wait"
	}
	return decision.Code.String()
}

// arguments are words of the form NAME=VALUE or NAME.
type arguments []string

func (args arguments) find(name string) (string, bool) {
	for _, word := range args {
		if key, value, _ := strings.Cut(word, "="); key == name {
			return value, true
		}
	}
	return "", false
}

func (args arguments) has(name string) bool {
	_, ok := args.find(name)
	return ok
}

func (args arguments) number(name string) int {
	value, _ := args.find(name)
	number, _ := strconv.Atoi(value)
	return number
}

func (args arguments) duration(name string) time.Duration {
	value, _ := args.find(name)
	duration, _ := time.ParseDuration(value)
	return duration
}
