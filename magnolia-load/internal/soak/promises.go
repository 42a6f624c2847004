package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	// leastRecovered is the share of requests that are answered whole once the
	// site must have recovered.
	leastRecovered = 0.95
	// mostMemory and mostFiles bound a process that has served a small load.
	mostMemory = 400 << 20
	mostFiles  = 2000
)

// seen is what callers, targets, operators and the system's own process list
// showed of a run.
type seen struct {
	kinds   []load.Kind
	samples []load.Sample
	records *target.Records
	changes []change
	// finally is what each host's operators read at the end.
	finally []reading
	// back lists versions in force that fell within one life of a process.
	back []string
	// exits lists processes that ended by themselves, and overdue planned stops
	// that took too long.
	exits   []string
	overdue []string
	sizes   []size
	// recovered is the span in which the site must serve again.
	recovered load.Span
}

// reading is the newest configuration as one host tells it.
type reading struct {
	host    string
	version int
	text    string
	failure error
}

// size is what a process holds at the end.
type size struct {
	host   string
	memory int
	files  int
	// failure is why it is not known, as of a process that does not run.
	failure error
}

// broken lists the promises that were not kept.
func (all seen) broken() []string {
	return slices.Concat(all.answers(), all.once(), all.accepted(), all.processes(), all.recovery())
}

// answers: what claims to be a success is whole, and the caller's own.
func (all seen) answers() []string {
	wrong := load.Results(all.samples)[load.Wrong]
	if wrong == 0 {
		return nil
	}
	return []string{fmt.Sprintf("whole answers: %d answers claimed success and were cut, damaged or another caller's", wrong)}
}

// once: an action runs at most once, and not at all if it was told so.
func (all seen) once() []string {
	var broken []string
	repeated, denied := load.Overruns(all.samples, all.kinds, all.records)
	if repeated > 0 {
		broken = append(broken, fmt.Sprintf("at most once: %d actions ran more than once", repeated))
	}
	if denied > 0 {
		broken = append(broken, fmt.Sprintf("not run: %d actions ran though each attempt was told that it did not", denied))
	}
	return broken
}

// accepted: each acknowledged change has a version of its own, and at the end
// every host tells the newest one.
func (all seen) accepted() []string {
	var broken []string
	byVersion := make(map[int]int)
	newest := change{}
	for _, sent := range all.changes {
		if sent.Version == 0 {
			continue
		}
		if other, taken := byVersion[sent.Version]; taken {
			broken = append(broken, fmt.Sprintf("one version: %d was acknowledged for the deadlines %d and %d", sent.Version, other, sent.Deadline))
		}
		byVersion[sent.Version] = sent.Deadline
		if sent.Version > newest.Version {
			newest = sent
		}
	}
	for _, told := range all.finally {
		switch {
		case told.failure != nil:
			broken = append(broken, fmt.Sprintf("configuration: %s does not tell it at the end: %v", told.host, told.failure))
		case told.version < newest.Version:
			broken = append(broken, fmt.Sprintf("never lost: %s tells version %d, and %d was acknowledged", told.host, told.version, newest.Version))
		case told.version == newest.Version && newest.Version > 0 && !strings.Contains(told.text, deadlineText(newest.Deadline)):
			broken = append(broken, fmt.Sprintf("never lost: %s tells another version %d than was acknowledged", told.host, told.version))
		}
	}
	for _, fall := range all.back {
		broken = append(broken, "never back: "+fall)
	}
	return broken
}

// deadlineText is a deadline as the operators of the soak write it.
func deadlineText(milliseconds int) string {
	return fmt.Sprintf(`"%dms"`, milliseconds)
}

// processes: none ends by itself, stops end in time, and none grows without
// bound.
func (all seen) processes() []string {
	var broken []string
	for _, exit := range all.exits {
		broken = append(broken, "processes: "+exit)
	}
	for _, host := range all.overdue {
		broken = append(broken, "stop: "+host+" did not end within its bound")
	}
	for _, one := range all.sizes {
		if one.failure != nil {
			broken = append(broken, fmt.Sprintf("size: that of %s cannot be read: %v", one.host, one.failure))
		}
		if one.memory > mostMemory || one.files > mostFiles {
			broken = append(broken, fmt.Sprintf("size: %s holds %d bytes of memory and %d files", one.host, one.memory, one.files))
		}
	}
	return broken
}

// recovery: after the last fault nearly all requests are answered whole.
func (all seen) recovery() []string {
	if share := all.whole(all.recovered); share < leastRecovered {
		return []string{fmt.Sprintf("recovery: %.3f of the requests were answered whole after the last fault", share)}
	}
	return nil
}

// whole is the share of requests of a span that were answered whole.
func (all seen) whole(span load.Span) float64 {
	asked, whole := 0, 0
	for _, sample := range all.samples {
		if !span.Holds(sample.Arrived) {
			continue
		}
		asked++
		if sample.Whole() {
			whole++
		}
	}
	if asked == 0 {
		return 0
	}
	return float64(whole) / float64(asked)
}
