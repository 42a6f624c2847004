package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

var bookKind = load.Kind{Name: "agenda/book", Repeat: request.Once}

// allPromisesKept returns the observations of a run in which every promise was
// kept.
func allPromisesKept() observations {
	records := target.NewRecords()
	records.RecordRun(target.Action{Kind: bookKind.Name, Key: "one"})
	return observations{
		kinds:               []load.Kind{bookKind},
		samples:             []load.Sample{{Key: "one", ArrivedAt: time.Second, Attempts: []load.Attempt{{Result: load.ResultWhole}}}},
		records:             records,
		changes:             []change{{DeadlineMS: 1000, Base: 1, AcknowledgedVersion: 2}, {DeadlineMS: 1001, Base: 2}},
		finalConfigurations: []configurationReading{{host: "agenda-norte-a", version: 2, text: `"deadline": "1000ms"`}},
		resourceUses:        []resourceUse{{host: "agenda-norte-a", memoryBytes: 1 << 20, openFiles: 20}},
		recoverySpan:        load.Span{To: 2 * time.Second},
		group:               wholeGroup(),
	}
}

// wholeGroup returns what two replicas tell of their group when both vote.
func wholeGroup() []groupReading {
	listed := func(self string) groupList {
		return groupList{Self: self, Members: []groupMember{{ID: "a", Address: "127.0.0.1:1", Role: "leader"}, {ID: "b", Address: "127.0.0.1:2", Role: "voter"}}}
	}
	return []groupReading{
		{host: "agenda-norte-a", groupList: listed("a"), up: true, leaderKnown: true, voters: 2, inContact: 2},
		{host: "agenda-norte-b", groupList: listed("b"), up: true, leaderKnown: true, voters: 2},
	}
}

