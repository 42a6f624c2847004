package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// documentType is the media type of requests and responses.
const documentType = "application/json"

const (
	maxRequestBytes = 2 << 20
	operateTimeout  = 10 * time.Second
	// statusReadTimeout bounds the quorum read of a status request. It is shorter
	// than operateTimeout to leave time for an answer without a quorum.
	statusReadTimeout = 2 * time.Second
)

// OperateFunc carries out one request, locally or by forwarding it to a replica, and
// returns the HTTP status and the JSON document of its response.
type OperateFunc func(ctx context.Context, verb string, body []byte) (int, []byte)

// Handler returns the handler for POST /v1/{verb}, which takes the verb from the
// path value of that name.
func Handler(operate OperateFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		ctx, cancel := context.WithTimeout(incoming.Context(), operateTimeout)
		defer cancel()
		body, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxRequestBytes))
		status, answer := http.StatusRequestEntityTooLarge, []byte(`{"error":"the request is too large"}`)
		if err == nil {
			status, answer = operateWithCertificateName(ctx, operate, incoming, body)
		}
		writer.Header().Set("Content-Type", documentType)
		writer.WriteHeader(status)
		_, _ = writer.Write(append(answer, '\n'))
	})
}

// Client sends operator requests to the admin port of a node. The exported
// fields are set before the first use.
type Client struct {
	// Base is the URL of the port, as http://HOST:PORT.
	Base string
	HTTP *http.Client
}

// FailureError is the error of a request that the node answered with a failure.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error returns the reason that the node gave.
func (failed *FailureError) Error() string { return failed.Failure.Error }

// UnansweredError is the error of a request that got no response; it may have
// been carried out.
type UnansweredError struct{ Reason error }

// Error describes the reason and what to do.
func (unanswered *UnansweredError) Error() string {
	return "no answer: " + unanswered.Reason.Error() + "; " + advice(unanswered.Reason)
}

// advice returns what the operator can do about a missing response.
func advice(reason error) string {
	refusal := &net.OpError{}
	refused := errors.As(reason, &refusal)
	switch {
	case errors.Is(reason, http.ErrSchemeMismatch):
		return "the node takes plaintext only: give no certificate"
	case refused && refusal.Op == "remote error":
		return "the node refused your certificate; see its log for the reason"
	}
	return "ask another node with --address"
}

// Unwrap returns the reason.
func (unanswered *UnansweredError) Unwrap() error { return unanswered.Reason }

// maxResponseBytes is the largest response that is read: several times the largest list of a
// fleet of 3,000 nodes.
const maxResponseBytes = 64 << 20

var errResponseUnreadable = errors.New("the response is cut off, or is no JSON document")

var errResponseTooLarge = errors.New("the response is over 64 MiB: ask another node")

// Call sends a request to the node and decodes its response. It returns a
// [*FailureError] for a failure response, an [*UnansweredError] when no whole
// response arrived, and another error for a request that cannot be built.
func Call[Answer any](ctx context.Context, client *Client, verb Verb, message any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(message)
	if err != nil {
		return answer, fmt.Errorf("encode request: %w", err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, client.Base+"/v1/"+string(verb), bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	outgoing.Header.Set("Content-Type", documentType)
	response, err := client.HTTP.Do(outgoing)
	if err != nil {
		return answer, &UnansweredError{Reason: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(content) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		return answer, &UnansweredError{Reason: err}
	}
	// A document that ends with its connection may be cut off.
	isDocument := response.StatusCode == http.StatusOK || response.Header.Get("Content-Type") == documentType
	if isDocument && !json.Valid(content) {
		return answer, &UnansweredError{Reason: errResponseUnreadable}
	}
	if response.StatusCode != http.StatusOK {
		return answer, decodeFailure(response.StatusCode, content)
	}
	return answer, json.Unmarshal(content, &answer)
}

func decodeFailure(status int, content []byte) error {
	failure := &FailureError{Status: status}
	if json.Unmarshal(content, &failure.Failure) != nil || failure.Failure.Error == "" {
		failure.Failure.Error = http.StatusText(status)
	}
	if bytes.Contains(content, []byte("HTTP request to an HTTPS server")) {
		failure.Failure.Error = "the node takes TLS only: give --authority, --certificate and --key"
	}
	return failure
}

// ChangesState reports whether requests of this kind change the state of the
// system.
func ChangesState(verb Verb) bool {
	switch verb {
	case CreatePatch, DrainTarget, SettleAction, ReplaceReplica:
		return true
	}
	return false
}

// IsInDoubt reports whether a failed request may have been carried out.
func IsInDoubt(err error) bool {
	unanswered := &UnansweredError{}
	failure := &FailureError{}
	if errors.As(err, &unanswered) {
		return true
	}
	return errors.As(err, &failure) && failure.Failure.InDoubt
}
