package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

func (guard *Guard) applyReport(now time.Time, report Report) {
	at := now.Add(-report.Age)
	switch report.Event {
	case TargetCrashed:
		guard.applyCrash(at, report)
	case SuspectCompleted:
		for _, fingerprint := range report.Fingerprints {
			guard.completeSuspect(at, fingerprint)
		}
	case RefusedResent:
		for _, fingerprint := range report.Fingerprints {
			guard.extendHold(at, fingerprint)
		}
	}
}

// applyCrash applies the report of a crash at the given time. A suspect whose hold
// time has passed since then stays until [Guard.Expire], because the report of a
// later resend may follow.
func (guard *Guard) applyCrash(at time.Time, report Report) {
	suspects := guard.suspectsByCrash[report.Crash]
	if suspects == nil {
		suspects = map[request.Fingerprint]bool{}
		guard.suspectsByCrash[report.Crash] = suspects
	}
	for _, fingerprint := range report.Fingerprints {
		if at.Before(guard.completedAt[fingerprint]) {
			continue
		}
		if guard.addCrash(at, fingerprint, report.Crash) {
			suspects[fingerprint] = true
		}
	}
	guard.restrictRepeated(suspects)
}

// addCrash adds the crash to the suspect with this fingerprint, which it creates
// if needed. It returns false if the maximum number of suspects is reached.
func (guard *Guard) addCrash(at time.Time, fingerprint request.Fingerprint, crash Crash) bool {
	suspect := guard.findSuspect(at, fingerprint)
	if suspect == nil {
		if len(guard.suspects) >= maxSuspects {
			return false
		}
		suspect = &suspectRecord{restriction: SingleTarget}
		guard.suspects[fingerprint] = suspect
		guard.suspectCount.Store(int64(len(guard.suspects)))
	}
	if suspect.hasCrash(crash) {
		return true
	}
	suspect.lastCrashAt = later(suspect.lastCrashAt, at)
	suspect.expiresAt = later(suspect.expiresAt, at.Add(guard.Hold))
	if len(suspect.crashes) < maxCrashesPerSuspect {
		suspect.crashes = append(suspect.crashes, crash)
	}
	return true
}

func later(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

// restrictRepeated sets the restriction of those requests of one crash that were
// in flight at another crash too. If there are several, only those with the most
// crashes count. A single one is refused; several are restricted to other
// failure domains, to find out which one is the poison request.
func (guard *Guard) restrictRepeated(suspects map[request.Fingerprint]bool) {
	mostCrashes := 0
	var common []*suspectRecord
	for fingerprint := range suspects {
		suspect := guard.suspects[fingerprint]
		if suspect == nil || len(suspect.crashes) < crashThreshold {
			continue
		}
		if len(suspect.crashes) > mostCrashes {
			mostCrashes = len(suspect.crashes)
			common = common[:0]
		}
		if len(suspect.crashes) == mostCrashes {
			common = append(common, suspect)
		}
	}
	restriction := OtherDomains
	if len(common) == 1 {
		restriction = Refused
	}
	for _, suspect := range common {
		if suspect.restriction != Refused {
			suspect.restriction = restriction
		}
	}
}

// completeSuspect clears a suspect that a target completed at the given time, unless
// a target has crashed with it since.
func (guard *Guard) completeSuspect(at time.Time, fingerprint request.Fingerprint) {
	suspect := guard.suspects[fingerprint]
	if suspect != nil && at.Before(suspect.lastCrashAt) {
		return
	}
	guard.noteCompleted(at, fingerprint)
	guard.clearSuspect(fingerprint)
}

// noteCompleted records the completion, since reports of earlier crashes may follow.
func (guard *Guard) noteCompleted(at time.Time, fingerprint request.Fingerprint) {
	known, recorded := guard.completedAt[fingerprint]
	if recorded || len(guard.completedAt) < maxSuspects {
		guard.completedAt[fingerprint] = later(known, at)
	}
}

// clearSuspect removes a suspect that a target completed. This may leave a
// single suspect common to two crashes, which is then refused.
func (guard *Guard) clearSuspect(fingerprint request.Fingerprint) {
	suspect := guard.suspects[fingerprint]
	if suspect == nil {
		return
	}
	guard.removeSuspect(fingerprint)
	for _, crash := range suspect.crashes {
		suspects := guard.suspectsByCrash[crash]
		delete(suspects, fingerprint)
		guard.restrictRepeated(suspects)
	}
}

func (guard *Guard) extendHold(at time.Time, fingerprint request.Fingerprint) {
	suspect := guard.findSuspect(at, fingerprint)
	if suspect == nil || suspect.restriction != Refused {
		return
	}
	suspect.expiresAt = later(suspect.expiresAt, at.Add(guard.Hold))
	suspect.lastResendReport = later(suspect.lastResendReport, at)
}
