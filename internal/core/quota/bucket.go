package quota

import "time"

// bucket is a token bucket with a level from zero to capacity.
type bucket struct {
	rate     float64
	capacity float64
	level    float64
	updated  time.Time
}

// setLimit changes the rate and how many tokens come at once. What was earned before is
// kept, up to the new capacity. One more token than the burst lets a bucket grant the next
// one while it is refilled, however small its part of the burst.
func (bucket *bucket) setLimit(now time.Time, rate, burst float64) {
	bucket.refill(now)
	bucket.rate, bucket.capacity = rate, burst+1
	bucket.level = min(bucket.level, bucket.capacity)
}

func (bucket *bucket) refill(now time.Time) {
	if elapsed := now.Sub(bucket.updated); elapsed > 0 {
		bucket.level = min(bucket.capacity, bucket.level+bucket.rate*elapsed.Seconds())
		bucket.updated = now
	}
}

// take takes a token, or returns the time until there is one.
func (bucket *bucket) take(now time.Time) (time.Duration, bool) {
	bucket.refill(now)
	if bucket.level >= 1 {
		bucket.level--
		return 0, true
	}
	return time.Duration((1 - bucket.level) / bucket.rate * float64(time.Second)), false
}
