package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	// minRecoveredShare is the share of requests that must succeed once the site has
	// had time to recover.
	minRecoveredShare = 0.95
	// maxMemoryBytes and maxOpenFiles bound a process that has served a small load.
	maxMemoryBytes = 400 << 20
	maxOpenFiles   = 2000
	// In any rateWindow, from rateGracePeriod after a target first stated its rate limit, it
	// gets at most maxRateFactor times what the limit allows and maxRateExcess calls more.
	rateWindow      = 4 * time.Second
	rateGracePeriod = 3 * time.Second
	maxRateFactor   = 1.5
	maxRateExcess   = 5
	// killMargin is the time by which the record of a kill may differ from its effect.
	killMargin = 500 * time.Millisecond
)

// observations are what callers, targets, operators and the system's process list
// showed of a run.
type observations struct {
	kinds   []load.Kind
	samples []load.Sample
	records *target.Records
	changes []change
	// finalConfigurations holds the configuration that each host reported at the end.
	finalConfigurations []configurationReading
	// versionRegressions lists the cases where the version in force on a process decreased
	// before that process ended.
	versionRegressions []string
	// outdated lists the cases where a process had an older version in force than one that
	// was acknowledged some time ago, and staleReads those where a read gave an older one.
	outdated, staleReads []string
	// unexpectedExits lists processes that ended without being told to, and
	// overdueStops planned stops that took too long.
	unexpectedExits []string
	overdueStops    []string
	// kills holds when each host was killed, by the index of the host.
	kills        map[int][]time.Duration
	resourceUses []resourceUse
	// group holds what each replica told of the group after the recovery.
	group []groupReading
	// limitedPeriods are the times in which targets stated a rate limit.
	limitedPeriods []target.LimitedPeriod
	// floodSentAt holds when each call of the customer over its quota was sent, and
	// admittedWithdrawn counts calls with a withdrawn key that were served.
	floodSentAt       map[target.AttemptName]time.Time
	admittedWithdrawn int
	// logsWithKeys are the processes' logs that have a customer's key.
	logsWithKeys []string
	// recoverySpan is the span in which the site must serve again.
	recoverySpan load.Span
}

// configurationReading is the newest configuration that one host reported.
type configurationReading struct {
	host    string
	version int
	text    string
	err     error
}

// resourceUse is what one process used at the end.
type resourceUse struct {
	host        string
	memoryBytes int
	openFiles   int
	// err is set if the use is not known, for example because the process has ended.
	err error
}

// brokenPromises describes the promises that were not kept.
func (observed observations) brokenPromises() []string {
	return slices.Concat(observed.checkAnswers(), observed.checkCuts(), observed.checkAtMostOnce(), observed.checkChanges(), observed.checkProcesses(), observed.checkRates(), observed.checkRecovery(), observed.checkWholeGroup(), observed.checkKeys(), observed.checkNames(), observed.checkQuota())
}

// checkAnswers checks that each success response is complete and for the caller's
// own request.
func (observed observations) checkAnswers() []string {
	wrong := load.CountResults(observed.samples)[load.ResultWrong]
	if wrong == 0 {
		return nil
	}
	return []string{fmt.Sprintf("whole answers: %d success responses were truncated, corrupted or for another request", wrong)}
}

// checkCuts checks that each request that its entry process got whole is answered, unless
// that process was killed.
func (observed observations) checkCuts() []string {
	var broken []string
	for _, sample := range observed.samples {
		for _, attempt := range sample.Attempts {
			if attempt.Cut && !observed.wasKilled(sample.EntryIndex, attempt) {
				broken = append(broken, fmt.Sprintf("no cut: %s at host %d, sent at %s, was cut at %s", attempt.Name, sample.EntryIndex, attempt.SentAt, attempt.EndedAt))
			}
		}
	}
	return broken
}

// wasKilled reports whether a host was killed during the attempt.
func (observed observations) wasKilled(host int, attempt load.Attempt) bool {
	return slices.ContainsFunc(observed.kills[host], func(at time.Duration) bool {
		return at >= attempt.SentAt-killMargin && at <= attempt.EndedAt+killMargin
	})
}

// checkAtMostOnce checks that an action runs at most once, and not at all if every
// attempt was told so.
func (observed observations) checkAtMostOnce() []string {
	var broken []string
	repeated, denied := load.CountRunViolations(observed.samples, observed.kinds, observed.records)
	if repeated > 0 {
		broken = append(broken, fmt.Sprintf("at most once: %d actions ran more than once", repeated))
	}
	if denied > 0 {
		broken = append(broken, fmt.Sprintf("not run: %d actions ran although every attempt was told that they did not", denied))
	}
	return broken
}

