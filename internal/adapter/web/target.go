package web

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	targetDialTimeout = time.Second
	// heldRequest is the largest body that is written together with its header
	// before the answer is read.
	heldRequest = 16 << 10
	// maxForeign bounds the answers to other calls that are read past.
	maxForeign = 3
)

var errForeignAnswer = errors.New("the target answered another call")

// TargetClient sends calls to the local target, one at a time on a connection.
// It reads and writes HTTP by net/http, and keeps connections itself: the
// client of net/http sends a call again by itself when a kept connection proves
// dead, and does not tell whether any byte of a call went out. The exported
// fields are set before the first use.
type TargetClient struct {
	// Address is the target's host:port.
	Address string
	// Connections is the most connections that the target takes until
	// SetConnections says otherwise.
	Connections int
	// Dialect tells which answer belongs to which call; nil is [Native].
	Dialect Dialect

	lock  sync.Mutex
	limit int
	open  int
	idle  []*targetConn
	// changed is closed when a call that waits for a connection may get one.
	changed chan struct{}
}

// Start prepares the client.
func (targetClient *TargetClient) Start() {
	if targetClient.Dialect == nil {
		targetClient.Dialect = Native{}
	}
	targetClient.SetConnections(targetClient.Connections)
}

// SetConnections bounds the connections to the target from now on. Calls under
// way go on over those that they have.
func (targetClient *TargetClient) SetConnections(connections int) {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	if connections > 0 {
		targetClient.limit = connections
		targetClient.wake()
	}
}

// Close ends idle connections.
func (targetClient *TargetClient) Close() {
	targetClient.lock.Lock()
	idle := targetClient.idle
	targetClient.idle = nil
	targetClient.open -= len(idle)
	targetClient.wake()
	targetClient.lock.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// TargetCall is one call to the local target.
type TargetCall struct {
	Method     string
	Path       string
	Host       string
	Headers    http.Header
	Body       io.Reader
	BodyLength int64
}

// SentError tells that the target may have begun to work on a call that failed.
type SentError struct{ Reason error }

// Error describes the reason.
func (sentError *SentError) Error() string {
	return "target failed after the call was sent: " + sentError.Reason.Error()
}

// Unwrap gives the reason.
func (sentError *SentError) Unwrap() error { return sentError.Reason }

// Send hands the call to the target once and gives its answer. A [*SentError]
// tells that the target may have run it; any other error, that it did not.
func (targetClient *TargetClient) Send(ctx context.Context, call TargetCall) (*http.Response, error) {
	for {
		conn, kept, err := targetClient.take(ctx)
		if err != nil {
			return nil, err
		}
		if err := ended(ctx); err != nil {
			targetClient.keep(conn)
			return nil, err
		}
		response, err := conn.exchange(ctx, call)
		if err == nil {
			return response, nil
		}
		conn.discard()
		if conn.wrote.Load() {
			return nil, &SentError{Reason: err}
		}
		if !kept || ctx.Err() != nil || call.BodyLength != 0 {
			// Of a body a part has been read, which would be missing at another try.
			return nil, err
		}
		// No byte left on a kept connection, so another one may be tried.
	}
}

// ended tells whether nobody waits for the call any more. The clock is asked as well,
// since on a host without free processor time a context ends late.
func ended(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, bounded := ctx.Deadline(); bounded && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// take gives a kept connection, or a new one.
func (targetClient *TargetClient) take(ctx context.Context) (conn *targetConn, kept bool, err error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GetConn != nil {
		trace.GetConn(targetClient.Address)
	}
	for {
		conn, full := targetClient.reserve()
		if full != nil {
			select {
			case <-full:
				continue
			case <-ctx.Done():
				return nil, false, ctx.Err()
			}
		}
		if conn == nil {
			conn, err = targetClient.dial(ctx)
			return conn, false, err
		}
		if conn.usable(time.Now()) {
			conn.wrote.Store(false)
			return conn, true, nil
		}
		conn.discard()
	}
}

// reserve takes the connection that was used last, or a place for a new one, or
// gives a channel that is closed when there may be one.
func (targetClient *TargetClient) reserve() (*targetConn, <-chan struct{}) {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	if last := len(targetClient.idle) - 1; last >= 0 {
		conn := targetClient.idle[last]
		targetClient.idle = targetClient.idle[:last]
		return conn, nil
	}
	if targetClient.open >= targetClient.limit {
		if targetClient.changed == nil {
			targetClient.changed = make(chan struct{})
		}
		return nil, targetClient.changed
	}
	targetClient.open++
	return nil, nil
}

func (targetClient *TargetClient) dial(ctx context.Context) (*targetConn, error) {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	opened, err := dialer.DialContext(ctx, "tcp", targetClient.Address)
	if err != nil {
		targetClient.forget()
		return nil, fmt.Errorf("connect to the target: %w", err)
	}
	return newTargetConn(targetClient, opened), nil
}

func (targetClient *TargetClient) forget() {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	targetClient.open--
	targetClient.wake()
}

// wake lets waiting calls look again. The lock is held.
func (targetClient *TargetClient) wake() {
	if targetClient.changed != nil {
		close(targetClient.changed)
		targetClient.changed = nil
	}
}

func (targetClient *TargetClient) keep(conn *targetConn) {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	targetClient.idle = append(targetClient.idle, conn)
	targetClient.wake()
}

// outgoing builds the request with the path exactly as the caller sent it.
func (call TargetCall) outgoing(address string) *http.Request {
	request := &http.Request{
		Method:        call.Method,
		URL:           targetURL(address, call.Path),
		Host:          call.Host,
		Header:        call.Headers,
		ContentLength: call.BodyLength,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if _, named := call.Headers["User-Agent"]; !named {
		// Keeps net/http from naming itself as the caller.
		call.Headers["User-Agent"] = []string{""}
	}
	if call.Body != nil && call.BodyLength != 0 {
		request.Body = io.NopCloser(call.Body)
	}
	return request
}

// targetURL gives the URL that net/http writes as this path and query. It would take
// two slashes at the start of an opaque one for the start of a host.
func targetURL(address, path string) *url.URL {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: path}
	}
	raw, query, asked := strings.Cut(path, "?")
	plain, err := url.PathUnescape(raw)
	if err != nil {
		plain = raw
	}
	return &url.URL{Scheme: "http", Host: address, Path: plain, RawPath: raw, RawQuery: query, ForceQuery: asked}
}

var headPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// IsReset tells whether an error says that the target's process went away
// while it worked, rather than that the call was cancelled.
func IsReset(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	sent := &SentError{}
	return errors.As(err, &sent)
}
