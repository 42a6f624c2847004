package web

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept to a target that
	// sends no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the timeout in a target's Keep-Alive
	// header, which is in whole seconds and may have been rounded up.
	keepAliveMargin = 1500 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxResponseHeadBytes bounds the head of a response with the interim responses before
	// it, and maxMismatchedBodyBytes the body of a response to another call.
	maxResponseHeadBytes   = 128 << 10
	maxMismatchedBodyBytes = 1 << 20
)

var errResponseHeadTooLong = errors.New("the head of the response does not end within its limit")

// headLimiter reads from a connection and, while a response head is read, fails when the
// head is too long. The client of net/http has such a limit, its reader of responses has
// none.
type headLimiter struct {
	source io.Reader
	inHead bool
	left   int
}

func (limiter *headLimiter) beginHead() { limiter.inHead, limiter.left = true, maxResponseHeadBytes }

func (limiter *headLimiter) endHead() { limiter.inHead = false }

// Read reads from the connection.
func (limiter *headLimiter) Read(data []byte) (int, error) {
	if !limiter.inHead {
		return limiter.source.Read(data)
	}
	if limiter.left <= 0 {
		return 0, errResponseHeadTooLong
	}
	count, err := limiter.source.Read(data[:min(len(data), limiter.left)])
	limiter.left -= count
	return count, err
}

// targetConn is a connection to the target. It carries one call at a time.
type targetConn struct {
	net.Conn
	client *TargetClient
	limit  headLimiter
	reader *bufio.Reader
	// writing is held during a write, and guards the two fields below.
	writing sync.Mutex
	// hasSentBytes says that at least one byte of the current call was sent.
	hasSentBytes bool
	// brokenErr is the error of a write that found the connection broken.
	brokenErr error
	idleUntil time.Time
	// reused says that the connection has carried an earlier call.
	reused bool
	closed bool
}

func newTargetConn(client *TargetClient, netConn net.Conn) *targetConn {
	conn := &targetConn{Conn: netConn, client: client, idleUntil: time.Now().Add(defaultIdleTimeout)}
	conn.limit.source = conn
	conn.reader = bufio.NewReaderSize(&conn.limit, readBufferBytes)
	return conn
}

// Write writes to the connection and records that the call was sent at least in
// part, and whether the connection is broken.
func (conn *targetConn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if count > 0 {
		conn.hasSentBytes = true
	}
	if isBroken(err) {
		conn.brokenErr = cmp.Or(conn.brokenErr, err)
	}
	return count, err
}

// Read reads from the connection. It returns [io.EOF] only if the connection ended in order.
// A reset is reported once: if a write gets its error, the next read finds a plain end.
func (conn *targetConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(conn.broken(), err)
	}
	return count, err
}

