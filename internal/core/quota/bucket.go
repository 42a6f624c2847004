package quota

import (
	"math/rand/v2"
	"time"
)

// bucket is a token bucket with a level from zero to capacity.
type bucket struct {
	rate     float64
	capacity float64
	level    float64
	updated  time.Time
}

// newBucket returns a bucket with a random part of one token. Buckets that are made at the
// same moment do not grant their first tokens together, and none grants one at once.
func newBucket(random *rand.Rand, now time.Time) *bucket {
	return &bucket{level: random.Float64(), capacity: 1, updated: now}
}

// setLimit changes the rate and the capacity, which is one token at least. What was earned
// before is kept, up to the new capacity.
func (bucket *bucket) setLimit(now time.Time, rate, capacity float64) {
	bucket.refill(now)
	bucket.rate, bucket.capacity = rate, max(capacity, 1)
	bucket.level = min(bucket.level, bucket.capacity)
}

func (bucket *bucket) refill(now time.Time) {
	if elapsed := now.Sub(bucket.updated); elapsed > 0 {
		bucket.level = min(bucket.capacity, bucket.level+bucket.rate*elapsed.Seconds())
		bucket.updated = now
	}
}

// maxWait is the time to the next token of a bucket that earns none.
const maxWait = time.Minute

// take takes a token, or returns the time until there is one.
func (bucket *bucket) take(now time.Time) (time.Duration, bool) {
	bucket.refill(now)
	if bucket.level >= 1 {
		bucket.level--
		return 0, true
	}
	if bucket.rate <= 0 {
		return maxWait, false
	}
	return time.Duration((1 - bucket.level) / bucket.rate * float64(time.Second)), false
}
