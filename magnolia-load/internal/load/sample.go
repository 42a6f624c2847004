package load

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// Result says how one attempt ended for its caller.
type Result uint8

// The results.
const (
	// Whole is a whole and correct answer in time.
	Whole Result = iota
	// Refused is a refusal with a numbered code.
	Refused
	// Late is no answer within the caller's patience.
	Late
	// Broken is a broken connection or an answer without a code that is no
	// success.
	Broken
	// Wrong is an answer that claims success and is cut, damaged or another
	// caller's.
	Wrong
)

// String gives the result's name.
func (result Result) String() string {
	switch result {
	case Whole:
		return "whole"
	case Refused:
		return "refused"
	case Late:
		return "late"
	case Broken:
		return "broken"
	case Wrong:
		return "wrong"
	}
	return "invalid"
}

// Attempt is one sending of a request.
type Attempt struct {
	Name    target.AttemptName
	Result  Result
	Code    request.Code
	Outcome string
	Sent    time.Duration
	Ended   time.Duration
}

// Sample is one request of a caller with all its attempts.
type Sample struct {
	Kind     int
	Key      request.IdempotencyKey
	Arrived  time.Duration
	Ended    time.Duration
	Attempts []Attempt
}

// Whole tells whether the caller got its whole answer in the end.
func (sample Sample) Whole() bool {
	return len(sample.Attempts) > 0 && sample.Attempts[len(sample.Attempts)-1].Result == Whole
}
