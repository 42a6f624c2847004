package naive

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Balancer picks targets at random and ignores their answers.
type Balancer struct {
	targets map[request.ServiceName][]balancer.Target
}

// Update replaces the targets of one service.
func (picker *Balancer) Update(_ time.Time, view balancer.View) {
	if picker.targets == nil {
		picker.targets = map[request.ServiceName][]balancer.Target{}
	}
	picker.targets[view.Service] = view.Targets
}

// Pick returns a random target of the service.
func (picker *Balancer) Pick(_ time.Time, random *rand.Rand, call balancer.Call) (balancer.Choice, request.Code) {
	targets, ok := picker.targets[call.Service]
	if !ok {
		return balancer.Choice{}, request.UnknownService
	}
	if len(targets) == 0 {
		return balancer.Choice{}, request.NoTarget
	}
	return balancer.Choice{Target: targets[random.IntN(len(targets))]}, request.OK
}

// Sent does nothing.
func (picker *Balancer) Sent(balancer.Choice) {}

// Answered does nothing.
func (picker *Balancer) Answered(time.Time, balancer.Choice, balancer.Call, balancer.Answer) {}
