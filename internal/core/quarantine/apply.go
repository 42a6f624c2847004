package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

func (guard *Guard) apply(now time.Time, report Report) {
	switch report.Event {
	case Crashed:
		guard.applyCrash(now, report)
	case Finished:
		for _, fingerprint := range report.Fingerprints {
			guard.clear(fingerprint)
		}
	case Resent:
		for _, fingerprint := range report.Fingerprints {
			guard.extend(now, fingerprint)
		}
	}
}

func (guard *Guard) applyCrash(now time.Time, report Report) {
	members := guard.crashes[report.Crash]
	if members == nil {
		members = map[request.Fingerprint]bool{}
		guard.crashes[report.Crash] = members
	}
	for _, fingerprint := range report.Fingerprints {
		if guard.suspect(now, fingerprint, report.Crash) {
			members[fingerprint] = true
		}
	}
	guard.convict(members)
}

// suspect adds the crash to the record of a fingerprint.
func (guard *Guard) suspect(now time.Time, fingerprint request.Fingerprint, crash Crash) bool {
	found := guard.find(now, fingerprint)
	if found == nil {
		if len(guard.records) >= maxRecords {
			return false
		}
		found = &record{verdict: Alone}
		guard.records[fingerprint] = found
		guard.known.Store(int64(len(guard.records)))
	}
	if found.has(crash) {
		return true
	}
	found.until = now.Add(guard.Hold)
	if len(found.crashes) < maxCrashes {
		found.crashes = append(found.crashes, crash)
	}
	return true
}

// convict settles the requests that were at this crash and an earlier one. A
// single one is refused; several are told apart in other failure domains.
func (guard *Guard) convict(members map[request.Fingerprint]bool) {
	most := 0
	var common []*record
	for fingerprint := range members {
		found := guard.records[fingerprint]
		if found == nil || len(found.crashes) < crashesPerDomain {
			continue
		}
		if len(found.crashes) > most {
			most = len(found.crashes)
			common = common[:0]
		}
		if len(found.crashes) == most {
			common = append(common, found)
		}
	}
	verdict := Elsewhere
	if len(common) == 1 {
		verdict = Refused
	}
	for _, found := range common {
		if found.verdict != Refused {
			found.verdict = verdict
		}
	}
}

// clear drops the suspicion against a request that ran to its end.
func (guard *Guard) clear(fingerprint request.Fingerprint) {
	found := guard.records[fingerprint]
	if found == nil {
		return
	}
	guard.forget(fingerprint)
	for _, crash := range found.crashes {
		members := guard.crashes[crash]
		delete(members, fingerprint)
		guard.convict(members)
	}
}

func (guard *Guard) extend(now time.Time, fingerprint request.Fingerprint) {
	found := guard.find(now, fingerprint)
	if found == nil || found.verdict != Refused {
		return
	}
	found.until = now.Add(guard.Hold)
	found.renewed = now
}
