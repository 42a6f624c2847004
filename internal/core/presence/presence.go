// Package presence tracks the state of the local target on platforms where
// targets announce themselves: which run of its process is current, which service
// it is an instance of, and whether it takes work.
//
// Announcements may arrive late, twice, out of order, or from an earlier run of
// the target at the same address. The run that started last is current, and
// within a run the announcement with the highest sequence number. A withdrawn run
// does not become current again.
//
// An announcement may come from another writer, which mistakes this host for another one or
// makes it up. It is foreign, and changes nothing, if it states another address than that of
// the local target. So it is if it states a start in the future, which no later run could
// replace, while another run is current. Where no other run is known, the clock of the host
// may have been set back, and it counts until one with a likely start comes.
//
// A process that has just started does not know which runs drained or were withdrawn
// before. An announcement of a run that is older than the process may be a late one of
// such a run. It is confirmed by the target itself, or by arriving so long after the
// start that it cannot be late.
//
// # Usage
//
//	local := &presence.Presence{StartedAt: now}
//	verdict := local.Announce(now, presence.Announcement{Instance: "i-1", Sequence: 1, ...})
//	if unconfirmed, ok := local.Unconfirmed(); ok && isHealthy(unconfirmed.Instance) {
//		local.Confirm(unconfirmed)
//	}
//	current, serving := local.Current()
//	local.Withdraw(now, "i-1")
//
// A [Presence] is not safe for concurrent use. The package reads no clock: its
// methods take the present time as an argument.
package presence

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// withdrawalRetention is how long a withdrawal is remembered. It outlasts any
// announcement that is still in transit.
const withdrawalRetention = time.Minute

// maxAnnouncementDelay is how late an announcement may arrive.
const maxAnnouncementDelay = 5 * time.Second

// maxClockDifference is how far the clock of a target may be ahead of the present time.
const maxClockDifference = time.Minute

// Address is where a target listens, as host:port.
type Address string

// StartMillis is the start time of a run of the target, in Unix milliseconds by the
// target's own clock.
type StartMillis int64

// Sequence numbers the announcements of one run.
type Sequence int64

// Announcement is the state that a target reports about itself.
type Announcement struct {
	Instance    request.InstanceID
	StartMillis StartMillis
	Sequence    Sequence
	Service     request.ServiceName
	// Address is where the target listens; empty means that it is not stated.
	Address  Address
	Slots    int
	Draining bool
	// ColdRemaining is the remaining time of the target's warm-up.
	ColdRemaining time.Duration
}

// Verdict tells whether an announcement was applied.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the announcement became the current one.
	Accepted Verdict = iota
	// Outdated means that the announcement was ignored: it is not newer than the
	// current one, or its run was withdrawn.
	Outdated
	// Foreign means that the announcement was ignored because it is not of the local target.
	Foreign
)

// String returns the verdict as the log writes it.
func (verdict Verdict) String() string {
	switch verdict {
	case Accepted:
		return "taken"
	case Foreign:
		return "foreign"
	}
	return "outdated"
}

// Presence is the announced state of the local target. The zero value is ready
// for use.
type Presence struct {
	// StartedAt is when this process started; zero means that it knows all earlier
	// announcements. It is set before the first use.
	StartedAt time.Time
	// Address is where the local target listens; empty accepts announcements of any address.
	// It is set before the first use.
	Address Address

	current          Announcement
	known            bool
	currentWithdrawn bool
	// unconfirmed says that the current announcement may be a late one from before the
	// start of this process.
	unconfirmed bool
	withdrawn   map[request.InstanceID]withdrawal
}

type withdrawal struct {
	// startMillis is the start of the withdrawn run. Zero, for an unknown start,
	// covers all runs of the instance.
	startMillis StartMillis
	at          time.Time
}

// Announce applies an announcement unless it is outdated or foreign.
func (presence *Presence) Announce(now time.Time, announcement Announcement) Verdict {
	presence.dropOldWithdrawals(now)
	if presence.isForeign(now, announcement) {
		return Foreign
	}
	if withdrawn, ok := presence.withdrawn[announcement.Instance]; ok && (withdrawn.startMillis == 0 || announcement.StartMillis <= withdrawn.startMillis) {
		return Outdated
	}
	if presence.known && !presence.isNewer(now, announcement) {
		return Outdated
	}
	sameRun := presence.known && announcement.sameRun(presence.current)
	if sameRun && presence.current.Draining {
		// A run that drains takes no work again.
		announcement.Draining = true
	}
	presence.unconfirmed = presence.mayBeLate(now, announcement) && (!sameRun || presence.unconfirmed)
	presence.current, presence.known, presence.currentWithdrawn = announcement, true, false
	return Accepted
}

