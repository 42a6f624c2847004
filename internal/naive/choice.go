package naive

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Chooser picks targets at random and ignores their answers.
type Chooser struct {
	targets map[request.ServiceName][]choice.Target
}

// Update replaces the targets of one service.
func (chooser *Chooser) Update(_ time.Time, view choice.View) {
	if chooser.targets == nil {
		chooser.targets = map[request.ServiceName][]choice.Target{}
	}
	chooser.targets[view.Service] = view.Targets
}

// Pick returns a random target of the service.
func (chooser *Chooser) Pick(_ time.Time, random *rand.Rand, call choice.Call) (choice.Choice, request.Code) {
	targets, ok := chooser.targets[call.Service]
	if !ok {
		return choice.Choice{}, request.UnknownService
	}
	if len(targets) == 0 {
		return choice.Choice{}, request.NoTarget
	}
	return choice.Choice{Target: targets[random.IntN(len(targets))]}, request.OK
}

// Sent does nothing.
func (chooser *Chooser) Sent(choice.Choice) {}

// Answered does nothing.
func (chooser *Chooser) Answered(time.Time, choice.Choice, choice.Call, choice.Answer) {}
