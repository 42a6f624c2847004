package load

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// AttemptResult is the outcome of one attempt for its caller.
type AttemptResult uint8

// The results of an attempt.
const (
	// ResultWhole is a complete and correct answer in time.
	ResultWhole AttemptResult = iota
	// ResultRefused is a refusal with a result code.
	ResultRefused
	// ResultLate is no answer within the caller's timeout.
	ResultLate
	// ResultBroken is a connection error, or an error response without a code.
	ResultBroken
	// ResultWrong is a success response with a truncated or corrupted answer, or with
	// the answer to another request.
	ResultWrong
)

// String returns the name that is printed in errors.
func (result AttemptResult) String() string {
	switch result {
	case ResultWhole:
		return "whole"
	case ResultRefused:
		return "refused"
	case ResultLate:
		return "late"
	case ResultBroken:
		return "broken"
	case ResultWrong:
		return "wrong"
	}
	return "invalid"
}

// Attempt is one sending of a request. Its times are since the start of the run.
type Attempt struct {
	Name    target.AttemptName
	Result  AttemptResult
	Code    request.Code
	Outcome string
	SentAt  time.Duration
	EndedAt time.Duration
	// Cut is as in [Reply].
	Cut bool
}

// Sample is one request with all its attempts. Its times are since the start of
// the run.
type Sample struct {
	KindIndex int
	// EntryIndex is the index of the caller of the entry node.
	EntryIndex int
	Key        request.IdempotencyKey
	ArrivedAt  time.Duration
	EndedAt    time.Duration
	Attempts   []Attempt
}

// Succeeded reports whether the last attempt got the complete answer.
func (sample Sample) Succeeded() bool {
	return len(sample.Attempts) > 0 && sample.Attempts[len(sample.Attempts)-1].Result == ResultWhole
}
