package spread

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// DefaultStartWait is how long a zero StartWait lets a started node wait for a
// confirmed version.
const DefaultStartWait = 2 * time.Second

// Follower holds the version in force at one node.
type Follower struct {
	// Patch applies an RFC 6902 patch to a text.
	Patch func(text, patch []byte) ([]byte, error)
	// Check refuses a text that this node cannot use; nil takes all.
	Check func(text []byte) error
	// StartWait is how long a started node waits for a confirmed version.
	StartWait time.Duration

	held  Held
	text  []byte
	heard configuration.Version
	// first is the best unconfirmed offer before any version is in force.
	first   *Update
	startAt time.Time
}

// Result says what an update did.
type Result struct {
	// Changed says that a newer version is in force.
	Changed bool
	// Whole asks for the whole text: the patches do not fit what is held.
	Whole bool
	// Conflict says that another text was offered under the number in force.
	Conflict bool
	// Unusable is the fault that the node found in a newer text.
	Unusable error
}

// Held gives what is in force.
func (follower *Follower) Held() Held {
	return follower.held
}

// Text gives the text in force.
func (follower *Follower) Text() []byte {
	return follower.text
}

// Heard notes the version that a peer has in force.
func (follower *Follower) Heard(number configuration.Version) {
	follower.heard = max(follower.heard, number)
}

// Behind says whether a newer version than the one in force is known of.
func (follower *Follower) Behind() bool {
	return follower.heard > follower.held.Number
}

// Apply takes in an update. An older version never replaces a newer one.
func (follower *Follower) Apply(now time.Time, update Update) Result {
	follower.heard = max(follower.heard, update.Number)
	if update.Number < follower.held.Number {
		return Result{}
	}
	if update.Number == follower.held.Number {
		return Result{Conflict: update.Digest != follower.held.Digest}
	}
	if len(update.Steps) > 0 {
		return follower.advance(update)
	}
	if follower.held.Number == 0 && !update.Confirmed {
		return follower.wait(now, update)
	}
	return follower.take(update)
}

// Tick puts the best unconfirmed version in force once the wait after the
// start is over.
func (follower *Follower) Tick(now time.Time) Result {
	wait := follower.StartWait
	if wait == 0 {
		wait = DefaultStartWait
	}
	if follower.first == nil || now.Sub(follower.startAt) < wait {
		return Result{}
	}
	return follower.take(*follower.first)
}

func (follower *Follower) wait(now time.Time, update Update) Result {
	if follower.first == nil {
		follower.startAt = now
	}
	if follower.first == nil || follower.first.Number < update.Number {
		follower.first = &update
	}
	return Result{}
}

func (follower *Follower) take(update Update) Result {
	if DigestOf(update.Text) != update.Digest {
		return Result{Whole: true}
	}
	return follower.enforce(Held{Number: update.Number, Digest: update.Digest}, update.Text)
}

// advance applies the steps that are newer than what is held, all or none.
func (follower *Follower) advance(update Update) Result {
	held, text := follower.held, follower.text
	for _, step := range update.Steps {
		if step.Number <= held.Number {
			continue
		}
		if step.Number != held.Number+1 || held.Number == 0 {
			return Result{Whole: true}
		}
		patched, err := follower.Patch(text, step.Patch)
		if err != nil || DigestOf(patched) != step.Digest {
			return Result{Whole: true}
		}
		held, text = Held{Number: step.Number, Digest: step.Digest}, patched
	}
	if held.Number == follower.held.Number {
		return Result{}
	}
	return follower.enforce(held, text)
}

func (follower *Follower) enforce(held Held, text []byte) Result {
	if follower.Check != nil {
		if err := follower.Check(text); err != nil {
			return Result{Unusable: err}
		}
	}
	follower.held, follower.text = held, text
	follower.first = nil
	return Result{Changed: true}
}
