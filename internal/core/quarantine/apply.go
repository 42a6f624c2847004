package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

func (g *Guard) apply(now time.Time, report Report) {
	switch report.Event {
	case Crashed:
		g.applyCrash(now, report)
	case Finished:
		for _, fingerprint := range report.Fingerprints {
			g.clear(fingerprint)
		}
	case Resent:
		for _, fingerprint := range report.Fingerprints {
			g.extend(now, fingerprint)
		}
	}
}

func (g *Guard) applyCrash(now time.Time, report Report) {
	members := g.crashes[report.Crash]
	if members == nil {
		members = map[request.Fingerprint]bool{}
		g.crashes[report.Crash] = members
	}
	for _, fingerprint := range report.Fingerprints {
		if g.suspect(now, fingerprint, report.Crash) {
			members[fingerprint] = true
		}
	}
	g.convict(members)
}

// suspect adds the crash to the record of a fingerprint.
func (g *Guard) suspect(now time.Time, fingerprint request.Fingerprint, crash Crash) bool {
	found := g.find(now, fingerprint)
	if found == nil {
		if len(g.records) >= maxRecords {
			return false
		}
		found = &record{verdict: Alone}
		g.records[fingerprint] = found
		g.known.Store(int64(len(g.records)))
	}
	if found.has(crash) {
		return true
	}
	found.until = now.Add(g.Hold)
	if len(found.crashes) < maxCrashes {
		found.crashes = append(found.crashes, crash)
	}
	return true
}

// convict settles the requests that were at this crash and an earlier one. A
// single one is refused; several are told apart in other failure domains.
func (g *Guard) convict(members map[request.Fingerprint]bool) {
	most := 0
	var common []*record
	for fingerprint := range members {
		found := g.records[fingerprint]
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
func (g *Guard) clear(fingerprint request.Fingerprint) {
	found := g.records[fingerprint]
	if found == nil {
		return
	}
	g.forget(fingerprint)
	for _, crash := range found.crashes {
		members := g.crashes[crash]
		delete(members, fingerprint)
		g.convict(members)
	}
}

func (g *Guard) extend(now time.Time, fingerprint request.Fingerprint) {
	found := g.find(now, fingerprint)
	if found == nil || found.verdict != Refused {
		return
	}
	found.until = now.Add(g.Hold)
	found.renewed = now
}
