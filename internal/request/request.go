// Package request defines the vocabulary that the other packages share for one call:
// its service and kind, its priority, whether it may be repeated, its deadline, and
// its result.
//
// The package has no dependencies and does no I/O, so that every package under
// internal/core can use it. It has no state that changes and is safe for concurrent
// use.
//
// # Usage
//
// A node builds one [Work] for each inbound call and passes it to the cores:
//
//	work := request.Work{
//		Call:     request.CallID(7),
//		Kind:     "subsidios/file",
//		Priority: request.NewPriority(3, request.BucketOf(root)),
//		Deadline: now.Add(4 * time.Second),
//	}
//
// A core that refuses a call gives the reason as a [Code]. [Describe] returns its row
// of docs/RESULT-CODES.md.
package request

import (
	"strings"
	"time"
)

// ServiceName is the name of a user's service, for example "subsidios".
type ServiceName string

// KindName is the name of a kind of request, unique in the configuration, as
// "service/kind".
type KindName string

// NodeID identifies a node. It stays the same for the whole life of its host.
type NodeID string

// DomainName is the name of a failure domain.
type DomainName string

// RegionName is the name of a region, which contains one or more failure domains.
type RegionName string

// CustomerName is the name of a customer, on whose behalf callers send requests.
type CustomerName string

// Place is the region and failure domain in which a process runs.
type Place struct {
	Region RegionName
	Domain DomainName
}

// CallID is the number of a call on one connection between two nodes.
type CallID uint64

// RootID identifies the root request of a tree of calls: the trace id of its
// traceparent.
type RootID [16]byte

// AttemptID identifies one attempt to run an action that may run only once.
type AttemptID [16]byte

// InstanceID identifies one run of a target process, as the target announces it.
type InstanceID string

// Fingerprint is a hash over kind, path, idempotency key and body of a request.
type Fingerprint uint64

// Rate is a number of calls per second.
type Rate float64

// IdempotencyKey is the caller's name for one action, from the Idempotency-Key
// header.
type IdempotencyKey string

// customerSeparator cannot be part of a header, and so of a key that a caller sends.
const customerSeparator = "\x00"

// ForCustomer returns the key within the actions of a customer.
func (key IdempotencyKey) ForCustomer(customer CustomerName) IdempotencyKey {
	if customer == "" {
		return key
	}
	return IdempotencyKey(customer) + customerSeparator + key
}

// SplitCustomer returns the customer that [IdempotencyKey.ForCustomer] was called with,
// and the key as its caller sent it.
func (key IdempotencyKey) SplitCustomer() (CustomerName, IdempotencyKey) {
	customer, own, found := strings.Cut(string(key), customerSeparator)
	if !found {
		return "", key
	}
	return CustomerName(customer), IdempotencyKey(own)
}

// RepeatRule says whether an action may run more than once.
type RepeatRule uint8

// The repeat rules.
const (
	Repeatable RepeatRule = iota
	Once
)

// Outcome is what is known of an action after an attempt has ended.
type Outcome uint8

// The outcomes. NotRun is used only when it is certain.
const (
	NotRun Outcome = iota + 1
	Unknown
	Ran
)

// String returns the outcome's name in problem documents.
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

// Work is one inbound call as the cores see it. Spent is the time spent on its root
// request before it arrived.
type Work struct {
	Call     CallID
	Root     RootID
	RootKind KindName
	Kind     KindName
	Priority Priority
	// Customer is the customer that the root request is for; empty means none.
	Customer CustomerName
	Spent    time.Duration
	Deadline time.Time
	// Patience is how long the call may wait for a slot; zero leaves it to the
	// admission gate.
	Patience time.Duration
	// Excess is how far the call lies over the share of its customer at the target.
	Excess Excess
	// Movable says that the call can go to another target if this one refuses it.
	Movable bool
}
