package ledger

import (
	"slices"
	"time"
)

// expiryBucketWidth is the range of ages that share one bucket.
const expiryBucketWidth = Age(time.Minute)

// expiryBuckets returns entries once their age has passed. Entries are grouped
// into buckets by age, so that an entry costs no more memory than its own size.
type expiryBuckets[T any] struct {
	nextBucket int64
	buckets    map[int64][]T
}

func newExpiryBuckets[T any]() expiryBuckets[T] {
	return expiryBuckets[T]{buckets: make(map[int64][]T)}
}

// add puts an entry into the bucket after that of its age, so that it is only
// returned after its age has passed.
func (expiries *expiryBuckets[T]) add(at Age, entry T) {
	bucket := max(expiries.nextBucket, int64(at/expiryBucketWidth)+1)
	expiries.buckets[bucket] = append(expiries.buckets[bucket], entry)
}

// popExpired removes and returns the entries whose bucket is reached, oldest
// bucket first.
func (expiries *expiryBuckets[T]) popExpired(age Age) []T {
	var expired []T
	for ; expiries.nextBucket <= int64(age/expiryBucketWidth); expiries.nextBucket++ {
		expired = slices.Concat(expired, expiries.buckets[expiries.nextBucket])
		delete(expiries.buckets, expiries.nextBucket)
	}
	return expired
}
