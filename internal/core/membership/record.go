package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Incarnation identifies a start of a node. It grows with each restart.
type Incarnation uint64

// Sequence numbers the changes within one incarnation of a node or one epoch of
// a replica.
type Sequence uint64

// Epoch identifies a start of a replica. It grows with each restart.
type Epoch uint64

// Slots is the number of requests that a target processes concurrently.
type Slots uint32

// State is the state of a target as its node reports it.
type State uint8

// The states of a target.
const (
	Ready State = iota
	// Cold is the state of a target that is warming up.
	Cold
	// Draining is the state of a target that is about to stop and gets no new
	// requests.
	Draining
	// Down is the state of a target that is not running.
	Down
)

// String returns the state's name in lower case.
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

// Announcement is what a node registers about itself and its target. Sequence
// starts at 1. The node raises it with each change, and when it registers with
// another replica.
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

// Record is an announcement with its registration state.
type Record struct {
	Announcement
	// Holder is the replica that granted the lease.
	Holder request.NodeID
	// Gone marks a tombstone: the lease ended. It prevents older records of the
	// node from being listed again.
	Gone bool
	// Hidden says that the holder lacks the record or is silent. Unlike a
	// tombstone it allows the same record to be listed again.
	Hidden bool
}

// isListed reports whether the record is on the list of its service.
func (record *Record) isListed() bool {
	return !record.Gone && !record.Hidden
}

// precedence orders the records with the same incarnation and sequence.
func (record *Record) precedence() int {
	switch {
	case record.Gone:
		return 2
	case record.Hidden:
		return 0
	}
	return 1
}

// supersedes reports whether the record replaces another one of the same node. It
// is a total order over the possible states of a node, so that merging is
// commutative, associative and idempotent.
func (record *Record) supersedes(other *Record) bool {
	if record.Incarnation != other.Incarnation {
		return record.Incarnation > other.Incarnation
	}
	if record.Sequence != other.Sequence {
		return record.Sequence > other.Sequence
	}
	return record.precedence() > other.precedence()
}

// Digest is a hash of a set of records that does not depend on their order: the
// sum of the hashes of the records.
type Digest uint64

// digest hashes the fields that determine the version of a record.
func (record *Record) digest() Digest {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(record.Node))
	var version [16]byte
	binary.BigEndian.PutUint64(version[:8], uint64(record.Incarnation))
	binary.BigEndian.PutUint64(version[8:], uint64(record.Sequence))
	_, _ = hash.Write(version[:])
	return Digest(hash.Sum64())
}

// List is the list of one service in an update. It holds the records, or only
// their digest if the receiver already has the same ones.
type List struct {
	// Service is empty in an update to a replica, whose single list holds the
	// records of all services.
	Service request.ServiceName
	Digest  Digest
	// HasRecords says that Records holds all records of the list that the sender
	// has.
	HasRecords bool
	// MayLackRecords says that the sender may lack records, so that the receiver
	// must not drop a record that is missing in the list.
	MayLackRecords bool
	Records        []Record
}

// Update is sent from a replica to a subscriber.
type Update struct {
	Epoch Epoch
	// From and To are the sequences before and after a delta. Without a delta,
	// only To is set.
	From Sequence
	To   Sequence
	// Answer says that the update states the complete lists, or their digests,
	// as after a subscription. Otherwise it is a delta.
	Answer bool
	// Lists are the subscribed lists, or in a delta only the digests of the lists
	// that it changes.
	Lists []List
	// Records are the changed records of a delta.
	Records []Record
}

// Subscription requests the lists of some services.
type Subscription struct {
	Services []request.ServiceName
	// HeldDigests are the digests of the subscriber's lists, in the order of
	// Services.
	HeldDigests []Digest
}

// Lease is the answer to a registration or a renewal.
type Lease struct {
	// Duration is the duration of the lease. Zero means that it was refused.
	Duration time.Duration
	// RegisterAgain asks the node to register again with an incarnation of at
	// least MinIncarnation and, if it is equal, with a sequence higher than
	// AboveSequence.
	RegisterAgain  bool
	MinIncarnation Incarnation
	AboveSequence  Sequence
	// RetryAfter is the time that the node should wait before it registers.
	RetryAfter time.Duration
	// Epoch and SentSequence are the epoch and the sequence of the last update
	// that was sent to the node.
	Epoch        Epoch
	SentSequence Sequence
}
