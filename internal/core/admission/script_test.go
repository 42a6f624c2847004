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

// script runs one data file: a line is "TIME EVENT ARGUMENTS => DECISIONS", or
// a comment that begins with a number sign.
type script struct {
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
	running := &script{gate: &admission.Gate{Below: &admission.Levels{}}}
	for index, written := range strings.Split(string(text), "\n") {
		if written == "" || strings.HasPrefix(written, "#") {
			continue
		}
		event, wanted, _ := strings.Cut(written, " => ")
		got := running.step(t, strings.Fields(event))
		expect.Expect(got).To(gomega.Equal(wanted), "%s:%d: %s", path, index+1, written)
	}
}

func (s *script) step(t *testing.T, words []string) string {
	since, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatalf("time %q: %v", words[0], err)
	}
	s.now = epoch.Add(since)
	s.notices = s.notices[:0]
	values := arguments(words[2:])
	call := request.CallID(values.number("call"))
	answer := []string{}
	switch words[1] {
	case "gate":
		s.gate.Slots, s.gate.Warm = values.number("slots"), values.has("warm")
	case "arrive":
		work := request.Work{Call: call, RootKind: "agenda/checklist", Spent: values.time("spent"), Deadline: s.now.Add(values.time("within"))}
		work.Priority = request.NewPriority(request.Importance(values.number("importance")), request.Bucket(values.number("bucket")))
		var decision admission.Decision
		decision, s.notices = s.gate.Arrive(s.now, work, s.notices)
		answer = append(answer, spell(decision))
	case "finish":
		s.notices = s.gate.Finish(s.now, call, admission.Sample{Latency: values.time("latency"), Result: admission.Succeeded}, s.notices)
	case "cancel":
		s.notices = s.gate.Cancel(s.now, call, s.notices)
	case "tick":
		s.notices = s.gate.Tick(s.now, s.notices)
	case "learn":
		s.gate.Below.Learn("consumo", "agenda/checklist", request.Level(values.number("level")), s.now)
	case "show":
		answer = append(answer, fmt.Sprintf("limit=%d running=%d waiting=%d level=%d", s.gate.Limit(), s.gate.Running(), s.gate.Waiting(), s.gate.Level("agenda/checklist", s.now)))
	default:
		t.Fatalf("unknown event %q", words[1])
	}
	for _, notice := range s.notices {
		answer = append(answer, fmt.Sprintf("%d:%s", notice.Call, spell(notice.Decision)))
	}
	return strings.Join(answer, " ")
}

func spell(decision admission.Decision) string {
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

func (a arguments) find(name string) (string, bool) {
	for _, word := range a {
		if key, value, _ := strings.Cut(word, "="); key == name {
			return value, true
		}
	}
	return "", false
}

func (a arguments) has(name string) bool {
	_, ok := a.find(name)
	return ok
}

func (a arguments) number(name string) int {
	value, _ := a.find(name)
	number, _ := strconv.Atoi(value)
	return number
}

func (a arguments) time(name string) time.Duration {
	value, _ := a.find(name)
	length, _ := time.ParseDuration(value)
	return length
}
