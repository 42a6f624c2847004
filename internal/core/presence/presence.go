// Package presence keeps what the local target says of itself on platforms on
// which targets announce themselves: which life of it runs, which service it is
// an instance of, and whether it takes work.
//
// Announcements may come late, twice, out of order, or from an earlier life of
// the target at the same address. The life that began last stands; within a
// life the highest sequence does. A life that was withdrawn does not come back.
//
// # Usage
//
//	local := &presence.Presence{}
//	verdict := local.Announce(now, presence.Announcement{Instance: "i-1", Sequence: 1, ...})
//	current, serving := local.Current()
//	local.Withdraw(now, "i-1")
//
// A value is not safe for concurrent use.
package presence

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// withdrawnTime is how long a withdrawn life is remembered, which outlasts any
// announcement that is still on its way.
const withdrawnTime = time.Minute

// Birth is when a life of a target began, in milliseconds of Unix time by the
// target's own clock.
type Birth int64

// Sequence numbers the announcements of one life.
type Sequence int64

// Announcement is what a target says of itself.
type Announcement struct {
	Instance request.InstanceID
	Birth    Birth
	Sequence Sequence
	Service  request.ServiceName
	Slots    int
	Draining bool
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
}

// Verdict tells what became of an announcement.
type Verdict uint8

// The verdicts.
const (
	// Taken changed what is known.
	Taken Verdict = iota
	// Outdated is older than what is known, and changed nothing.
	Outdated
)

// String gives the verdict's name.
func (verdict Verdict) String() string {
	if verdict == Taken {
		return "taken"
	}
	return "outdated"
}

// Presence is what is known of the local target.
type Presence struct {
	current   Announcement
	known     bool
	gone      bool
	withdrawn map[request.InstanceID]withdrawal
}

type withdrawal struct {
	birth Birth
	at    time.Time
}

// Announce takes in an announcement.
func (presence *Presence) Announce(now time.Time, told Announcement) Verdict {
	presence.forget(now)
	if ended, ok := presence.withdrawn[told.Instance]; ok && (ended.birth == 0 || told.Birth <= ended.birth) {
		return Outdated
	}
	if presence.known && !presence.newer(told) {
		return Outdated
	}
	sameLife := presence.known && told.Instance == presence.current.Instance && told.Birth == presence.current.Birth
	if sameLife && presence.current.Draining {
		// A life that leaves does not come back to work.
		told.Draining = true
	}
	presence.current, presence.known, presence.gone = told, true, false
	return Taken
}

// newer tells whether an announcement stands over the current one.
func (presence *Presence) newer(told Announcement) bool {
	current := presence.current
	if told.Birth != current.Birth {
		return told.Birth > current.Birth
	}
	if told.Instance != current.Instance {
		return presence.gone
	}
	return told.Sequence > current.Sequence
}

// Withdraw ends the life of a target and tells whether it was the current one.
func (presence *Presence) Withdraw(now time.Time, instance request.InstanceID) bool {
	presence.forget(now)
	ended := withdrawal{at: now}
	isCurrent := presence.known && presence.current.Instance == instance
	if isCurrent {
		ended.birth = presence.current.Birth
		presence.gone = true
	}
	if presence.withdrawn == nil {
		presence.withdrawn = make(map[request.InstanceID]withdrawal)
	}
	if _, again := presence.withdrawn[instance]; !again || isCurrent {
		presence.withdrawn[instance] = ended
	}
	return isCurrent
}

// Current gives the last announcement that stands, and whether the target may
// be given work.
func (presence *Presence) Current() (Announcement, bool) {
	return presence.current, presence.known && !presence.gone && !presence.current.Draining
}

func (presence *Presence) forget(now time.Time) {
	for instance, ended := range presence.withdrawn {
		if now.Sub(ended.at) > withdrawnTime {
			delete(presence.withdrawn, instance)
		}
	}
}
