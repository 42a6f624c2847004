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

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/answer"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	idleCallerConns = 256
	detailLength    = 200
	deadlineMargin  = 10 * time.Millisecond
)

// Caller sends requests to one entry node.
type Caller struct {
	// Entry is the address of the entry node's side towards callers.
	Entry string
	// Dial opens connections; nil means a plain TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client *http.Client
}

// Start prepares the caller.
func (caller *Caller) Start() {
	caller.client = &http.Client{Transport: &http.Transport{
		DialContext:         caller.Dial,
		MaxIdleConnsPerHost: idleCallerConns,
		DisableCompression:  true,
	}}
}

// Close ends idle connections.
func (caller *Caller) Close() { caller.client.CloseIdleConnections() }

// Reply is how an attempt ended.
type Reply struct {
	Result  Result
	Code    request.Code
	Outcome string
	// Detail is the start of an answer that is neither whole nor a refusal.
	Detail string
}

// Send makes one attempt and checks the whole answer. All attempts of an
// action that may not be repeated ask for the same answer.
func (caller *Caller) Send(ctx context.Context, kind Kind, key request.IdempotencyKey, attempt target.AttemptName) Reply {
	ctx, cancel := context.WithTimeout(ctx, kind.Patience)
	defer cancel()
	nonce := string(attempt)
	if kind.Repeat == request.Once {
		nonce = string(key)
	}
	outgoing, err := caller.request(ctx, kind, key, attempt, nonce)
	if err != nil {
		return Reply{Result: Broken}
	}
	response, err := caller.client.Do(outgoing)
	if err != nil {
		return Reply{Result: resultOf(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Result: resultOf(err)}
	}
	return judge(response.StatusCode, body, nonce)
}

func (caller *Caller) request(ctx context.Context, kind Kind, key request.IdempotencyKey, attempt target.AttemptName, nonce string) (*http.Request, error) {
	body := bytes.NewReader(make([]byte, kind.BodySize))
	outgoing, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+caller.Entry+kind.Path, body)
	if err != nil {
		return nil, err
	}
	outgoing.Host = string(kind.Service)
	headers := outgoing.Header
	headers.Set(target.NonceHeader, nonce)
	headers.Set(target.AttemptHeader, string(attempt))
	headers.Set(target.TraceHeader, traceparentOf(attempt))
	if kind.Repeat == request.Once {
		headers.Set(target.KeyHeader, string(key))
	}
	headers.Set(target.DeadlineHeader, (kind.Patience - deadlineMargin).String())
	return outgoing, nil
}

// judge sorts an answer. Only a success that is whole and the caller's own
// counts.
func judge(status int, body []byte, nonce string) Reply {
	if status == http.StatusOK {
		if answer.Check(body, nonce) != nil {
			return Reply{Result: Wrong}
		}
		return Reply{Result: Whole}
	}
	var problem struct {
		Code    request.Code `json:"code"`
		Outcome string       `json:"outcome"`
	}
	if err := json.Unmarshal(body, &problem); err != nil || problem.Code == request.OK {
		return Reply{Result: Broken, Detail: string(body[:min(len(body), detailLength)])}
	}
	return Reply{Result: Refused, Code: problem.Code, Outcome: problem.Outcome}
}

// traceparentOf derives a trace id from the attempt's name, so that a run is
// the same for one seed.
func traceparentOf(attempt target.AttemptName) string {
	high := xxhash.Sum64String(string(attempt))
	low := xxhash.Sum64String(string(attempt) + "/low")
	return fmt.Sprintf("00-%016x%016x-%016x-01", high|1, low, high^low|1)
}
