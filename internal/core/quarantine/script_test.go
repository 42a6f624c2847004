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

// script runs one data file: a line is "TIME EVENT GUARD ARGUMENTS => ANSWER",
// or a comment that begins with a number sign. A guard is made when it is
// first named.
type script struct {
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
	running := &script{t: t, guards: map[string]*quarantine.Guard{}}
	for index, written := range strings.Split(string(text), "\n") {
		if written == "" || strings.HasPrefix(written, "#") {
			continue
		}
		event, wanted, _ := strings.Cut(written, " =>")
		got := running.step(strings.Fields(event))
		expect.Expect(got).To(gomega.Equal(strings.TrimSpace(wanted)), "%s:%d: %s", path, index+1, written)
	}
}

func (s *script) step(words []string) string {
	since, err := time.ParseDuration(words[0])
	if err != nil {
		s.t.Fatalf("time %q: %v", words[0], err)
	}
	now := start.Add(since)
	guard, rest := s.guard(words[2]), words[3:]
	switch words[1] {
	case "crash":
		guard.Apply(now, crash(request.NodeID(rest[0]), request.DomainName(rest[1]), s.fingerprints(rest[2:])...))
	case "finished":
		guard.Apply(now, quarantine.Report{Event: quarantine.Finished, Fingerprints: s.fingerprints(rest)})
	case "judge":
		return ruling(guard.Judge(now, s.fingerprints(rest)[0]))
	case "quarantined":
		return strconv.Itoa(guard.Quarantined(now))
	case "pass":
		for _, report := range guard.Reports() {
			s.guard(rest[0]).Apply(now, report)
		}
	case "reports":
		return reports(guard.Reports())
	case "expire":
		guard.Expire(now)
	case "hold":
		hold, err := time.ParseDuration(rest[0])
		if err != nil {
			s.t.Fatal(err)
		}
		guard.SetHold(hold)
	default:
		return s.target(now, guard, words[1], rest)
	}
	return ""
}

// target runs an event at the node of a target.
func (s *script) target(now time.Time, guard *quarantine.Guard, event string, rest []string) string {
	switch event {
	case "admit":
		return []string{"run", "wait", "refuse"}[guard.Admit(now, s.fingerprints(rest[:1])[0], s.ticket(rest[1]))]
	case "finish", "fail":
		return tickets(guard.Finish(now, s.ticket(rest[0]), event == "finish"))
	case "leave":
		guard.Leave(s.ticket(rest[0]))
	case "waiting":
		return tickets(guard.Waiting())
	case "die":
		report, first := guard.TargetDied(now, s.ticket(rest[0]))
		if !first {
			return "known"
		}
		return list(report.Fingerprints, " ")
	default:
		s.t.Fatalf("unknown event %q", event)
	}
	return ""
}

func (s *script) guard(name string) *quarantine.Guard {
	if s.guards[name] == nil {
		s.guards[name] = newGuard(request.NodeID(name), "norte-1")
	}
	return s.guards[name]
}

func (s *script) fingerprints(words []string) []request.Fingerprint {
	var found []request.Fingerprint
	for _, word := range words {
		found = append(found, request.Fingerprint(s.number(word)))
	}
	return found
}

func (s *script) ticket(word string) quarantine.Ticket {
	return quarantine.Ticket(s.number(strings.TrimPrefix(word, "ticket=")))
}

func (s *script) number(word string) uint64 {
	value, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return value
}

func ruling(given quarantine.Ruling) string {
	text := []string{"free", "alone", "elsewhere", "refused"}[given.Verdict]
	if len(given.Nodes) > 0 {
		text += " nodes=" + list(given.Nodes, ",")
	}
	if len(given.Domains) > 0 {
		text += " domains=" + list(given.Domains, ",")
	}
	return text
}

func reports(given []quarantine.Report) string {
	names := map[quarantine.Event]string{quarantine.Crashed: "crashed", quarantine.Finished: "finished", quarantine.Resent: "resent"}
	var texts []string
	for _, report := range given {
		texts = append(texts, names[report.Event]+":"+list(report.Fingerprints, ","))
	}
	return strings.Join(texts, " ")
}

func tickets(given []quarantine.Ticket) string {
	return list(given, " ")
}

func list[Value any](values []Value, separator string) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprint(value))
	}
	return strings.Join(texts, separator)
}
