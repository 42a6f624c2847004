package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ProblemType is the media type of a problem document (RFC 9457).
const ProblemType = "application/problem+json"

// Refusal is the error that a caller gets instead of the target's response.
type Refusal struct {
	Code       request.Code
	Outcome    request.Outcome
	RetryAfter time.Duration
	Detail     string
	// IsActionOutcome reports whether Outcome is that of the action with its idempotency
	// key, rather than only that of one attempt at it.
	IsActionOutcome bool
	// SentToTarget reports whether the call was passed to the target before it was
	// refused.
	SentToTarget bool
}

// NewRefusal returns a refusal with the outcome and the retry delay that the table
// of result codes gives for a code.
func NewRefusal(code request.Code, detail string) *Refusal {
	row := request.Describe(code)
	return &Refusal{Code: code, Outcome: row.Outcome, RetryAfter: row.RetryAfter, Detail: detail}
}

// Error describes the refusal.
func (refusal *Refusal) Error() string {
	if refusal.Detail == "" {
		return refusal.Code.String()
	}
	return refusal.Code.String() + ": " + refusal.Detail
}

// problem is the problem document of a refusal.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Code      request.Code `json:"code"`
	Outcome   string       `json:"outcome"`
	Retryable bool         `json:"retryable"`
}

// WriteRefusal writes a response with the problem document of a refusal.
func WriteRefusal(writer http.ResponseWriter, refusal *Refusal) {
	row := request.Describe(refusal.Code)
	body, err := json.Marshal(problem{
		Type:      "about:blank",
		Title:     row.Meaning,
		Status:    row.Status,
		Detail:    refusal.Detail,
		Code:      refusal.Code,
		Outcome:   refusal.Outcome.String(),
		Retryable: row.RetryLater,
	})
	if err != nil {
		http.Error(writer, "internal", http.StatusInternalServerError)
		return
	}
	headers := writer.Header()
	headers.Set("Content-Type", ProblemType)
	headers.Set(HeaderCode, strconv.Itoa(int(refusal.Code)))
	headers.Set("Content-Length", strconv.Itoa(len(body)))
	if row.RetryLater && refusal.RetryAfter > 0 {
		headers.Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	writer.WriteHeader(row.Status)
	_, _ = writer.Write(body)
}

// retryAfterSeconds formats a delay for the Retry-After header, rounded up to
// whole seconds.
func retryAfterSeconds(delay time.Duration) string {
	seconds := (delay + time.Second - 1) / time.Second
	return strconv.Itoa(int(seconds))
}