func (presence *Presence) isForeign(now time.Time, announcement Announcement) bool {
	if presence.Address != "" && announcement.Address != "" && announcement.Address != presence.Address {
		return true
	}
	hasOther := presence.known && !presence.currentWithdrawn && !presence.current.sameRun(announcement)
	return hasOther && announcement.StartMillis.inFuture(now) && !presence.current.StartMillis.inFuture(now)
}

func (start StartMillis) inFuture(now time.Time) bool {
	return int64(start) > now.Add(maxClockDifference).UnixMilli()
}

func (announcement Announcement) sameRun(other Announcement) bool {
	return announcement.Instance == other.Instance && announcement.StartMillis == other.StartMillis
}

// mayBeLate reports whether an announcement may have been sent before this process
// started.
func (presence *Presence) mayBeLate(now time.Time, announcement Announcement) bool {
	if presence.StartedAt.IsZero() || now.Sub(presence.StartedAt) >= maxAnnouncementDelay {
		return false
	}
	return int64(announcement.StartMillis) < presence.StartedAt.UnixMilli()
}

// Unconfirmed returns the current announcement if the target would take work by it, but
// it needs to be confirmed.
func (presence *Presence) Unconfirmed() (Announcement, bool) {
	return presence.current, presence.wouldServe() && presence.unconfirmed
}

// Confirm records that the target itself has confirmed an announcement, and reports
// whether that changed anything: the run may not be current any more.
func (presence *Presence) Confirm(announcement Announcement) bool {
	if !presence.current.sameRun(announcement) || !presence.unconfirmed || presence.currentWithdrawn {
		return false
	}
	presence.unconfirmed = false
	return true
}

// isNewer reports whether an announcement replaces the current one.
func (presence *Presence) isNewer(now time.Time, announcement Announcement) bool {
	current := presence.current
	if current.StartMillis.inFuture(now) && !announcement.StartMillis.inFuture(now) {
		return true
	}
	if announcement.StartMillis != current.StartMillis {
		return announcement.StartMillis > current.StartMillis
	}
	if announcement.Instance != current.Instance {
		return presence.currentWithdrawn
	}
	return announcement.Sequence > current.Sequence
}

// Withdraw ends the run of an instance and reports whether it was the current
// one. Later announcements of that run are outdated. If the instance is not the
// current one, the start time of its run is unknown, and all its announcements
// are outdated for withdrawalRetention.
func (presence *Presence) Withdraw(now time.Time, instance request.InstanceID) bool {
	presence.dropOldWithdrawals(now)
	withdrawn := withdrawal{at: now}
	isCurrent := presence.known && presence.current.Instance == instance
	if isCurrent {
		withdrawn.startMillis = presence.current.StartMillis
		presence.currentWithdrawn = true
	}
	if presence.withdrawn == nil {
		presence.withdrawn = make(map[request.InstanceID]withdrawal)
	}
	if _, known := presence.withdrawn[instance]; !known || isCurrent {
		presence.withdrawn[instance] = withdrawn
	}
	return isCurrent
}

// Leave records that a run has said in an answer that it is leaving, and reports whether
// it is the current one. From then on it counts as draining.
func (presence *Presence) Leave(instance request.InstanceID, start StartMillis) bool {
	isCurrent := presence.known && presence.current.Instance == instance && presence.current.StartMillis == start
	presence.current.Draining = presence.current.Draining || isCurrent
	return isCurrent
}

// Current returns the current announcement, and whether the target takes work. An
// announcement stays current after its run was withdrawn.
func (presence *Presence) Current() (Announcement, bool) {
	return presence.current, presence.wouldServe() && !presence.unconfirmed
}

func (presence *Presence) wouldServe() bool {
	return presence.known && !presence.currentWithdrawn && !presence.current.Draining
}

func (presence *Presence) dropOldWithdrawals(now time.Time) {
	for instance, withdrawn := range presence.withdrawn {
		if now.Sub(withdrawn.at) > withdrawalRetention {
			delete(presence.withdrawn, instance)
		}
	}
}