// checkChanges checks that each acknowledged change has its own version, and that
// every host reports the newest one at the end.
func (observed observations) checkChanges() []string {
	var broken []string
	byVersion, byBase := make(map[int]int), make(map[int]int)
	newest := change{}
	for _, sent := range observed.changes {
		if sent.AcknowledgedVersion == 0 {
			continue
		}
		if other, taken := byVersion[sent.AcknowledgedVersion]; taken {
			broken = append(broken, fmt.Sprintf("one version: version %d was acknowledged for two changes, which set the deadlines %d ms and %d ms", sent.AcknowledgedVersion, other, sent.DeadlineMS))
		}
		byVersion[sent.AcknowledgedVersion] = sent.DeadlineMS
		if other, taken := byBase[sent.Base]; taken {
			broken = append(broken, fmt.Sprintf("one winner: versions %d and %d were acknowledged on top of version %d", other, sent.AcknowledgedVersion, sent.Base))
		}
		byBase[sent.Base] = sent.AcknowledgedVersion
		if sent.AcknowledgedVersion > newest.AcknowledgedVersion {
			newest = sent
		}
	}
	for _, reported := range observed.finalConfigurations {
		switch {
		case reported.err != nil:
			broken = append(broken, fmt.Sprintf("configuration: %s did not report it at the end: %v", reported.host, reported.err))
		case reported.version < newest.AcknowledgedVersion:
			broken = append(broken, fmt.Sprintf("never lost: %s reports version %d, but version %d was acknowledged", reported.host, reported.version, newest.AcknowledgedVersion))
		case reported.version == newest.AcknowledgedVersion && newest.AcknowledgedVersion > 0 && !strings.Contains(reported.text, deadlineText(newest.DeadlineMS)):
			broken = append(broken, fmt.Sprintf("never lost: %s reports a version %d that differs from the acknowledged one", reported.host, reported.version))
		}
	}
	for _, regression := range observed.versionRegressions {
		broken = append(broken, "never back: "+regression)
	}
	return slices.Concat(broken, observed.outdated, observed.staleReads)
}

// deadlineText returns a deadline as it appears in the configuration text.
func deadlineText(milliseconds int) string {
	return fmt.Sprintf(`"%dms"`, milliseconds)
}

// checkProcesses checks that no process ended without being told to, that planned
// stops ended in time, and that memory and open files stayed within their bounds.
func (observed observations) checkProcesses() []string {
	var broken []string
	for _, exit := range observed.unexpectedExits {
		broken = append(broken, "processes: "+exit)
	}
	for _, host := range observed.overdueStops {
		broken = append(broken, "stop: "+host+" did not end within the time limit")
	}
	for _, use := range observed.resourceUses {
		if use.err != nil {
			broken = append(broken, fmt.Sprintf("size: the resource use of %s cannot be read: %v", use.host, use.err))
		}
		if use.memoryBytes > maxMemoryBytes || use.openFiles > maxOpenFiles {
			broken = append(broken, fmt.Sprintf("size: %s uses %d bytes of memory and %d open files", use.host, use.memoryBytes, use.openFiles))
		}
	}
	return broken
}

// checkRates checks that targets got no more calls than the rate limits that they stated.
func (observed observations) checkRates() []string {
	var broken []string
	for _, period := range observed.limitedPeriods {
		allowed := maxRateFactor*float64(period.Limit)*rateWindow.Seconds() + maxRateExcess
		if most := mostArrivals(period); float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("rate limit: a target that stated %g calls a second from %s on got %d in %s, allowed %g; it got all its calls at %s", float64(period.Limit), period.StatedAt.Format(time.TimeOnly), most, rateWindow, allowed, arrivalTimes(period)))
		}
	}
	return broken
}

// arrivalTimes gives the arrivals of a period relative to the first statement of its limit.
func arrivalTimes(period target.LimitedPeriod) []time.Duration {
	var times []time.Duration
	for _, at := range period.Arrivals {
		times = append(times, at.Sub(period.StatedAt).Round(time.Millisecond))
	}
	return times
}

// mostArrivals returns the largest number of arrivals in any rateWindow after the grace
// period. It is zero for a limit that no answer stated.
func mostArrivals(period target.LimitedPeriod) int {
	if period.StatedAt.IsZero() {
		return 0
	}
	most, first := 0, 0
	for last, at := range period.Arrivals {
		for first < last && (at.Sub(period.Arrivals[first]) >= rateWindow || period.Arrivals[first].Sub(period.StatedAt) < rateGracePeriod) {
			first++
		}
		if at.Sub(period.StatedAt) >= rateGracePeriod {
			most = max(most, last-first+1)
		}
	}
	return most
}

// checkRecovery checks that nearly all requests succeed after the last fault.
func (observed observations) checkRecovery() []string {
	if share := observed.succeededShare(observed.recoverySpan); share < minRecoveredShare {
		return []string{fmt.Sprintf("recovery: only a share of %.3f of the requests succeeded after the last fault", share)}
	}
	return nil
}

// succeededShare returns the share of the requests of a span that succeeded.
func (observed observations) succeededShare(span load.Span) float64 {
	requests, succeeded := 0, 0
	for _, sample := range observed.samples {
		if !span.Contains(sample.ArrivedAt) {
			continue
		}
		requests++
		if sample.Succeeded() {
			succeeded++
		}
	}
	if requests == 0 {
		return 0
	}
	return float64(succeeded) / float64(requests)
}
