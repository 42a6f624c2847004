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

const (
	maxRequest     = 2 << 20
	operateTimeout = 10 * time.Second
	// statusReadTimeout leaves time to answer without a quorum.
	statusReadTimeout = 2 * time.Second
)

// Operate carries out one request, here or at a replica.
type Operate func(ctx context.Context, verb string, body []byte) (int, []byte)

// Handler serves POST /v1/{verb}.
func Handler(operate Operate) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		ctx, cancel := context.WithTimeout(incoming.Context(), operateTimeout)
		defer cancel()
		body, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxRequest))
		status, answer := http.StatusRequestEntityTooLarge, []byte(`{"error":"the request is too large"}`)
		if err == nil {
			status, answer = operateAs(ctx, operate, incoming, body)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_, _ = writer.Write(append(answer, '\n'))
	})
}

// Client asks the operators' port of a node. The exported fields are set
// before the first use.
type Client struct {
	// Base is the address of the port, as http://HOST:PORT.
	Base string
	HTTP *http.Client
}

// FailureError is a request that was not carried out.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error says why.
func (failureError *FailureError) Error() string { return failureError.Failure.Error }

// UnansweredError is a request whose answer did not come; it may have been
// carried out.
type UnansweredError struct{ Reason error }

// Error says why, and what to do.
func (unansweredError *UnansweredError) Error() string {
	return "no answer: " + unansweredError.Reason.Error() + "; " + advice(unansweredError.Reason)
}

func advice(reason error) string {
	refusal := &net.OpError{}
	refused := errors.As(reason, &refusal)
	switch {
	case errors.Is(reason, http.ErrSchemeMismatch):
		return "the node takes plaintext only: give no certificate"
	case refused && refusal.Op == "remote error":
		return "the node refused your certificate, its log says why"
	}
	return "ask another node, by --address"
}

// Unwrap gives the reason.
func (unansweredError *UnansweredError) Unwrap() error { return unansweredError.Reason }

// Ask sends a request and reads its answer. It errors with [*FailureError] or
// [*UnansweredError].
func Ask[Answer any](ctx context.Context, client *Client, verb Verb, message any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(message)
	if err != nil {
		return answer, fmt.Errorf("encode request: %w", err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, client.Base+"/v1/"+string(verb), bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	outgoing.Header.Set("Content-Type", "application/json")
	response, err := client.HTTP.Do(outgoing)
	if err != nil {
		return answer, &UnansweredError{Reason: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, &UnansweredError{Reason: err}
	}
	if response.StatusCode != http.StatusOK {
		return answer, failureOf(response.StatusCode, content)
	}
	return answer, json.Unmarshal(content, &answer)
}

func failureOf(status int, content []byte) error {
	failure := &FailureError{Status: status}
	if json.Unmarshal(content, &failure.Failure) != nil || failure.Failure.Error == "" {
		failure.Failure.Error = http.StatusText(status)
	}
	if bytes.Contains(content, []byte("HTTP request to an HTTPS server")) {
		failure.Failure.Error = "the node takes TLS only: give --authority, --certificate and --key"
	}
	return failure
}

// Changes tells whether a request changes something.
func Changes(verb Verb) bool {
	switch verb {
	case CreatePatch, DrainTarget, SettleAction, ReplaceReplica:
		return true
	}
	return false
}

// IsInDoubt tells whether a request that failed may have been carried out.
func IsInDoubt(err error) bool {
	unanswered := &UnansweredError{}
	failure := &FailureError{}
	if errors.As(err, &unanswered) {
		return true
	}
	return errors.As(err, &failure) && failure.Failure.InDoubt
}
