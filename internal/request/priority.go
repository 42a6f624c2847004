package request

import "encoding/binary"

// Importance ranks a kind of request; a higher value is shed later. The
// configuration lists the names, least important first.
type Importance uint8

// Bucket spreads root requests of one importance, so that every service of a
// call graph sheds the same root requests first.
type Bucket uint8

// BucketCount is the number of buckets within one importance.
const BucketCount = 128

// Priority orders requests: importance first, then bucket. A higher value is
// shed later.
type Priority uint16

// Level is the lowest priority that a service still takes; zero takes all.
type Level = Priority

// MaxPriority is the priority that no level exceeds.
const MaxPriority Priority = 1<<15 - 1

// NewPriority joins an importance and a bucket.
func NewPriority(importance Importance, bucket Bucket) Priority {
	return Priority(importance)*BucketCount + Priority(bucket%BucketCount)
}

// Importance gives the importance part of the priority.
func (priority Priority) Importance() Importance {
	return Importance(priority / BucketCount)
}

// Bucket gives the bucket part of the priority.
func (priority Priority) Bucket() Bucket {
	return Bucket(priority % BucketCount)
}

// BucketOf spreads root ids evenly over the buckets.
func BucketOf(root RootID) Bucket {
	return Bucket(binary.BigEndian.Uint64(root[8:]) % BucketCount)
}
