package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ProblemType is the media type of a refusal, after RFC 9457.
const ProblemType = "application/problem+json"

// Refusal is what a caller is told in place of an answer.
type Refusal struct {
	Code       request.Code
	Outcome    request.Outcome
	RetryAfter time.Duration
	Detail     string
	// Claimed says that Outcome holds for the action under its idempotency key,
	// and not only for one attempt at it.
	Claimed bool
	// Handed says that the call was handed to the target before it was refused.
	Handed bool
}

// NewRefusal gives the refusal that the table of result codes has for a code.
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

// problem is the document of a refusal.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Code      request.Code `json:"code"`
	Outcome   string       `json:"outcome"`
	Retryable bool         `json:"retryable"`
}

// WriteRefusal answers with the refusal's problem document.
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
		headers.Set("Retry-After", retryAfter(refusal.RetryAfter))
	}
	writer.WriteHeader(row.Status)
	_, _ = writer.Write(body)
}

// retryAfter rounds up to the whole seconds that the header takes.
func retryAfter(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.Itoa(int(seconds))
}