// Guards against a check that misses a broken promise, or blames another one: each
// case breaks one promise, and exactly that promise must be reported.
func TestEachBrokenPromiseIsReported(t *testing.T) {
	cases := map[string]func(observed *observations){
		"whole answers": func(observed *observations) {
			observed.samples[0].Attempts = append([]load.Attempt{{Result: load.ResultWrong}}, observed.samples[0].Attempts...)
		},
		"no cut": func(observed *observations) {
			cut := load.Attempt{Result: load.ResultBroken, Cut: true, SentAt: time.Second, EndedAt: 2 * time.Second}
			observed.samples = append(observed.samples, load.Sample{Key: "three", EntryIndex: 1, ArrivedAt: time.Hour, Attempts: []load.Attempt{cut}})
			// Another host was killed, and this one later.
			observed.kills = map[int][]time.Duration{0: {time.Second}, 1: {4 * time.Second}}
		},
		"rate limit": func(observed *observations) {
			since := time.Unix(1_000, 0)
			period := target.LimitedPeriod{Limit: 1, StatedAt: since}
			for call := range 12 {
				// Eleven calls in four seconds are allowed.
				period.Arrivals = append(period.Arrivals, since.Add(rateGracePeriod+time.Duration(call)*rateWindow/12))
			}
			observed.limitedPeriods = []target.LimitedPeriod{period}
		},
		"at most once": func(observed *observations) {
			observed.records.RecordRun(target.Action{Kind: bookKind.Name, Key: "one"})
		},
		"not run": func(observed *observations) {
			observed.samples = append(observed.samples, load.Sample{Key: "two", ArrivedAt: time.Hour, Attempts: []load.Attempt{{Result: load.ResultRefused, Outcome: request.NotRun.String()}}})
			observed.records.RecordRun(target.Action{Kind: bookKind.Name, Key: "two"})
		},
		"one version": func(observed *observations) {
			observed.changes = append(observed.changes, change{DeadlineMS: 1002, AcknowledgedVersion: 2})
		},
		"one winner": func(observed *observations) {
			observed.changes = append(observed.changes, change{DeadlineMS: 999, Base: 1, AcknowledgedVersion: 1})
		},
		"in force": func(observed *observations) { observed.outdated = []string{"in force: agenda-norte-a had version 1"} },
		"read": func(observed *observations) {
			observed.staleReads = []string{"read: agenda-norte-a answered with version 1"}
		},
		"never lost": func(observed *observations) { observed.changes[1].AcknowledgedVersion = 3 },
		"never lost: agenda-norte-a reports a version 2 that differs": func(observed *observations) { observed.finalConfigurations[0].text = `"deadline": "1001ms"` },
		"configuration": func(observed *observations) { observed.finalConfigurations[0].err = errors.New("503") },
		"never back": func(observed *observations) {
			observed.versionRegressions = []string{"agenda-norte-a had version 1 in force after 2"}
		},
		"processes": func(observed *observations) {
			observed.unexpectedExits = []string{"agenda-norte-a exited unexpectedly"}
		},
		"stop": func(observed *observations) { observed.overdueStops = []string{"agenda-norte-a"} },
		"size": func(observed *observations) { observed.resourceUses[0].openFiles = maxOpenFiles + 1 },
		"size: the resource use of agenda-norte-a cannot be read": func(observed *observations) {
			observed.resourceUses[0] = resourceUse{host: "agenda-norte-a", err: errors.New("no such process")}
		},
		"keys":                   func(observed *observations) { observed.admittedWithdrawn = 1 },
		"keys: a customer's key": func(observed *observations) { observed.logsWithKeys = []string{"agenda-norte-a/log"} },
		"names: a target got the key": func(observed *observations) {
			observed.records.RecordCustomer(target.CustomerArrival{Attempt: "one", Customer: callersCustomer, HasKey: true})
		},
		"names: a target was told": func(observed *observations) {
			observed.records.RecordCustomer(target.CustomerArrival{Attempt: "one", Customer: floodCustomer})
		},
		"quota": func(observed *observations) {
			// 152 requests in five seconds are allowed.
			observed.floodSentAt = make(map[target.AttemptName]time.Time)
			for number := range 153 {
				name, at := target.AttemptName(fmt.Sprint("flood-", number)), time.Unix(1_000, 0).Add(time.Duration(number)*30*time.Millisecond)
				observed.floodSentAt[name] = at
				observed.records.RecordCustomer(target.CustomerArrival{Attempt: name, Customer: floodCustomer, At: at.Add(10 * time.Millisecond)})
			}
		},
		"whole group: agenda-norte-b did not answer": func(observed *observations) {
			observed.group[1] = groupReading{host: "agenda-norte-b", err: errors.New("no quorum")}
		},
		"whole group: the metrics of agenda-norte-a":                                              func(observed *observations) { observed.group[0].up = false },
		"whole group: the metrics of agenda-norte-b":                                              func(observed *observations) { observed.group[1].leaderKnown = false },
		"whole group: the metrics of agenda-norte-a show up true, leader known true, 2 voters, 1": func(observed *observations) { observed.group[0].inContact = 1 },
		"whole group: the metrics of agenda-norte-b show up true, leader known true, 3 voters":    func(observed *observations) { observed.group[1].voters = 3 },
		"whole group: agenda-norte-a does not list agenda-norte-b, which is c": func(observed *observations) {
			observed.group[0].Members[1].ID, observed.group[1].Members[1].ID = "c", "c"
			observed.group[1].Self = "c"
			observed.group[0].Members[1].Role = roleLearner
		},
		"whole group: agenda-norte-a lists 3 members of a group of 2": func(observed *observations) {
			observed.group[0].Members = append(observed.group[0].Members, groupMember{ID: "lost", Address: "127.0.0.1:2", Role: "voter"})
		},
		"recovery": func(observed *observations) { observed.samples[0].Attempts[0].Result = load.ResultLate },
	}
	gomega.NewWithT(t).Expect(allPromisesKept().brokenPromises()).To(gomega.BeEmpty())
	for promise, breakPromise := range cases {
		t.Run(promise, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			observed := allPromisesKept()
			breakPromise(&observed)
			expect(observed.brokenPromises()).To(gomega.HaveLen(1))
			expect(observed.brokenPromises()[0]).To(gomega.HavePrefix(promise))
		})
	}
}

func TestKeysAreFoundInLogs(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	folder := t.TempDir()
	for name, line := range map[string]string{"one": "host: started", "two": "refused " + floodKey} {
		expect(os.Mkdir(filepath.Join(folder, name), 0o700)).To(gomega.Succeed())
		expect(os.WriteFile(filepath.Join(folder, name, "log"), []byte(line), fileMode)).To(gomega.Succeed())
	}
	expect(logsWithKeys(folder)).To(gomega.Equal([]string{filepath.Join(folder, "two", "log")}))
}
