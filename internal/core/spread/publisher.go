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
func (o *OrderError) Error() string {
	return fmt.Sprintf("version %d is not after version %d; publish versions in their order", o.Got, o.Newest)
}

// Publish takes in the next version. One that skips numbers, as after a
// snapshot, is given to nodes whole.
func (p *Publisher) Publish(version Version) error {
	if version.Number <= p.newest.Number {
		return &OrderError{Newest: p.newest.Number, Got: version.Number}
	}
	follows := version.Number == p.newest.Number+1 && version.Patch != nil && p.newest.Number > 0
	p.newest = version
	p.digest = DigestOf(version.Text)
	if !follows {
		p.base = Held{Number: version.Number, Digest: p.digest}
		p.steps = nil
		return nil
	}
	p.steps = append(p.steps, Step{Number: version.Number, Patch: version.Patch, Digest: p.digest})
	p.trim()
	return nil
}

// Newest gives the newest version that the replica knows.
func (p *Publisher) Newest() Held {
	return Held{Number: p.newest.Number, Digest: p.digest}
}

// Offer gives what brings a node from what it holds to the newest version, or
// false when it holds that or a newer one. Confirmed says that a quorum read
// has shown that no newer version is accepted.
func (p *Publisher) Offer(held Held, confirmed bool) (Update, bool) {
	if p.newest.Number == 0 || held.Number > p.newest.Number || held == p.Newest() {
		return Update{}, false
	}
	update := Update{Number: p.newest.Number, Digest: p.digest, Confirmed: confirmed}
	steps, ok := p.since(held)
	if ok && size(steps) < len(p.newest.Text) {
		update.Base, update.Steps = held, steps
		return update, true
	}
	update.Text = p.newest.Text
	return update, true
}

// since gives the steps after a version whose digest is the known one.
func (p *Publisher) since(held Held) ([]Step, bool) {
	if held == p.base {
		return p.steps, len(p.steps) > 0
	}
	for index, step := range p.steps {
		if step.Number == held.Number && step.Digest == held.Digest {
			return p.steps[index+1:], index+1 < len(p.steps)
		}
	}
	return nil, false
}

func (p *Publisher) trim() {
	kept := p.Kept
	if kept == 0 {
		kept = DefaultKept
	}
	excess := len(p.steps) - kept
	if excess <= 0 {
		return
	}
	last := p.steps[excess-1]
	p.base = Held{Number: last.Number, Digest: last.Digest}
	p.steps = append([]Step(nil), p.steps[excess:]...)
}

func size(steps []Step) int {
	total := 0
	for _, step := range steps {
		total += len(step.Patch)
	}
	return total
}
