package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// Connections is the most connections that the target takes.
	Connections int

	transport *http.Transport
}

// Start prepares the client.
func (tc *TargetClient) Start() {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	tc.transport = &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        tc.Connections,
		MaxIdleConns:           tc.Connections,
		MaxIdleConnsPerHost:    tc.Connections,
		IdleConnTimeout:        targetIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: targetHeaderLimit,
	}
}

// Close ends idle connections.
func (tc *TargetClient) Close() {
	tc.transport.CloseIdleConnections()
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
func (se *SentError) Error() string {
	return "target failed after the call was sent: " + se.Reason.Error()
}

// Unwrap gives the reason.
func (se *SentError) Unwrap() error { return se.Reason }

// Send hands the call to the target once and gives its answer. A [*SentError]
// tells that the target may have run it; any other error, that it did not.
func (tc *TargetClient) Send(ctx context.Context, call TargetCall) (*http.Response, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+tc.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	outgoing.Host = call.Host
	outgoing.Header = call.Headers
	outgoing.Body = onceBody{call.Body}
	outgoing.ContentLength = call.BodyLength
	response, err := tc.transport.RoundTrip(outgoing)
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
func (ob onceBody) Read(data []byte) (int, error) {
	if ob.source == nil {
		return 0, io.EOF
	}
	return ob.source.Read(data)
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
