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
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleWithoutNotice is how long a connection is kept to a target that does
	// not say when it closes idle ones.
	idleWithoutNotice = 4 * time.Second
	// noticeMargin is taken off the idle time that a target names, which is in
	// whole seconds and may have been rounded up.
	noticeMargin = 1500 * time.Millisecond
	readBuffer   = 4 << 10
)

// targetConn is a connection to the target, for one call at a time.
type targetConn struct {
	net.Conn
	client *TargetClient
	reader *bufio.Reader
	// wrote says that at least one byte of the present call went out.
	wrote     atomic.Bool
	idleUntil time.Time
	closed    bool
}

func newTargetConn(client *TargetClient, opened net.Conn) *targetConn {
	conn := &targetConn{Conn: opened, client: client, idleUntil: time.Now().Add(idleWithoutNotice)}
	conn.reader = bufio.NewReaderSize(opened, readBuffer)
	return conn
}

// Write notes that bytes of the call went out.
func (conn *targetConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if count > 0 {
		conn.wrote.Store(true)
	}
	return count, err
}

// discard closes the connection for good.
func (conn *targetConn) discard() {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.Close()
	conn.client.forget()
}

// usable tells whether an idle connection can take a call: the target has
// neither closed it nor sent bytes that belong to no call.
func (conn *targetConn) usable(now time.Time) bool {
	if now.After(conn.idleUntil) || conn.reader.Buffered() > 0 {
		return false
	}
	return look(conn.Conn) == nothingYet
}

// seen is what a look at a connection shows, without reading from it.
type seen uint8

const (
	// nothingYet is an open connection on which no byte waits.
	nothingYet seen = iota
	bytesWait
	// peerClosed is a connection that its peer closed or broke.
	peerClosed
)

// look shows what waits on a connection. One that cannot be looked at, as a pipe of a
// test, is thought to be open.
func look(conn net.Conn) seen {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nothingYet
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return peerClosed
	}
	shown := peerClosed
	err = control.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		count, _, err := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			shown = nothingYet
		case err == nil && count > 0:
			shown = bytesWait
		}
		return true
	})
	if err != nil {
		return peerClosed
	}
	return shown
}

// Closed tells whether the peer has closed a connection, before that is read from it.
func Closed(conn net.Conn) bool {
	return look(conn) == peerClosed
}

// exchange writes the call and reads the header of its answer.
func (conn *targetConn) exchange(ctx context.Context, call TargetCall) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	request := call.outgoing(conn.client.Address)
	written, err := conn.write(request)
	var response *http.Response
	if err == nil {
		response, err = conn.read(request)
	}
	if err != nil {
		if !stop() {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	response.Body = &targetBody{source: response.Body, conn: conn, stop: stop, written: written, final: response.Close}
	if !response.Close {
		conn.idleUntil = time.Now().Add(idleTime(response.Header))
	}
	return response, nil
}

// write sends a small request at once, and a larger one while the answer is
// awaited. The channel is closed when all of it went out.
func (conn *targetConn) write(request *http.Request) (<-chan struct{}, error) {
	written := make(chan struct{})
	if request.ContentLength < 0 || request.ContentLength > heldRequest {
		go func() {
			buffered := bufio.NewWriterSize(conn, heldRequest)
			if request.Write(buffered) == nil && buffered.Flush() == nil {
				close(written)
			}
		}()
		return written, nil
	}
	held := headPool.Get().(*bytes.Buffer)
	defer headPool.Put(held)
	held.Reset()
	if err := request.Write(held); err != nil {
		return nil, err
	}
	if _, err := conn.Write(held.Bytes()); err != nil {
		return nil, err
	}
	close(written)
	return written, nil
}

// read gives the answer to the call, past interim answers and late ones that
// belong to earlier calls.
func (conn *targetConn) read(request *http.Request) (*http.Response, error) {
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if conn.client.Dialect.Belongs(request.Header, response.Header) {
			return response, nil
		}
		if response.Close {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		foreign++
	}
	return nil, errForeignAnswer
}

// idleTime reads how long the target keeps an idle connection.
func idleTime(headers http.Header) time.Duration {
	for part := range strings.SplitSeq(headers.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(text)
		if found && err == nil {
			return max(0, time.Duration(seconds)*time.Second-noticeMargin)
		}
	}
	return idleWithoutNotice
}

// targetBody is the body of an answer. At its end the connection is kept for
// the next call, if nothing is left on it in either direction.
type targetBody struct {
	source  io.ReadCloser
	conn    *targetConn
	stop    func() bool
	written <-chan struct{}
	final   bool
	ended   bool
	// failed is why the body ended early; each further read says so again.
	failed error
}

// Read reads the body.
func (body *targetBody) Read(data []byte) (int, error) {
	if body.ended {
		return 0, cmp.Or(body.failed, io.EOF)
	}
	count, err := body.source.Read(data)
	if err != nil {
		body.failed = err
		body.end(errors.Is(err, io.EOF))
	}
	return count, err
}

// Close ends the exchange; a body that was not read to its end ends its
// connection.
func (body *targetBody) Close() error {
	if !body.ended {
		body.end(body.source == http.NoBody)
	}
	return nil
}

func (body *targetBody) end(whole bool) {
	body.ended = true
	running := body.stop()
	if !whole || !running || body.final || !body.allWritten() || body.conn.reader.Buffered() > 0 {
		body.conn.discard()
		return
	}
	body.conn.client.keep(body.conn)
}

// allWritten tells whether the request went out as a whole. An early answer
// leaves the target waiting for the rest, which must not be another call.
func (body *targetBody) allWritten() bool {
	select {
	case <-body.written:
		return true
	default:
		return false
	}
}
