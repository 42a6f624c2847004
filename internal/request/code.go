package request

import (
	"net/http"
	"time"
)

// Code is the number of a result. The table is in docs/RESULT-CODES.md.
type Code uint16

// The result codes. A code never changes its meaning; new codes are added.
const (
	OK Code = 0

	UnknownService     Code = 1001
	UnknownKind        Code = 1002
	KeyMissing         Code = 1003
	BodyTooLarge       Code = 1004
	BadDeadline        Code = 1005
	BadRequest         Code = 1006
	KeyReusedOtherBody Code = 1007
	KeyTooLong         Code = 1008
	CustomerKeyMissing Code = 1009
	CustomerKeyUnknown Code = 1010

	Overloaded       Code = 2001
	OverloadedBelow  Code = 2002
	DeadlineTooClose Code = 2003
	WaitedTooLong    Code = 2004
	ColdTarget       Code = 2005
	LinkFull         Code = 2006
	ConnectionsFull  Code = 2007
	Draining         Code = 2008
	Quarantined      Code = 2009
	CallerLeft       Code = 2010
	NotReady         Code = 2012
	RateLimited      Code = 2013
	OverQuota        Code = 2014
	KeysUnconfirmed  Code = 2015
	QuotaUnknown     Code = 2016
	Stopping         Code = 2017

	NoTarget          Code = 3001
	TargetUnreachable Code = 3002
	TargetDied        Code = 3003
	AnswerCut         Code = 3004
	DeadlinePassed    Code = 3005
	PeerIncompatible  Code = 3006
	BrokenFrame       Code = 3007
	AnswerBroken      Code = 3008

	ClaimUnavailable Code = 4001
	ClaimInDoubt     Code = 4002
	ClaimRunning     Code = 4003
	OutcomeUnknown   Code = 4004
	AnswerNotKept    Code = 4005

	Internal Code = 5001
)

// StatusCallerLeft is the HTTP status of a call whose caller closed its connection.
// No caller receives it.
const StatusCallerLeft = 499

// CodeDescription describes one result code.
type CodeDescription struct {
	Code           Code
	Name           string
	Status         int
	Outcome        Outcome
	RetryElsewhere bool
	RetryLater     bool
	RetryAfter     time.Duration
	Meaning        string
}

