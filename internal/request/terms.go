// Package request holds the terms in which every other package speaks of one
// call: who it is for, how important it is, whether it may be repeated, until
// when its answer is wanted, and how it ended.
//
// The package has no dependencies and does no I/O, so that each core can use
// it.
//
// # Usage
//
// A node builds one [Work] for each inbound call and hands it to the cores:
//
//	work := request.Work{
//		Call:     request.CallID(7),
//		Kind:     "subsidios/file",
//		Priority: request.NewPriority(3, request.BucketOf(root)),
//		Deadline: now.Add(4 * time.Second),
//	}
//
// A core that turns a call away names the reason with a [Code]; [Describe]
// gives the row of docs/RESULT-CODES.md behind it.
package request

import "time"

// ServiceName names a service of the user, for example "subsidios".
type ServiceName string

// KindName names a kind of request within the whole configuration, as
// "service/kind".
type KindName string

// NodeID names one node for the whole life of its host.
type NodeID string

// DomainName names a failure domain.
type DomainName string

// RegionName names a region, which holds one or more failure domains.
type RegionName string

// Place tells where a process runs.
type Place struct {
	Region RegionName
	Domain DomainName
}

// CallID numbers a call on one connection between two nodes.
type CallID uint64

// RootID identifies the root request behind a tree of calls: the trace id of
// its traceparent.
type RootID [16]byte

// AttemptID identifies one attempt to run a request that may not be repeated.
type AttemptID [16]byte

// InstanceID names one life of a target, as the target announces it.
type InstanceID string

// Fingerprint is a hash over kind, idempotency key and body of a request.
type Fingerprint uint64

// IdempotencyKey is the caller's name for one action, from the
// Idempotency-Key header.
type IdempotencyKey string

// RepeatRule says whether an action may run more than once.
type RepeatRule uint8

// The repeat rules.
const (
	Repeatable RepeatRule = iota
	Once
)

// Outcome says what is known of an action after its attempt ended.
type Outcome uint8

// The outcomes. NotRun is only ever stated when it is certain.
const (
	NotRun Outcome = iota + 1
	Unknown
	Ran
)

// String gives the outcome's name in problem documents.
func (outcome Outcome) String() string {
	switch outcome {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Ran:
		return "ran"
	}
	return "invalid"
}

// Work is one inbound call as the cores see it.
type Work struct {
	Call     CallID
	Root     RootID
	RootKind KindName
	Kind     KindName
	Priority Priority
	Spent    time.Duration
	Deadline time.Time
	// Patience is how long the call may wait for a slot; zero leaves that to
	// the gate.
	Patience time.Duration
}
