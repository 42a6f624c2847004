package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// burstShare is the part of a second's registrations that may come at once.
	burstShare = 0.25
	// placeTime is how long a place in the line of registrations is kept.
	placeTime = 10 * time.Second
)

// pace spreads registrations over time: a token bucket whose debt is handed out
// as places, so that nodes which were asked to wait don't return together.
type pace struct {
	tokens   float64
	filledAt time.Time
	places   map[request.NodeID]time.Time
}

func newPace(now time.Time, rate float64) pace {
	return pace{tokens: rate * burstShare, filledAt: now, places: map[request.NodeID]time.Time{}}
}

// wait gives how long the node must wait; zero lets it in.
func (p *pace) wait(now time.Time, node request.NodeID, rate float64) time.Duration {
	if place, ok := p.places[node]; ok {
		if now.Before(place) {
			return place.Sub(now)
		}
		delete(p.places, node)
		return 0
	}
	if passed := now.Sub(p.filledAt); passed > 0 {
		p.tokens = min(p.tokens+passed.Seconds()*rate, rate*burstShare)
		p.filledAt = now
	}
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	wait := time.Duration(-p.tokens / rate * float64(time.Second))
	p.places[node] = now.Add(wait)
	return wait
}

// forget drops the places of nodes that did not come.
func (p *pace) forget(now time.Time) {
	for node, place := range p.places {
		if now.Sub(place) > placeTime {
			delete(p.places, node)
		}
	}
}
