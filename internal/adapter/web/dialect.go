package web

import (
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Dialect is what the callers and targets of a site speak on top of HTTP. The
// node decides; a dialect only reads and writes headers and bodies.
type Dialect interface {
	// Terms reads what a caller asks of a call.
	Terms(incoming *http.Request) (Terms, *Refusal)
	// Refuse answers a caller in place of a target.
	Refuse(writer http.ResponseWriter, refusal *Refusal)
	// Address sets the headers that a target expects.
	Address(headers http.Header, call TargetTerms)
	// Belongs tells whether an answer is the one to a call that was sent with
	// these headers.
	Belongs(sent, answer http.Header) bool
	// Declined gives the reason where the target states that it did not run the
	// call, and [request.OK] for any other answer.
	Declined(response *http.Response) request.Code
}

// Terms is what a caller asks of one call.
type Terms struct {
	// ID is the caller's own name for the call; it may be empty.
	ID string
	// Remaining is how long the caller waits; zero is not given.
	Remaining time.Duration
}

// TargetTerms is what a target is told of a call.
type TargetTerms struct {
	Root      request.RootID
	Call      request.CallID
	Remaining time.Duration
	// Caller is the service of the host where the call began.
	Caller request.ServiceName
	// Instance names the target that is meant; empty means any.
	Instance request.InstanceID
}

// Native is the product's own dialect.
type Native struct{}

// Terms reads the caller's deadline.
func (Native) Terms(incoming *http.Request) (Terms, *Refusal) {
	text := incoming.Header.Get(HeaderDeadline)
	if text == "" {
		return Terms{}, nil
	}
	remaining, err := time.ParseDuration(text)
	if err != nil || remaining <= 0 {
		return Terms{}, NewRefusal(request.BadDeadline, HeaderDeadline+` must be a duration that is left, such as "800ms"`)
	}
	return Terms{Remaining: remaining}, nil
}

// Refuse writes a problem document.
func (Native) Refuse(writer http.ResponseWriter, refusal *Refusal) {
	WriteRefusal(writer, refusal)
}

// Address sets the trace context and the deadline.
func (Native) Address(headers http.Header, call TargetTerms) {
	headers.Set(HeaderTraceparent, FormatTraceparent(call.Root, call.Call))
	headers.Set(HeaderDeadline, call.Remaining.Round(time.Microsecond).String())
}

// Belongs holds for every answer: targets do not repeat a call's name.
func (Native) Belongs(_, _ http.Header) bool { return true }

// Declined knows no answer that says so.
func (Native) Declined(*http.Response) request.Code { return request.OK }
