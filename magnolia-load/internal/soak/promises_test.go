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
		changes:             []change{{DeadlineMS: 1000, AcknowledgedVersion: 2}, {DeadlineMS: 1001}},
		finalConfigurations: []configurationReading{{host: "agenda-norte-a", version: 2, text: `"deadline": "1000ms"`}},
		resourceUses:        []resourceUse{{host: "agenda-norte-a", memoryBytes: 1 << 20, openFiles: 20}},
		recoverySpan:        load.Span{To: 2 * time.Second},
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

// Guards against faults that outlast the plan, and against plans that lose more
// disks than a replica group survives.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const length = time.Minute
	kinds := map[FaultKind]int{}
	for seed := range uint64(50) {
		plan := NewPlan(seed, length, 12, 3)
		expect(plan).To(gomega.Equal(NewPlan(seed, length, 12, 3)))
		lost := 0
		for _, fault := range plan {
			kinds[fault.Kind]++
			expect(fault.At + fault.Duration).To(gomega.BeNumerically("<=", length))
			if fault.Kind == FaultLoseDisk {
				expect(fault.Host).To(gomega.BeNumerically("<", 3))
				lost++
			}
		}
		expect(lost).To(gomega.BeNumerically("<=", 1), "three replicas survive the loss of one disk")
	}
	expect(kinds).To(gomega.HaveLen(len(kindWeights)+len(separateKinds)), "every kind of fault is drawn")
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
