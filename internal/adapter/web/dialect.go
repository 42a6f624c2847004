package web

import (
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Dialect is the set of HTTP headers, statuses and bodies that the callers and
// targets of a site use. A dialect only translates; the node makes the decisions.
type Dialect interface {
	// ReadMetadata reads the parameters of a call from a caller's request, and removes
	// from it the headers that only a node may send to a target, and the customer's key.
	ReadMetadata(incoming *http.Request) (CallerMetadata, *Refusal)
	// Refuse writes the response to a caller whose call is refused.
	Refuse(writer http.ResponseWriter, refusal *Refusal)
	// SetTargetHeaders sets the headers that a target expects.
	SetTargetHeaders(headers http.Header, call TargetMetadata)
	// NamedCall tells which call a response with the headers answer names, given the
	// headers of the call that was sent.
	NamedCall(sent, answer http.Header) NamedCall
	// NotExecutedCode returns the result code if the response states that the target did
	// not execute the call, and [request.OK] for any other response.
	NotExecutedCode(response *http.Response) request.Code
	// TargetStatus returns what a response says about the target.
	TargetStatus(response *http.Response) TargetStatus
	// HealthyInstance returns the instance that answered a health check, and whether it
	// is healthy and not leaving.
	HealthyInstance(response *http.Response) (request.InstanceID, bool)
}

// NamedCall is the call that a response names, compared with the one that was sent.
type NamedCall uint8

const (
	// NoName is a response without a name, where targets need not give one.
	NoName NamedCall = iota
	// OwnCall is the call that was sent.
	OwnCall
	// OtherCall is another call.
	OtherCall
	// NameMissing is a response without a name, where targets always give one.
	NameMissing
)

// CallerMetadata are the parameters of a call that the caller sends.
type CallerMetadata struct {
	// ID is the caller's id of the call; it may be empty.
	ID string
	// Remaining is the time until the caller's deadline; zero means that the
	// caller sent none.
	Remaining time.Duration
	// CustomerKeys are the customer keys of the call: none, one, or several if the
	// header was sent more than once. None of them is logged.
	CustomerKeys []string
}

// TargetMetadata are the parameters of a call that are sent to the target.
type TargetMetadata struct {
	Root request.RootID
	Call request.CallID
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// Caller is the service of the host where the call began.
	Caller request.ServiceName
	// Customer is the customer that the call is for; empty means none.
	Customer request.CustomerName
	// Instance is the target instance that was chosen; empty means any.
	Instance request.InstanceID
}

// NativeDialect is the project's own dialect. Its refusals are problem documents (RFC
// 9457).
type NativeDialect struct{}

// ReadMetadata reads the remaining time from the deadline header.
func (NativeDialect) ReadMetadata(incoming *http.Request) (CallerMetadata, *Refusal) {
	metadata := CallerMetadata{CustomerKeys: TakeCustomerKeys(incoming.Header, HeaderCustomerKey, HeaderCustomer)}
	text := incoming.Header.Get(HeaderDeadline)
	if text == "" {
		return metadata, nil
	}
	remaining, err := time.ParseDuration(text)
	if err != nil || remaining <= 0 {
		return CallerMetadata{}, NewRefusal(request.BadDeadline, HeaderDeadline+` must be the time left as a positive duration, such as "800ms"`)
	}
	metadata.Remaining = remaining
	return metadata, nil
}

// TakeCustomerKeys removes the headers with the customer's key and with its name from the
// headers of a caller, and returns the values of the first.
func TakeCustomerKeys(headers http.Header, keyHeader, nameHeader string) []string {
	keys := headers[keyHeader]
	delete(headers, keyHeader)
	delete(headers, nameHeader)
	return keys
}

// SetCustomer sets the header with the customer's name for a target, or removes it if the
// call is for none, and removes the header with the key.
func SetCustomer(headers http.Header, keyHeader, nameHeader string, customer request.CustomerName) {
	delete(headers, keyHeader)
	delete(headers, nameHeader)
	if customer != "" {
		headers[nameHeader] = []string{string(customer)}
	}
}

// Refuse writes a problem document.
func (NativeDialect) Refuse(writer http.ResponseWriter, refusal *Refusal) {
	WriteRefusal(writer, refusal)
}

// SetTargetHeaders sets the trace context, the id of the call and the remaining time.
func (NativeDialect) SetTargetHeaders(headers http.Header, call TargetMetadata) {
	headers.Set(HeaderCall, strconv.FormatUint(uint64(call.Call), 16))
	headers.Set(HeaderTraceparent, FormatTraceparent(call.Root, call.Call))
	headers.Set(HeaderDeadline, call.Remaining.Round(time.Microsecond).String())
	SetCustomer(headers, HeaderCustomerKey, HeaderCustomer, call.Customer)
}

// NamedCall compares the id of the call, which targets need not repeat.
func (NativeDialect) NamedCall(sent, answer http.Header) NamedCall {
	switch answer.Get(HeaderCall) {
	case "":
		return NoName
	case sent.Get(HeaderCall):
		return OwnCall
	}
	return OtherCall
}

// NotExecutedCode always returns [request.OK]: in this dialect no response states that
// the target did not execute the call.
func (NativeDialect) NotExecutedCode(*http.Response) request.Code { return request.OK }

// TargetStatus reads the target's rate limit and whether it is leaving.
func (NativeDialect) TargetStatus(response *http.Response) TargetStatus {
	return ReadTargetStatus(response.Header[HeaderRateLimit], response.Header[HeaderLeaving])
}

// HealthyInstance goes by the status: in this dialect responses name no instance.
func (NativeDialect) HealthyInstance(response *http.Response) (request.InstanceID, bool) {
	return "", response.StatusCode == http.StatusOK
}
