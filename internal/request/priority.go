package request

import "encoding/binary"

// Importance ranks a kind of request; under overload a higher value is shed later.
// The configuration lists the names of the importances, least important first.
type Importance uint8

// Bucket divides root requests of one importance into groups. It depends on the root
// alone, so that every service of a call graph sheds the same root requests first.
type Bucket uint8

// BucketCount is the number of buckets within one importance.
const BucketCount = 128

// Priority orders requests by importance and then by bucket. A higher value is shed
// later.
type Priority uint16

// Level is the lowest priority that a service admits; zero admits all.
type Level = Priority

// MaxPriority is the largest priority, which every level admits.
const MaxPriority Priority = 1<<15 - 1

// NewPriority combines an importance and a bucket.
func NewPriority(importance Importance, bucket Bucket) Priority {
	return Priority(importance)*BucketCount + Priority(bucket%BucketCount)
}

// Importance returns the importance part of the priority.
func (priority Priority) Importance() Importance {
	return Importance(priority / BucketCount)
}

// Bucket returns the bucket part of the priority.
func (priority Priority) Bucket() Bucket {
	return Bucket(priority % BucketCount)
}

// BucketOf returns the bucket of a root request. Random root ids are spread evenly.
func BucketOf(root RootID) Bucket {
	return Bucket(binary.BigEndian.Uint64(root[8:]) % BucketCount)
}

// Excess is how far a call lies over the share of its customer: zero within it, and one more
// for each step by which the share would have to grow.
type Excess uint8

// ExcessCount is the number of steps of excess, and MaxExcess the largest.
const (
	ExcessCount        = 16
	MaxExcess   Excess = ExcessCount - 1
)
