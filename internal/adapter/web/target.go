package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	targetDialTimeout = time.Second
	targetIdleTimeout = 5 * time.Minute
	targetHeaderLimit = 64 << 10
)

// TargetClient sends calls to the local target. The exported fields are set
// before the first use.
type TargetClient struct {
	// Address is the target's host:port.
	Address string
	// Connections is the most connections that the target takes until
	// SetConnections says otherwise.
	Connections int

	lock        sync.Mutex
	connections int
	transport   *http.Transport
}

// Start prepares the client.
func (targetClient *TargetClient) Start() {
	targetClient.SetConnections(targetClient.Connections)
}

// SetConnections bounds the connections to the target from now on. Calls under
// way go on over those that they have.
func (targetClient *TargetClient) SetConnections(connections int) {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	if connections <= 0 || connections == targetClient.connections {
		return
	}
	targetClient.connections = connections
	if targetClient.transport != nil {
		targetClient.transport.CloseIdleConnections()
	}
	targetClient.transport = newTargetTransport(connections)
}

func newTargetTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        targetIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: targetHeaderLimit,
	}
}

func (targetClient *TargetClient) current() *http.Transport {
	targetClient.lock.Lock()
	defer targetClient.lock.Unlock()
	return targetClient.transport
}

// Close ends idle connections.
func (targetClient *TargetClient) Close() {
	targetClient.current().CloseIdleConnections()
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
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+targetClient.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	outgoing.Host = call.Host
	outgoing.Header = call.Headers
	outgoing.Body = onceBody{call.Body}
	outgoing.ContentLength = call.BodyLength
	response, err := targetClient.current().RoundTrip(outgoing)
	if err == nil {
		return response, nil
	}
	if sent {
		return nil, &SentError{Reason: err}
	}
	return nil, err
}

// onceBody keeps net/http from sending a call again by itself: a request whose
// body it cannot rewind is never replayed, whatever its method or headers.
type onceBody struct{ source io.Reader }

// Read reads the body.
func (body onceBody) Read(data []byte) (int, error) {
	if body.source == nil {
		return 0, io.EOF
	}
	return body.source.Read(data)
}

// Close does nothing: the body belongs to the call.
func (onceBody) Close() error { return nil }

// IsReset tells whether an error says that the target's process went away
// while it worked, rather than that the call was cancelled.
func IsReset(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	sent := &SentError{}
	return errors.As(err, &sent)
}
