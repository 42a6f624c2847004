package web

import (
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Dialect is the set of HTTP headers, statuses and bodies that the callers and
// targets of a site use. A dialect only translates; the node makes the decisions.
type Dialect interface {
	// Terms reads the parameters of a call from a caller's request.
	Terms(incoming *http.Request) (Terms, *Refusal)
	// Refuse writes the response to a caller whose call is refused.
	Refuse(writer http.ResponseWriter, refusal *Refusal)
	// Address sets the headers that a target expects.
	Address(headers http.Header, call TargetTerms)
	// Belongs reports whether a response with the headers answer belongs to the
	// call that was sent with the headers sent.
	Belongs(sent, answer http.Header) bool
	// Declined returns the result code if the response states that the target did
	// not execute the call, and [request.OK] for any other response.
	Declined(response *http.Response) request.Code
}

// Terms are the parameters of a call that the caller sends.
type Terms struct {
	// ID is the caller's id of the call; it may be empty.
	ID string
	// Remaining is the time until the caller's deadline; zero means that the
	// caller sent none.
	Remaining time.Duration
}

// TargetTerms are the parameters of a call that are sent to the target.
type TargetTerms struct {
	Root request.RootID
	Call request.CallID
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// Caller is the service of the host where the call began.
	Caller request.ServiceName
	// Instance is the target instance that was chosen; empty means any.
	Instance request.InstanceID
}

// Native is the project's own dialect. Its refusals are problem documents (RFC
// 9457).
type Native struct{}

// Terms reads the remaining time from the deadline header.
func (Native) Terms(incoming *http.Request) (Terms, *Refusal) {
	text := incoming.Header.Get(HeaderDeadline)
	if text == "" {
		return Terms{}, nil
	}
	remaining, err := time.ParseDuration(text)
	if err != nil || remaining <= 0 {
		return Terms{}, NewRefusal(request.BadDeadline, HeaderDeadline+` must be the time left as a positive duration, such as "800ms"`)
	}
	return Terms{Remaining: remaining}, nil
}

// Refuse writes a problem document.
func (Native) Refuse(writer http.ResponseWriter, refusal *Refusal) {
	WriteRefusal(writer, refusal)
}

// Address sets the trace context and the remaining time.
func (Native) Address(headers http.Header, call TargetTerms) {
	headers.Set(HeaderTraceparent, FormatTraceparent(call.Root, call.Call))
	headers.Set(HeaderDeadline, call.Remaining.Round(time.Microsecond).String())
}

// Belongs is always true: in this dialect responses carry no id of the call.
func (Native) Belongs(_, _ http.Header) bool { return true }

// Declined always returns [request.OK]: in this dialect no response states that
// the target did not execute the call.
func (Native) Declined(*http.Response) request.Code { return request.OK }
