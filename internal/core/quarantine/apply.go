package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

func (guard *Guard) applyReport(now time.Time, report Report) {
	switch report.Event {
	case TargetCrashed:
		guard.applyCrash(now, report)
	case SuspectCompleted:
		for _, fingerprint := range report.Fingerprints {
			guard.clearSuspect(fingerprint)
		}
	case RefusedResent:
		for _, fingerprint := range report.Fingerprints {
			guard.extendHold(now, fingerprint)
		}
	}
}

func (guard *Guard) applyCrash(now time.Time, report Report) {
	suspects := guard.suspectsByCrash[report.Crash]
	if suspects == nil {
		suspects = map[request.Fingerprint]bool{}
		guard.suspectsByCrash[report.Crash] = suspects
	}
	for _, fingerprint := range report.Fingerprints {
		if guard.addCrash(now, fingerprint, report.Crash) {
			suspects[fingerprint] = true
		}
	}
	guard.restrictRepeated(suspects)
}

// addCrash adds the crash to the suspect with this fingerprint, which it creates
// if needed. It returns false if the maximum number of suspects is reached.
func (guard *Guard) addCrash(now time.Time, fingerprint request.Fingerprint, crash Crash) bool {
	suspect := guard.findSuspect(now, fingerprint)
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
	suspect.expiresAt = now.Add(guard.Hold)
	if len(suspect.crashes) < maxCrashesPerSuspect {
		suspect.crashes = append(suspect.crashes, crash)
	}
	return true
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

func (guard *Guard) extendHold(now time.Time, fingerprint request.Fingerprint) {
	suspect := guard.findSuspect(now, fingerprint)
	if suspect == nil || suspect.restriction != Refused {
		return
	}
	suspect.expiresAt = now.Add(guard.Hold)
	suspect.lastResendReport = now
}
