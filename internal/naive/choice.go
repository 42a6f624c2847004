// Package naive is the simple version that the promises are tested against:
// it keeps none of them under faults.
package naive

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Chooser picks any target at random and learns nothing from answers.
type Chooser struct {
	targets map[request.ServiceName][]choice.Target
}

// Update replaces the targets of one service.
func (c *Chooser) Update(_ time.Time, view choice.View) {
	if c.targets == nil {
		c.targets = map[request.ServiceName][]choice.Target{}
	}
	c.targets[view.Service] = view.Targets
}

// Pick takes any target of the service.
func (c *Chooser) Pick(_ time.Time, random *rand.Rand, call choice.Call) (choice.Choice, request.Code) {
	targets, ok := c.targets[call.Service]
	if !ok {
		return choice.Choice{}, request.UnknownService
	}
	if len(targets) == 0 {
		return choice.Choice{}, request.NoTarget
	}
	return choice.Choice{Target: targets[random.IntN(len(targets))]}, request.OK
}

// Sent does nothing.
func (c *Chooser) Sent(choice.Choice) {}

// Answered does nothing.
func (c *Chooser) Answered(time.Time, choice.Choice, choice.Call, choice.Answer) {}
