package spread

import (
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// DefaultKept is the number of patches that a zero Kept stands for.
const DefaultKept = 1024

// Publisher holds what a replica gives to nodes.
type Publisher struct {
	// Kept is the number of latest patches that are kept.
	Kept int

	newest Version
	digest Digest
	// base is the version that the first kept step is a patch on.
	base  Held
	steps []Step
}

// OrderError says that a version does not follow the newest one.
type OrderError struct {
	Newest configuration.Version
	Got    configuration.Version
}

// Error describes the break of order.
func (orderError *OrderError) Error() string {
	return fmt.Sprintf("version %d is not after version %d; publish versions in their order", orderError.Got, orderError.Newest)
}

// Publish takes in the next version. One that skips numbers, as after a
// snapshot, is given to nodes whole.
func (publisher *Publisher) Publish(version Version) error {
	if version.Number <= publisher.newest.Number {
		return &OrderError{Newest: publisher.newest.Number, Got: version.Number}
	}
	follows := version.Number == publisher.newest.Number+1 && version.Patch != nil && publisher.newest.Number > 0
	publisher.newest = version
	publisher.digest = DigestOf(version.Text)
	if !follows {
		publisher.base = Held{Number: version.Number, Digest: publisher.digest}
		publisher.steps = nil
		return nil
	}
	publisher.steps = append(publisher.steps, Step{Number: version.Number, Patch: version.Patch, Digest: publisher.digest})
	publisher.trim()
	return nil
}

// Newest gives the newest version that the replica knows.
func (publisher *Publisher) Newest() Held {
	return Held{Number: publisher.newest.Number, Digest: publisher.digest}
}

// Offer gives what brings a node from what it holds to the newest version, or
// false when it holds that or a newer one. Confirmed says that a quorum read
// has shown that no newer version is accepted.
func (publisher *Publisher) Offer(held Held, confirmed bool) (Update, bool) {
	if publisher.newest.Number == 0 || held.Number > publisher.newest.Number || held == publisher.Newest() {
		return Update{}, false
	}
	update := Update{Number: publisher.newest.Number, Digest: publisher.digest, Confirmed: confirmed}
	steps, ok := publisher.since(held)
	if ok && size(steps) < len(publisher.newest.Text) {
		update.Base, update.Steps = held, steps
		return update, true
	}
	update.Text = publisher.newest.Text
	return update, true
}

// since gives the steps after a version whose digest is the known one.
func (publisher *Publisher) since(held Held) ([]Step, bool) {
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

func (publisher *Publisher) trim() {
	kept := publisher.Kept
	if kept == 0 {
		kept = DefaultKept
	}
	excess := len(publisher.steps) - kept
	if excess <= 0 {
		return
	}
	last := publisher.steps[excess-1]
	publisher.base = Held{Number: last.Number, Digest: last.Digest}
	publisher.steps = append([]Step(nil), publisher.steps[excess:]...)
}

func size(steps []Step) int {
	total := 0
	for _, step := range steps {
		total += len(step.Patch)
	}
	return total
}
