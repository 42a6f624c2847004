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
func (f *Follower) Held() Held {
	return f.held
}

// Text gives the text in force.
func (f *Follower) Text() []byte {
	return f.text
}

// Heard notes the version that a peer has in force.
func (f *Follower) Heard(number configuration.Version) {
	f.heard = max(f.heard, number)
}

// Behind says whether a newer version than the one in force is known of.
func (f *Follower) Behind() bool {
	return f.heard > f.held.Number
}

// Apply takes in an update. An older version never replaces a newer one.
func (f *Follower) Apply(now time.Time, update Update) Result {
	f.heard = max(f.heard, update.Number)
	if update.Number < f.held.Number {
		return Result{}
	}
	if update.Number == f.held.Number {
		return Result{Conflict: update.Digest != f.held.Digest}
	}
	if len(update.Steps) > 0 {
		return f.advance(update)
	}
	if f.held.Number == 0 && !update.Confirmed {
		return f.wait(now, update)
	}
	return f.take(update)
}

// Tick puts the best unconfirmed version in force once the wait after the
// start is over.
func (f *Follower) Tick(now time.Time) Result {
	wait := f.StartWait
	if wait == 0 {
		wait = DefaultStartWait
	}
	if f.first == nil || now.Sub(f.startAt) < wait {
		return Result{}
	}
	return f.take(*f.first)
}

func (f *Follower) wait(now time.Time, update Update) Result {
	if f.first == nil {
		f.startAt = now
	}
	if f.first == nil || f.first.Number < update.Number {
		f.first = &update
	}
	return Result{}
}

func (f *Follower) take(update Update) Result {
	if DigestOf(update.Text) != update.Digest {
		return Result{Whole: true}
	}
	return f.enforce(Held{Number: update.Number, Digest: update.Digest}, update.Text)
}

// advance applies the steps that are newer than what is held, all or none.
func (f *Follower) advance(update Update) Result {
	held, text := f.held, f.text
	for _, step := range update.Steps {
		if step.Number <= held.Number {
			continue
		}
		if step.Number != held.Number+1 || held.Number == 0 {
			return Result{Whole: true}
		}
		patched, err := f.Patch(text, step.Patch)
		if err != nil || DigestOf(patched) != step.Digest {
			return Result{Whole: true}
		}
		held, text = Held{Number: step.Number, Digest: step.Digest}, patched
	}
	if held.Number == f.held.Number {
		return Result{}
	}
	return f.enforce(held, text)
}

func (f *Follower) enforce(held Held, text []byte) Result {
	if f.Check != nil {
		if err := f.Check(text); err != nil {
			return Result{Unusable: err}
		}
	}
	f.held, f.text = held, text
	f.first = nil
	return Result{Changed: true}
}
