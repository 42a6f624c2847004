package admission

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// rateBurstTime is the time whose calls may go to a target at once after it got
	// fewer than its limit allows.
	rateBurstTime = 500 * time.Millisecond
	// maxRateInterval is the longest time between two calls to a target with a rate
	// limit, however low: only the answer to a call can end the limit.
	maxRateInterval = 5 * time.Second
	// A limit that the target no longer states is raised by rateRaiseFactor with each
	// answer, and ends with the answer after maxRateRaises of them: an answer may lack the
	// limit for another reason than its end.
	rateRaiseFactor = 4
	maxRateRaises   = 3
	// maxRate bounds the limit in force, and keeps its multiples finite.
	maxRate request.Rate = 1e9
)

// RateStatement is what one answer of a target says about the rate of calls that it
// takes.
type RateStatement struct {
	// Limited says that there is a limit, which is Limit.
	Limited bool
	Limit   request.Rate
	// HandedAt is when the call that was answered was handed to the target.
	HandedAt time.Time
}

// RateState is the rate limit in force.
type RateState struct {
	Limited bool
	Limit   request.Rate
	// Age is the time since the target last stated the limit.
	Age time.Duration
	// Wait is the time after which one more call may go to the target, behind those
	// that are queued.
	Wait time.Duration
	// Heard says that the target has answered since the limit was reset.
	Heard bool
}

// rateLimiter bounds the calls per second that a target gets to the limit that the
// target states. It is a token bucket that starts empty.
type rateLimiter struct {
	limited    bool
	limit      request.Rate
	tokens     float64
	refilledAt time.Time
	// statedAt is when the last answer arrived that stated the limit in force, or raised it.
	statedAt time.Time
	// raises counts the answers without a limit since then.
	raises int
	heard  bool
}

// record applies the statement in an answer. Answers to concurrent calls may arrive in
// another order than the target made them in. So a lower limit applies at once, while a
// higher one, or none, applies only if the call was handed over after the answer that
// changed the limit last had arrived.
func (limiter *rateLimiter) record(now time.Time, stated RateStatement) {
	limiter.heard = true
	if limiter.limited && !stated.HandedAt.After(limiter.statedAt) && (!stated.Limited || stated.Limit > limiter.limit) {
		return
	}
	switch {
	case stated.Limited:
		limiter.raises = 0
		limiter.apply(now, stated.Limit)
	case limiter.limited && limiter.raises < maxRateRaises:
		limiter.raises++
		limiter.apply(now, request.Rate(limiter.perSecond()*rateRaiseFactor))
	default:
		limiter.limited, limiter.raises = false, 0
	}
}

// apply puts a limit in force.
func (limiter *rateLimiter) apply(now time.Time, limit request.Rate) {
	if limiter.limited {
		limiter.refill(now)
	} else {
		limiter.tokens, limiter.refilledAt = 0, now
	}
	limiter.limited, limiter.limit, limiter.statedAt = true, min(limit, maxRate), now
	limiter.tokens = min(limiter.tokens, limiter.burst())
}

func (limiter *rateLimiter) perSecond() float64 {
	return max(float64(limiter.limit), 1/maxRateInterval.Seconds())
}

func (limiter *rateLimiter) burst() float64 {
	return max(1, limiter.perSecond()*rateBurstTime.Seconds())
}

func (limiter *rateLimiter) refill(now time.Time) {
	if elapsed := now.Sub(limiter.refilledAt); elapsed > 0 {
		limiter.tokens = min(limiter.burst(), limiter.tokens+elapsed.Seconds()*limiter.perSecond())
		limiter.refilledAt = now
	}
}

// available is the number of calls that may go to the target now. It means something
// only under a limit.
func (limiter *rateLimiter) available(now time.Time) float64 {
	limiter.refill(now)
	return limiter.tokens
}

// allows reports whether a call may go to the target now.
func (limiter *rateLimiter) allows(now time.Time) bool {
	return !limiter.limited || limiter.available(now) >= 1
}

// spend counts a call that goes to the target.
func (limiter *rateLimiter) spend(now time.Time) {
	if limiter.limited {
		limiter.refill(now)
		limiter.tokens--
	}
}

// restore takes a call back that was counted and not handed over.
func (limiter *rateLimiter) restore() {
	if limiter.limited {
		limiter.tokens = min(limiter.burst(), limiter.tokens+1)
	}
}

// wait is the time after which a call may go to the target when others are served before
// it.
func (limiter *rateLimiter) wait(now time.Time, ahead int) time.Duration {
	if !limiter.limited {
		return 0
	}
	missing := float64(ahead+1) - limiter.available(now)
	return max(0, time.Duration(missing/limiter.perSecond()*float64(time.Second)))
}