// Codes is the table of result codes in the order of the docs. RetryElsewhere says
// that another target may accept the call now, RetryLater that the same call may
// succeed after RetryAfter. Status is an HTTP status.
var Codes = []CodeDescription{
	{UnknownService, "unknown-service", http.StatusNotFound, NotRun, false, false, 0, "no service in the configuration matches the call"},
	{UnknownKind, "unknown-kind", http.StatusNotFound, NotRun, false, false, 0, "no kind of the service matches method and path"},
	{KeyMissing, "key-missing", http.StatusBadRequest, NotRun, false, false, 0, "the kind may not be repeated and needs an Idempotency-Key"},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, false, false, 0, "the body is over the limit of its kind"},
	{BadDeadline, "bad-deadline", http.StatusBadRequest, NotRun, false, false, 0, "the deadline header cannot be read"},
	{BadRequest, "bad-request", http.StatusBadRequest, NotRun, false, false, 0, "the request cannot be read"},
	{KeyReusedOtherBody, "key-reused-with-another-body", http.StatusUnprocessableEntity, NotRun, false, false, 0, "the Idempotency-Key was used before with another body"},
	{KeyTooLong, "key-too-long", http.StatusBadRequest, NotRun, false, false, 0, "the Idempotency-Key is over its limit"},
	{CustomerKeyMissing, "customer-key-missing", http.StatusUnauthorized, NotRun, false, false, 0, "the route is not public and the call has no customer key"},
	{CustomerKeyUnknown, "customer-key-unknown", http.StatusUnauthorized, NotRun, false, false, 0, "no customer has the key of the call, or it has several keys"},

	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the target is full and takes only more important work"},
	{OverloadedBelow, "overloaded-below", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "a service further down takes only more important work"},
	{DeadlineTooClose, "deadline-too-close", http.StatusServiceUnavailable, NotRun, false, false, 0, "the deadline cannot be met any more"},
	{WaitedTooLong, "waited-too-long", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the call waited for a slot until waiting no longer helped"},
	{ColdTarget, "cold-target", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the target has just started and takes little work yet"},
	{LinkFull, "link-full", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "the link between regions is full and the call is not important enough"},
	{ConnectionsFull, "connections-full", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the target's connections are all in use"},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the target is leaving and takes no new work"},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, NotRun, false, true, time.Minute, "targets died while they worked on this request"},
	{CallerLeft, "caller-left", StatusCallerLeft, NotRun, false, false, 0, "the caller went away before the call was handed to a target"},

	{NotReady, "not-ready", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the node has just started and has no configuration yet"},
	{RateLimited, "rate-limited", http.StatusServiceUnavailable, NotRun, true, true, time.Second, "the target takes only as many calls per second as it states in its answers"},
	{OverQuota, "over-quota", http.StatusTooManyRequests, NotRun, false, true, time.Second, "the customer sends more requests per second than its quota"},
	{KeysUnconfirmed, "keys-unconfirmed", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "the node has not reached the control plane for so long that the key may have been withdrawn"},
	{QuotaUnknown, "quota-unknown", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "no replica answers whether the customer has quota left, and this node's own part of it is used up"},
	{Stopping, "stopping", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "the node will stop before the call would have ended"},

	{NoTarget, "no-target", http.StatusServiceUnavailable, NotRun, false, true, time.Second, "no target of the service is known in reach"},
	{TargetUnreachable, "target-unreachable", http.StatusBadGateway, NotRun, true, true, time.Second, "the chosen target could not be reached"},
	{TargetDied, "target-died", http.StatusBadGateway, Unknown, false, true, time.Second, "the target went away while it worked on the call"},
	{AnswerCut, "answer-cut", http.StatusBadGateway, Unknown, false, true, time.Second, "the answer ended early and was thrown away"},
	{DeadlinePassed, "deadline-passed", http.StatusGatewayTimeout, Unknown, false, false, 0, "the deadline passed while the target worked on the call"},
	{PeerIncompatible, "peer-incompatible", http.StatusBadGateway, NotRun, true, true, time.Second, "the peer speaks another version of the protocol"},
	{BrokenFrame, "broken-frame", http.StatusBadGateway, Unknown, false, true, time.Second, "a frame or an answer between nodes was malformed"},
	{AnswerBroken, "answer-broken", http.StatusBadGateway, Unknown, true, true, time.Second, "the target broke its answer off or sent none of HTTP, and is still there"},

	{ClaimUnavailable, "claim-unavailable", http.StatusServiceUnavailable, NotRun, false, true, time.Minute, "the quorum holds as many claims as it can, and none on this key; the action was not started"},
	{ClaimInDoubt, "claim-in-doubt", http.StatusServiceUnavailable, Unknown, false, true, time.Second, "no quorum answered; this attempt did not start the action, but an earlier one with this key may have"},
	{ClaimRunning, "claim-running", http.StatusConflict, Unknown, false, true, time.Second, "an earlier attempt with this key still runs; its answer is kept for a resend"},
	{OutcomeUnknown, "outcome-unknown", http.StatusConflict, Unknown, false, false, 0, "an earlier attempt with this key may have run; it is never run again"},
	{AnswerNotKept, "answer-not-kept", http.StatusConflict, Ran, false, false, 0, "the action ran once; its answer was not kept"},

	{Internal, "internal", http.StatusInternalServerError, Unknown, false, false, 0, "a fault of the node itself"},
}

var rowByCode = indexRows()

func indexRows() map[Code]CodeDescription {
	index := make(map[Code]CodeDescription, len(Codes))
	for _, row := range Codes {
		index[row.Code] = row
	}
	return index
}

// Describe returns the row of a code, or that of [Internal] if the table does not
// have it.
func Describe(code Code) CodeDescription {
	row, ok := rowByCode[code]
	if !ok {
		return rowByCode[Internal]
	}
	return row
}

// String returns the code's name.
func (code Code) String() string {
	if code == OK {
		return "ok"
	}
	return Describe(code).Name
}