// broken returns the error of a write that found the connection broken. It is called at the
// end of the connection, after which nothing is written.
func (conn *targetConn) broken() error {
	if !conn.writing.TryLock() {
		// A write that waits would keep the lock; one that has failed records its error.
		if err := conn.SetWriteDeadline(longAgo); err != nil {
			return err
		}
		conn.writing.Lock()
	}
	defer conn.writing.Unlock()
	return conn.brokenErr
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// isBroken reports whether the error of a write means that the connection did not end in
// order. EPIPE means that the target had ended its side before, with all that it sent.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// sentBytes reports whether at least one byte of the current call was sent. It is called on
// a closed connection, so that a write that has not returned yet does so, and no other begins.
func (conn *targetConn) sentBytes() bool {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	return conn.hasSentBytes
}

// beginCall prepares an idle connection for another call.
func (conn *targetConn) beginCall() {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	conn.hasSentBytes = false
	conn.reused = true
}

// discard closes the connection and frees its place. It may be called twice.
func (conn *targetConn) discard() {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.Close()
	conn.client.releasePlace()
}

// reusable reports whether an idle connection can carry another call: its idle
// time is not over, and the target has neither closed it nor sent bytes that
// belong to no call.
func (conn *targetConn) reusable(now time.Time) bool {
	if now.After(conn.idleUntil) || conn.reader.Buffered() > 0 {
		return false
	}
	return socket.Peek(conn.Conn) == socket.Idle
}

// roundTrip writes the call and reads the header of its response. When ctx ends,
// it closes the connection.
func (conn *targetConn) roundTrip(ctx context.Context, call TargetCall) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	request := call.newRequest(conn.client.Address)
	sent, err := conn.writeRequest(request)
	var response *http.Response
	if err == nil {
		response, err = conn.readResponse(request)
	}
	if err != nil {
		if !stop() {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	response.Body = &responseBody{source: response.Body, conn: conn, stopCancel: stop, requestSent: sent, closeAfter: response.Close}
	if !response.Close {
		conn.idleUntil = time.Now().Add(idleTimeout(response.Header))
	}
	return response, nil
}

// writeRequest writes a request with a small body before it returns, and one with
// a large or unknown length in the background. The channel is closed once the
// complete request is sent. A failure to send in the background is no failure of the call,
// whose response may come all the same; [targetConn.Read] tells whether that is whole.
func (conn *targetConn) writeRequest(request *http.Request) (<-chan struct{}, error) {
	sent := make(chan struct{})
	if request.ContentLength < 0 || request.ContentLength > maxBufferedBodyBytes {
		go func() {
			buffered := bufio.NewWriterSize(conn, maxBufferedBodyBytes)
			if request.Write(buffered) == nil && buffered.Flush() == nil {
				close(sent)
			}
		}()
		return sent, nil
	}
	buffer := requestBufferPool.Get().(*bytes.Buffer)
	defer requestBufferPool.Put(buffer)
	buffer.Reset()
	if err := request.Write(buffer); err != nil {
		return nil, err
	}
	if _, err := conn.Write(buffer.Bytes()); err != nil {
		return nil, err
	}
	close(sent)
	return sent, nil
}

// readResponse returns the response to the call. It skips interim responses, and
// up to maxMismatchedResponses late responses to earlier calls.
func (conn *targetConn) readResponse(request *http.Request) (*http.Response, error) {
	conn.limit.beginHead()
	defer conn.limit.endHead()
	for mismatched := 0; mismatched <= maxMismatchedResponses; {
		response, err := readHead(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUnrequestedUpgrade
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if conn.accepts(conn.client.Dialect.NamedCall(request.Header, response.Header)) {
			return response, nil
		}
		if response.Close {
			break
		}
		if err := conn.skipBody(response.Body); err != nil {
			return nil, err
		}
		mismatched++
	}
	return nil, errMismatchedResponse
}

// skipBody reads the body of a response to another call, and expects a head after it.
func (conn *targetConn) skipBody(body io.Reader) error {
	conn.limit.endHead()
	_, err := io.CopyN(io.Discard, body, maxMismatchedBodyBytes)
	conn.limit.beginHead()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errMismatchedResponse
	}
	return err
}

// accepts reports whether a response that names a call is taken for the response to the
// current one. Where targets always name the call, a response without a name may belong
// to any call that the connection has carried.
func (conn *targetConn) accepts(named NamedCall) bool {
	switch named {
	case OtherCall:
		return false
	case NameMissing:
		return !conn.reused
	}
	return true
}

// idleTimeout returns how long the connection may be kept idle according to the
// Keep-Alive header of a response.
func idleTimeout(headers http.Header) time.Duration {
	for part := range strings.SplitSeq(headers.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(text)
		if found && err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleTimeout
}

// responseBody is the body of a response. At its end the connection is kept for
// the next call, if nothing is left to write to or read from it.
type responseBody struct {
	source      io.ReadCloser
	conn        *targetConn
	stopCancel  func() bool
	requestSent <-chan struct{}
	closeAfter  bool
	finished    bool
	// hasDeadline says that reads from the connection have a deadline.
	hasDeadline bool
	// readErr is the error that ended the body early; each later read returns it.
	readErr error
}

// Read reads the body.
func (body *responseBody) Read(data []byte) (int, error) {
	if body.finished {
		return 0, cmp.Or(body.readErr, io.EOF)
	}
	count, err := body.source.Read(data)
	if err != nil {
		body.readErr = err
		body.finish(errors.Is(err, io.EOF))
	}
	return count, err
}

// Close ends the call. If the body was not read to its end, it closes the
// connection.
func (body *responseBody) Close() error {
	if !body.finished {
		body.finish(body.source == http.NoBody)
	}
	return nil
}

// DiscardBody closes the body of a response that [TargetClient.Send] returned. It reads the
// body first, so that the connection can be used again, if that takes no more than the
// given bytes and time.
func DiscardBody(response *http.Response, limit int64, timeout time.Duration) {
	if body, ok := response.Body.(*responseBody); ok && !body.finished {
		body.hasDeadline = true
		_ = body.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	// A body that does not end here only closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, limit))
	_ = response.Body.Close()
}

// finish keeps the connection for the next call, or closes it.
func (body *responseBody) finish(complete bool) {
	body.finished = true
	if body.hasDeadline {
		complete = body.conn.SetReadDeadline(time.Time{}) == nil && complete
	}
	active := body.stopCancel()
	if !complete || !active || body.closeAfter || !body.requestComplete() || body.conn.reader.Buffered() > 0 {
		body.conn.discard()
		return
	}
	body.conn.client.putIdle(body.conn)
}

// requestComplete reports whether the complete request was sent. After an early
// response the target still waits for the rest of the request body and would read
// the next call as a part of it.
func (body *responseBody) requestComplete() bool {
	select {
	case <-body.requestSent:
		return true
	default:
		return false
	}
}
