package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/answer"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	maxIdleConnsPerEntry = 256
	maxDetailBytes       = 200
	deadlineMargin       = 10 * time.Millisecond
)

// Caller sends requests to one entry node.
type Caller struct {
	// EntryAddress is the address at which the entry node accepts callers.
	EntryAddress string
	// Dial opens connections; nil means a plain TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// CustomerKey is sent with each request; empty means none.
	CustomerKey string

	client *http.Client
}

// Start creates the HTTP client; it is called before Send.
func (caller *Caller) Start() {
	caller.client = &http.Client{Transport: &http.Transport{
		DialContext:         caller.Dial,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		DisableCompression:  true,
	}}
}

// Close closes idle connections.
func (caller *Caller) Close() { caller.client.CloseIdleConnections() }

// Reply is the outcome of one attempt.
type Reply struct {
	Result  AttemptResult
	Code    request.Code
	Outcome string
	// Detail is the start of an answer that is neither a success nor a refusal with a
	// code, at most maxDetailBytes long.
	Detail string
	// Cut says that the connection ended without the whole answer to a request that the
	// entry node had been sent whole.
	Cut bool
}

// Send makes one attempt and checks the complete answer. All attempts of an action
// that may not be repeated use the same nonce and so expect the same answer. Send
// is safe for concurrent use.
func (caller *Caller) Send(ctx context.Context, kind Kind, key request.IdempotencyKey, attempt target.AttemptName) Reply {
	ctx, cancel := context.WithTimeout(ctx, kind.AttemptTimeout)
	defer cancel()
	nonce := string(attempt)
	if kind.Repeat == request.Once {
		nonce = string(key)
	}
	watched := &exchange{}
	outgoing, err := caller.newRequest(watched.withTrace(ctx), kind, key, attempt, nonce)
	if err != nil {
		return Reply{Result: ResultBroken}
	}
	response, err := caller.client.Do(outgoing)
	if err != nil {
		return Reply{Result: classifyError(err), Cut: watched.wasCut(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Result: classifyError(err), Cut: watched.wasCut(err)}
	}
	return classifyResponse(response.StatusCode, body, nonce)
}

func (caller *Caller) newRequest(ctx context.Context, kind Kind, key request.IdempotencyKey, attempt target.AttemptName, nonce string) (*http.Request, error) {
	body := bytes.NewReader(make([]byte, kind.BodyBytes))
	outgoing, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+caller.EntryAddress+kind.Path, body)
	if err != nil {
		return nil, err
	}
	outgoing.Host = string(kind.Service)
	headers := outgoing.Header
	headers.Set(target.NonceHeader, nonce)
	headers.Set(target.AttemptHeader, string(attempt))
	headers.Set(target.TraceHeader, traceparentFor(attempt))
	if kind.Repeat == request.Once {
		headers.Set(target.KeyHeader, string(key))
	}
	if caller.CustomerKey != "" {
		headers.Set(web.HeaderCustomerKey, caller.CustomerKey)
	}
	headers.Set(target.DeadlineHeader, (kind.AttemptTimeout - deadlineMargin).String())
	return outgoing, nil
}

// classifyResponse returns the result of a response. A status 200 counts as a
// success only with the complete answer to the caller's own request.
func classifyResponse(status int, body []byte, nonce string) Reply {
	if status == http.StatusOK {
		if answer.Check(body, nonce) != nil {
			return Reply{Result: ResultWrong}
		}
		return Reply{Result: ResultWhole}
	}
	var problem struct {
		Code    request.Code `json:"code"`
		Outcome string       `json:"outcome"`
	}
	if err := json.Unmarshal(body, &problem); err != nil || problem.Code == request.OK {
		return Reply{Result: ResultBroken, Detail: string(body[:min(len(body), maxDetailBytes)])}
	}
	return Reply{Result: ResultRefused, Code: problem.Code, Outcome: problem.Outcome}
}

// traceparentFor derives a W3C trace context from the attempt's name, so that
// equal seeds give equal traces.
func traceparentFor(attempt target.AttemptName) string {
	high := xxhash.Sum64String(string(attempt))
	low := xxhash.Sum64String(string(attempt) + "/low")
	return fmt.Sprintf("00-%016x%016x-%016x-01", high|1, low, high^low|1)
}
