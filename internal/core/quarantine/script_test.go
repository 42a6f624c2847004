package quarantine_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// scriptRunner runs one file of testdata. A line is "TIME EVENT GUARD ARGUMENTS =>
// RESULT", or a comment that starts with a number sign. A guard is created when it
// is first named.
type scriptRunner struct {
	t      *testing.T
	guards map[string]*quarantine.Guard
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
	runner := &scriptRunner{t: t, guards: map[string]*quarantine.Guard{}}
	for index, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		event, want, _ := strings.Cut(line, " =>")
		got := runner.step(strings.Fields(event))
		expect.Expect(got).To(gomega.Equal(strings.TrimSpace(want)), "%s:%d: %s", path, index+1, line)
	}
}

func (runner *scriptRunner) step(words []string) string {
	offset, err := time.ParseDuration(words[0])
	if err != nil {
		runner.t.Fatalf("time %q: %v", words[0], err)
	}
	now := start.Add(offset)
	guard, rest := runner.guard(words[2]), words[3:]
	rest, age := runner.age(rest)
	switch words[1] {
	case "crash":
		report := newCrashReport(request.NodeID(rest[0]), request.DomainName(rest[1]), runner.fingerprints(rest[2:])...)
		report.Age = age
		guard.Apply(now, report)
	case "finished":
		guard.Apply(now, quarantine.Report{Event: quarantine.SuspectCompleted, Fingerprints: runner.fingerprints(rest), Age: age})
	case "resent":
		guard.Apply(now, quarantine.Report{Event: quarantine.RefusedResent, Fingerprints: runner.fingerprints(rest), Age: age})
	case "decide":
		return formatDecision(guard.Decide(now, runner.fingerprints(rest)[0]))
	case "quarantined":
		return strconv.Itoa(guard.QuarantinedCount(now))
	case "pass":
		for _, report := range guard.TakeReports() {
			runner.guard(rest[0]).Apply(now, report)
		}
	case "reports":
		return formatReports(guard.TakeReports())
	case "expire":
		guard.Expire(now)
	case "hold":
		hold, err := time.ParseDuration(rest[0])
		if err != nil {
			runner.t.Fatal(err)
		}
		guard.SetHold(hold)
	default:
		return runner.targetStep(now, guard, words[1], rest)
	}
	return ""
}

// age takes a last word "age=DURATION" off the words.
func (runner *scriptRunner) age(words []string) ([]string, time.Duration) {
	if len(words) == 0 || !strings.HasPrefix(words[len(words)-1], "age=") {
		return words, 0
	}
	age, err := time.ParseDuration(strings.TrimPrefix(words[len(words)-1], "age="))
	if err != nil {
		runner.t.Fatal(err)
	}
	return words[:len(words)-1], age
}

// targetStep runs an event on the node of a target.
func (runner *scriptRunner) targetStep(now time.Time, guard *quarantine.Guard, event string, rest []string) string {
	switch event {
	case "admit":
		return []string{"run", "wait", "refuse"}[guard.Admit(now, runner.fingerprints(rest[:1])[0], runner.ticket(rest[1]))]
	case "finish", "fail":
		return formatTickets(guard.Finish(now, runner.ticket(rest[0]), event == "finish"))
	case "leave":
		guard.CancelWaiting(runner.ticket(rest[0]))
	case "waiting":
		return formatTickets(guard.TakeWaiting())
	case "die":
		report, first := guard.TargetDied(now, runner.ticket(rest[0]))
		if !first {
			return "known"
		}
		return formatList(report.Fingerprints, " ")
	default:
		runner.t.Fatalf("unknown event %q", event)
	}
	return ""
}

func (runner *scriptRunner) guard(name string) *quarantine.Guard {
	if runner.guards[name] == nil {
		runner.guards[name] = newGuard(request.NodeID(name), "norte-1")
	}
	return runner.guards[name]
}

func (runner *scriptRunner) fingerprints(words []string) []request.Fingerprint {
	var fingerprints []request.Fingerprint
	for _, word := range words {
		fingerprints = append(fingerprints, request.Fingerprint(runner.number(word)))
	}
	return fingerprints
}

func (runner *scriptRunner) ticket(word string) quarantine.Ticket {
	return quarantine.Ticket(runner.number(strings.TrimPrefix(word, "ticket=")))
}

func (runner *scriptRunner) number(word string) uint64 {
	value, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		runner.t.Fatal(err)
	}
	return value
}

func formatDecision(decision quarantine.Decision) string {
	text := []string{"unrestricted", "single-target", "other-domains", "refused"}[decision.Restriction]
	if len(decision.ExcludedNodes) > 0 {
		text += " nodes=" + formatList(decision.ExcludedNodes, ",")
	}
	if len(decision.ExcludedDomains) > 0 {
		text += " domains=" + formatList(decision.ExcludedDomains, ",")
	}
	return text
}

func formatReports(reports []quarantine.Report) string {
	names := map[quarantine.Event]string{quarantine.TargetCrashed: "crashed", quarantine.SuspectCompleted: "finished", quarantine.RefusedResent: "resent"}
	var texts []string
	for _, report := range reports {
		texts = append(texts, names[report.Event]+":"+formatList(report.Fingerprints, ","))
	}
	return strings.Join(texts, " ")
}

func formatTickets(tickets []quarantine.Ticket) string {
	return formatList(tickets, " ")
}

func formatList[Value any](values []Value, separator string) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprint(value))
	}
	return strings.Join(texts, separator)
}
