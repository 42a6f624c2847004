package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Incarnation numbers the starts of a node; a restarted node has a higher one.
type Incarnation uint64

// Sequence numbers the changes within one incarnation or one epoch.
type Sequence uint64

// Epoch numbers the starts of a replica.
type Epoch uint64

// Slots is how many requests a target works on at a time.
type Slots uint32

// State is what a node says of its target.
type State uint8

// The states of a target.
const (
	Ready State = iota
	Cold
	Draining
	// Down is the state of a node whose target does not run.
	Down
)

// String gives the state's name.
func (state State) String() string {
	switch state {
	case Ready:
		return "ready"
	case Cold:
		return "cold"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return "invalid"
}

// Announcement is what a node says of itself. The node counts Sequence from
// one and raises it with each change, and when it takes a lease with another replica.
type Announcement struct {
	Node        request.NodeID
	Incarnation Incarnation
	Sequence    Sequence
	Address     string
	Place       request.Place
	Service     request.ServiceName
	Slots       Slots
	State       State
}

// Record is an announcement with the replica that holds its lease. A record
// that is gone tells that the lease ended; it keeps older ones from coming
// back. A hidden one is missing at the replica that holds it and may come back.
type Record struct {
	Announcement
	Holder request.NodeID
	Gone   bool
	Hidden bool
}

// live says whether the record is on the list of its service.
func (record *Record) live() bool {
	return !record.Gone && !record.Hidden
}

// standing orders the records of one incarnation and sequence.
func (record *Record) standing() int {
	switch {
	case record.Gone:
		return 2
	case record.Hidden:
		return 0
	}
	return 1
}

// newer says whether the record replaces the other one of the same node. It is
// a total order for the states that one node can be in, so that merging is
// commutative, associative and idempotent.
func (record *Record) newer(other *Record) bool {
	if record.Incarnation != other.Incarnation {
		return record.Incarnation > other.Incarnation
	}
	if record.Sequence != other.Sequence {
		return record.Sequence > other.Sequence
	}
	return record.standing() > other.standing()
}

// Digest stands for a set of records, whatever their order.
type Digest uint64

// digest hashes what decides which of two records stands.
func (record *Record) digest() Digest {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(record.Node))
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(record.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], uint64(record.Sequence))
	_, _ = hash.Write(numbers[:])
	return Digest(hash.Sum64())
}

// List is one service's list in an update: the records, or only their digest
// when the receiver has the same.
type List struct {
	Service request.ServiceName
	Digest  Digest
	// Whole says that Records are all of the service's records.
	Whole bool
	// Partial says that the sender may lack records, so that none is dropped
	// because it is missing.
	Partial bool
	Records []Record
}

// Update goes from a replica to a subscriber. An update with lists answers a
// subscription; one with records is a delta from From to To, with the digests
// of the lists that it changes.
type Update struct {
	Epoch   Epoch
	From    Sequence
	To      Sequence
	Answer  bool
	Lists   []List
	Records []Record
}

// Subscription asks for the lists of some services. Held gives the digest of
// what the subscriber has of each.
type Subscription struct {
	Services []request.ServiceName
	Held     []Digest
}

// Lease answers a registration or a renewal.
type Lease struct {
	// Granted is how long the lease lasts; zero is a refusal.
	Granted time.Duration
	// Again asks the node to register again with an incarnation of at least
	// Incarnation and, within that one, a Sequence above Above.
	Again       bool
	Incarnation Incarnation
	Above       Sequence
	// RetryAfter asks the node to wait before it registers.
	RetryAfter time.Duration
	// Epoch and Sent are where the node's subscription should stand.
	Epoch Epoch
	Sent  Sequence
}
