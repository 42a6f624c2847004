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
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	targetDialTimeout = time.Second
	// maxBufferedBodyBytes bounds the bodies that are written in one piece with
	// their header, before the response is read.
	maxBufferedBodyBytes = 16 << 10
	// maxMismatchedResponses bounds the responses to other calls that are skipped
	// on a connection while one is awaited.
	maxMismatchedResponses = 3
)

var errMismatchedResponse = errors.New("the target sent the response to another call")

// errUnrequestedUpgrade means that no response follows; calls never ask for an upgrade.
var errUnrequestedUpgrade = errors.New("the target switches the protocol though no call asks for it")

// TargetClient sends calls to the local target, one at a time on each connection.
// It formats and parses messages with net/http but manages the connections
// itself, because [http.Client] resends a request on its own when a kept
// connection turns out to be closed, and does not report whether any byte of the
// request was sent. The exported fields are set before Start.
type TargetClient struct {
	// Address is the target's host:port.
	Address string
	// Connections is the maximum number of connections to the target until
	// SetConnections changes it.
	Connections int
	// Dialect matches responses to calls; nil means [NativeDialect].
	Dialect Dialect

	lock      sync.Mutex
	maxOpen   int
	openCount int
	idle      []*targetConn
	// connectionFreed is closed when a connection or a place for one may be free.
	// It is nil while no call waits.
	connectionFreed chan struct{}
}

// Start applies the defaults. It is called once, before the first Send.
func (client *TargetClient) Start() {
	if client.Dialect == nil {
		client.Dialect = NativeDialect{}
	}
	client.SetConnections(client.Connections)
}

// SetConnections sets the maximum number of connections to the target. Open
// connections above a lower maximum are not closed, and calls in flight keep
// theirs. A number below one is ignored.
func (client *TargetClient) SetConnections(connections int) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if connections > 0 {
		client.maxOpen = connections
		client.wakeWaiters()
	}
}

// Close closes the idle connections.
func (client *TargetClient) Close() {
	client.lock.Lock()
	idle := client.idle
	client.idle = nil
	client.openCount -= len(idle)
	client.wakeWaiters()
	client.lock.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// TargetCall is one call to the local target.
type TargetCall struct {
	Method string
	// Path is the path with the query, as the caller sent it.
	Path    string
	Host    string
	Headers http.Header
	// Confirm, if set, is called when a connection to the target is at hand, right before
	// the call is written. If it returns an error, the call is not written.
	Confirm func() error
	// BeforeWrite, if set, is called right before the call is written. It sets the headers
	// that depend on the time, such as the time left.
	BeforeWrite func(headers http.Header)
	Body        io.Reader
	// BodyLength is the length in bytes; a negative number means that it is
	// unknown.
	BodyLength int64
}

// SentError is the error of a call that failed after a part of it was sent: the
// target may have begun to execute it.
type SentError struct{ Reason error }

// Error describes the failure.
func (sent *SentError) Error() string {
	return "target failed after the call was sent: " + sent.Reason.Error()
}

// Unwrap returns the reason.
func (sent *SentError) Unwrap() error { return sent.Reason }

// Send sends the call to the target at most once and returns the response, whose
// body the caller closes. After a [*SentError] the target may have executed the
// call; after any other error it has not.
func (client *TargetClient) Send(ctx context.Context, call TargetCall) (*http.Response, error) {
	for {
		conn, reused, err := client.acquire(ctx)
		if err != nil {
			return nil, err
		}
		if err := call.confirm(ctx); err != nil {
			client.putIdle(conn)
			return nil, err
		}
		// The confirmation may have taken a while.
		if reused && !conn.reusable(time.Now()) {
			conn.discard()
			continue
		}
		response, err := conn.roundTrip(ctx, call)
		if err == nil {
			return response, nil
		}
		conn.discard()
		if conn.sentBytes() {
			return nil, &SentError{Reason: err}
		}
		if !reused || ctx.Err() != nil || call.BodyLength != 0 {
			// A part of the body may have been read and would be missing in a retry.
			return nil, err
		}
		// Nothing was sent on the reused connection: retry on another one.
	}
}

// confirm returns an error if the call is not to be written any more.
func (call TargetCall) confirm(ctx context.Context) error {
	if err := contextError(ctx); err != nil || call.Confirm == nil {
		return err
	}
	if err := call.Confirm(); err != nil {
		return err
	}
	return contextError(ctx)
}

// contextError returns an error if ctx has ended or its deadline has passed. It
// compares the deadline with the clock because the context's timer fires late on
// a host without spare CPU time.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// acquire returns an idle connection, which may be unusable by now, or a new one. It waits
// while the maximum number of connections is in use.
func (client *TargetClient) acquire(ctx context.Context) (conn *targetConn, reused bool, err error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GetConn != nil {
		trace.GetConn(client.Address)
	}
	for {
		conn, freed := client.takeIdleOrReserve()
		if freed != nil {
			select {
			case <-freed:
				continue
			case <-ctx.Done():
				return nil, false, ctx.Err()
			}
		}
		if conn == nil {
			conn, err = client.dial(ctx)
			return conn, false, err
		}
		conn.beginCall()
		return conn, true, nil
	}
}

// takeIdleOrReserve returns the most recently used idle connection. Without one it
// reserves a place for a new connection and returns nil, or, at the maximum
// number of connections, returns a channel that is closed when one may be free.
func (client *TargetClient) takeIdleOrReserve() (*targetConn, <-chan struct{}) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if last := len(client.idle) - 1; last >= 0 {
		conn := client.idle[last]
		client.idle = client.idle[:last]
		return conn, nil
	}
	if client.openCount >= client.maxOpen {
		if client.connectionFreed == nil {
			client.connectionFreed = make(chan struct{})
		}
		return nil, client.connectionFreed
	}
	client.openCount++
	return nil, nil
}

