package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// burstSeconds is how many seconds' worth of registrations may arrive at
	// once.
	burstSeconds = 0.25
	// reservationRetention is how long a reservation stays valid after its time.
	reservationRetention = 10 * time.Second
)

// registrationLimiter limits the rate of registrations with a token bucket. The
// bucket can go negative: a node that has to wait reserves a time of its own, so
// that the waiting nodes do not all retry at once.
type registrationLimiter struct {
	tokens       float64
	filledAt     time.Time
	reservations map[request.NodeID]time.Time
}

func newRegistrationLimiter(now time.Time, rate float64) registrationLimiter {
	return registrationLimiter{tokens: rate * burstSeconds, filledAt: now, reservations: map[request.NodeID]time.Time{}}
}

// delay returns how long a node must wait before it may register. Zero admits it
// now. The rate is in registrations per second.
func (limiter *registrationLimiter) delay(now time.Time, node request.NodeID, rate float64) time.Duration {
	if reservedAt, ok := limiter.reservations[node]; ok {
		if now.Before(reservedAt) {
			return reservedAt.Sub(now)
		}
		delete(limiter.reservations, node)
		return 0
	}
	if elapsed := now.Sub(limiter.filledAt); elapsed > 0 {
		limiter.tokens = min(limiter.tokens+elapsed.Seconds()*rate, rate*burstSeconds)
		limiter.filledAt = now
	}
	limiter.tokens--
	if limiter.tokens >= 0 {
		return 0
	}
	delay := time.Duration(-limiter.tokens / rate * float64(time.Second))
	limiter.reservations[node] = now.Add(delay)
	return delay
}

// deleteExpired deletes the reservations of nodes that did not return.
func (limiter *registrationLimiter) deleteExpired(now time.Time) {
	for node, reservedAt := range limiter.reservations {
		if now.Sub(reservedAt) > reservationRetention {
			delete(limiter.reservations, node)
		}
	}
}
