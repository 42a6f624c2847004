package distribution

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// DefaultUnconfirmedWait is the wait of a [Follower] whose UnconfirmedWait is
// zero.
const DefaultUnconfirmedWait = 2 * time.Second

// Follower holds the version in force on one node. Set the exported fields before
// the first use. It is not safe for concurrent use.
type Follower struct {
	// Patch applies the patch of a step, for example an RFC 6902 patch, to a text.
	Patch func(text, patch []byte) ([]byte, error)
	// Check returns an error for a text that this node cannot use. If it is nil,
	// every text is accepted.
	Check func(text []byte) error
	// UnconfirmedWait is how long a node without a version waits for a confirmed
	// one before it installs an unconfirmed one.
	UnconfirmedWait time.Duration

	held        VersionID
	text        []byte
	newestKnown configuration.Version
	// inForceAtPeer is the newest version that a peer has in force, and newestUnusable the
	// newest one that Check has refused.
	inForceAtPeer, newestUnusable configuration.Version
	// bestUnconfirmed is the highest unconfirmed version that was offered while
	// no version is in force.
	bestUnconfirmed *Update
	waitingSince    time.Time
}

// ApplyResult is the result of an update.
type ApplyResult struct {
	// Changed says that a newer version is in force now.
	Changed bool
	// NeedsWholeText says that the update cannot be applied to the version in
	// force; ask the replica for the whole text.
	NeedsWholeText bool
	// Conflict says that the update has the number of the version in force, but
	// another digest.
	Conflict bool
	// Unusable is the error of Check for a newer text. The version in force was
	// kept.
	Unusable error
}

// Current returns the version in force.
func (follower *Follower) Current() VersionID {
	return follower.held
}

// Text returns the text of the version in force, or nil.
func (follower *Follower) Text() []byte {
	return follower.text
}

// NoteVersion records a version that a peer has in force.
func (follower *Follower) NoteVersion(number configuration.Version) {
	follower.newestKnown = max(follower.newestKnown, number)
	follower.inForceAtPeer = max(follower.inForceAtPeer, number)
}

// Behind returns whether a version newer than the one in force is known to
// exist.
func (follower *Follower) Behind() bool {
	return follower.newestKnown > follower.held.Number
}

// Apply applies an update, unless it is for an older version than the one in
// force. An unconfirmed first version is only remembered until [Follower.Tick]
// installs it.
func (follower *Follower) Apply(now time.Time, update Update) ApplyResult {
	follower.newestKnown = max(follower.newestKnown, update.Number)
	if update.Number < follower.held.Number {
		return ApplyResult{}
	}
	if update.Number == follower.held.Number {
		return ApplyResult{Conflict: update.Digest != follower.held.Digest}
	}
	if len(update.Steps) > 0 {
		return follower.applySteps(update)
	}
	if follower.held.Number == 0 && !update.Confirmed {
		return follower.rememberUnconfirmed(now, update)
	}
	return follower.installText(update)
}

// Tick installs the highest unconfirmed version once UnconfirmedWait has passed
// since the first offer, unless a peer has a newer one in force that this node can use as
// far as it knows.
func (follower *Follower) Tick(now time.Time) ApplyResult {
	wait := follower.UnconfirmedWait
	if wait == 0 {
		wait = DefaultUnconfirmedWait
	}
	if follower.bestUnconfirmed == nil || now.Sub(follower.waitingSince) < wait {
		return ApplyResult{}
	}
	if newer := follower.inForceAtPeer; newer > follower.bestUnconfirmed.Number && newer > follower.newestUnusable {
		return ApplyResult{}
	}
	best := *follower.bestUnconfirmed
	// If it is unusable, it must not keep out a lower one that is offered later.
	follower.bestUnconfirmed = nil
	return follower.installText(best)
}

func (follower *Follower) rememberUnconfirmed(now time.Time, update Update) ApplyResult {
	if follower.bestUnconfirmed == nil {
		follower.waitingSince = now
	}
	if follower.bestUnconfirmed == nil || follower.bestUnconfirmed.Number < update.Number {
		follower.bestUnconfirmed = &update
	}
	return ApplyResult{}
}

func (follower *Follower) installText(update Update) ApplyResult {
	if DigestOf(update.Text) != update.Digest {
		return ApplyResult{NeedsWholeText: true}
	}
	return follower.install(VersionID{Number: update.Number, Digest: update.Digest}, update.Text)
}

// applySteps applies the steps that are newer than the version in force. If one
// of them cannot be applied, none is.
func (follower *Follower) applySteps(update Update) ApplyResult {
	held, text := follower.held, follower.text
	for _, step := range update.Steps {
		if step.Number <= held.Number {
			continue
		}
		if step.Number != held.Number+1 || held.Number == 0 {
			return ApplyResult{NeedsWholeText: true}
		}
		patched, err := follower.Patch(text, step.Patch)
		if err != nil || DigestOf(patched) != step.Digest {
			return ApplyResult{NeedsWholeText: true}
		}
		held, text = VersionID{Number: step.Number, Digest: step.Digest}, patched
	}
	if held.Number == follower.held.Number {
		return ApplyResult{}
	}
	return follower.install(held, text)
}

func (follower *Follower) install(held VersionID, text []byte) ApplyResult {
	if follower.Check != nil {
		if err := follower.Check(text); err != nil {
			follower.newestUnusable = max(follower.newestUnusable, held.Number)
			return ApplyResult{Unusable: err}
		}
	}
	follower.held, follower.text = held, text
	follower.bestUnconfirmed = nil
	return ApplyResult{Changed: true}
}