func (client *TargetClient) dial(ctx context.Context) (*targetConn, error) {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", client.Address)
	if err != nil {
		client.releasePlace()
		return nil, fmt.Errorf("connect to the target: %w", err)
	}
	return newTargetConn(client, netConn), nil
}

// releasePlace frees the place of a connection that was closed or that failed to open.
func (client *TargetClient) releasePlace() {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.openCount--
	client.wakeWaiters()
}

// CloseUnusable closes the idle connections that can carry no further call: the target
// has closed them or sends bytes on them, or their idle time is over. It is called about
// once a second.
func (client *TargetClient) CloseUnusable(now time.Time) {
	for _, conn := range client.takeUnusable(now) {
		conn.discard()
	}
}

func (client *TargetClient) takeUnusable(now time.Time) []*targetConn {
	client.lock.Lock()
	defer client.lock.Unlock()
	var unusable []*targetConn
	client.idle = slices.DeleteFunc(client.idle, func(conn *targetConn) bool {
		if conn.reusable(now) {
			return false
		}
		unusable = append(unusable, conn)
		return true
	})
	return unusable
}

// wakeWaiters makes waiting calls check again for a connection. The lock is held.
func (client *TargetClient) wakeWaiters() {
	if client.connectionFreed != nil {
		close(client.connectionFreed)
		client.connectionFreed = nil
	}
}

func (client *TargetClient) putIdle(conn *targetConn) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.idle = append(client.idle, conn)
	client.wakeWaiters()
}

// newRequest builds the HTTP request. Its path and query are those of the call,
// byte for byte.
func (call TargetCall) newRequest(address string) *http.Request {
	if call.BeforeWrite != nil {
		call.BeforeWrite(call.Headers)
	}
	request := &http.Request{
		Method:        call.Method,
		URL:           targetURL(address, call.Path),
		Host:          call.Host,
		Header:        call.Headers,
		ContentLength: call.BodyLength,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if _, present := call.Headers["User-Agent"]; !present {
		// Keeps net/http from adding its own User-Agent.
		call.Headers["User-Agent"] = []string{""}
	}
	if call.Body != nil && call.BodyLength != 0 {
		request.Body = io.NopCloser(call.Body)
	}
	return request
}

// targetURL returns a URL that net/http writes as exactly this path and query. A
// path with two leading slashes cannot be an opaque URL: net/http would take it
// for one with a host.
func targetURL(address, path string) *url.URL {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: path}
	}
	raw, query, hasQuery := strings.Cut(path, "?")
	unescaped, err := url.PathUnescape(raw)
	if err != nil {
		unescaped = raw
	}
	return &url.URL{Scheme: "http", Host: address, Path: unescaped, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
}

var requestBufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// IsReset reports whether an error means that the target's process ended during
// the call, rather than that the call was cancelled.
func IsReset(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	sent := &SentError{}
	return errors.As(err, &sent)
}
