package distribution

import (
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// DefaultKeptPatches is the largest number of patches that a [Publisher] keeps if its
// KeptPatches is zero.
const DefaultKeptPatches = 1024

// Publisher holds the newest version and the latest patches, which a replica
// sends to nodes. It is not safe for concurrent use.
type Publisher struct {
	// KeptPatches is the largest number of latest patches that are kept. Fewer are kept
	// where together they are as large as the text.
	KeptPatches int

	newest Version
	digest Digest
	// base is the version that the first of the steps applies to.
	base  VersionID
	steps []Step
}

// OrderError reports a version that was published out of order.
type OrderError struct {
	Newest configuration.Version
	Got    configuration.Version
}

// Error names the version and the newest one published before it.
func (err *OrderError) Error() string {
	return fmt.Sprintf("version %d was published after version %d; publish versions in ascending order", err.Got, err.Newest)
}

// Publish makes a version the newest one. If its number does not directly follow
// that of the version before, as after a snapshot, or if it has no patch, the
// earlier patches are dropped and nodes get its whole text. Publish returns an
// [*OrderError] if the number is not above that of the newest version.
func (publisher *Publisher) Publish(version Version) error {
	if version.Number <= publisher.newest.Number {
		return &OrderError{Newest: publisher.newest.Number, Got: version.Number}
	}
	follows := version.Number == publisher.newest.Number+1 && version.Patch != nil && publisher.newest.Number > 0
	publisher.newest = Version{Number: version.Number, Text: version.Text}
	publisher.digest = DigestOf(version.Text)
	if !follows {
		publisher.base = VersionID{Number: version.Number, Digest: publisher.digest}
		publisher.steps = nil
		return nil
	}
	publisher.steps = append(publisher.steps, Step{Number: version.Number, Patch: version.Patch, Digest: publisher.digest})
	publisher.trimSteps()
	return nil
}

// Newest returns the newest version that was published, or the zero value.
func (publisher *Publisher) Newest() VersionID {
	return VersionID{Number: publisher.newest.Number, Digest: publisher.digest}
}

// Offer returns the update that brings a node from the version that it holds to
// the newest one, or false if the node holds that or a later version. Patches
// are sent only if together they are smaller than the whole text. Confirmed says
// that a quorum read has shown that no newer version is accepted.
func (publisher *Publisher) Offer(held VersionID, confirmed bool) (Update, bool) {
	if publisher.newest.Number == 0 || held.Number > publisher.newest.Number || held == publisher.Newest() {
		return Update{}, false
	}
	update := Update{Number: publisher.newest.Number, Digest: publisher.digest, Confirmed: confirmed}
	steps, ok := publisher.stepsSince(held)
	if ok && patchBytes(steps) < len(publisher.newest.Text) {
		update.Base, update.Steps = held, steps
		return update, true
	}
	update.Text = publisher.newest.Text
	return update, true
}

// stepsSince returns the steps after a version, or false if the publisher does
// not have them or knows the version under another digest.
func (publisher *Publisher) stepsSince(held VersionID) ([]Step, bool) {
	if held == publisher.base {
		return publisher.steps, len(publisher.steps) > 0
	}
	for index, step := range publisher.steps {
		if step.Number == held.Number && step.Digest == held.Digest {
			return publisher.steps[index+1:], index+1 < len(publisher.steps)
		}
	}
	return nil, false
}

// trimSteps drops the oldest steps over the number that is kept, and those that would never
// be sent, since with the later ones they are as large as the whole text.
func (publisher *Publisher) trimSteps() {
	kept := publisher.KeptPatches
	if kept == 0 {
		kept = DefaultKeptPatches
	}
	excess := max(0, len(publisher.steps)-kept)
	for size := patchBytes(publisher.steps[excess:]); size >= len(publisher.newest.Text) && excess < len(publisher.steps); excess++ {
		size -= len(publisher.steps[excess].Patch)
	}
	if excess == 0 {
		return
	}
	last := publisher.steps[excess-1]
	publisher.base = VersionID{Number: last.Number, Digest: last.Digest}
	publisher.steps = append([]Step(nil), publisher.steps[excess:]...)
}

func patchBytes(steps []Step) int {
	total := 0
	for _, step := range steps {
		total += len(step.Patch)
	}
	return total
}
