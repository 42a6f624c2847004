package naive

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Chooser picks targets at random and ignores their answers.
type Chooser struct {
	targets map[request.ServiceName][]balancer.Target
}

// Update replaces the targets of one service.
func (chooser *Chooser) Update(_ time.Time, view balancer.View) {
	if chooser.targets == nil {
		chooser.targets = map[request.ServiceName][]balancer.Target{}
	}
	chooser.targets[view.Service] = view.Targets
}

// Pick returns a random target of the service.
func (chooser *Chooser) Pick(_ time.Time, random *rand.Rand, call balancer.Call) (balancer.Choice, request.Code) {
	targets, ok := chooser.targets[call.Service]
	if !ok {
		return balancer.Choice{}, request.UnknownService
	}
	if len(targets) == 0 {
		return balancer.Choice{}, request.NoTarget
	}
	return balancer.Choice{Target: targets[random.IntN(len(targets))]}, request.OK
}

// Sent does nothing.
func (chooser *Chooser) Sent(balancer.Choice) {}

// Answered does nothing.
func (chooser *Chooser) Answered(time.Time, balancer.Choice, balancer.Call, balancer.Answer) {}
