package web

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
)

// endlessUpload is a body that goes on until it is no longer read.
type endlessUpload struct{}

func (endlessUpload) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

// endingConn is a connection that ends while an upload is written to it: a write fails with
// writeErr, or waits for its deadline if that is nil, and the reads return the answer and
// then an end like an orderly one, as a socket does once the write has taken its error.
type endingConn struct {
	net.Conn
	answer   io.Reader
	writeErr error
	writes   int
	writing  chan struct{}
	expired  chan struct{}
	expire   sync.Once
}

func newEndingConn(answer string, writeErr error) *endingConn {
	return &endingConn{answer: strings.NewReader(answer), writeErr: writeErr, writing: make(chan struct{}), expired: make(chan struct{})}
}

func (conn *endingConn) Write(data []byte) (int, error) {
	conn.writes++
	if conn.writes == 1 {
		return len(data), nil
	}
	if conn.writes == 2 {
		close(conn.writing)
	}
	if conn.writeErr != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: conn.writeErr}
	}
	<-conn.expired
	return 0, os.ErrDeadlineExceeded
}

func (conn *endingConn) Read(data []byte) (int, error) {
	count, err := conn.answer.Read(data)
	if err != nil {
		<-conn.writing
	}
	return count, err
}

func (conn *endingConn) SetWriteDeadline(time.Time) error {
	conn.expire.Do(func() { close(conn.expired) })
	return nil
}

func (conn *endingConn) Close() error { return conn.SetWriteDeadline(time.Time{}) }

// sendOver sends an endless upload over a connection to a target.
func sendOver(t *testing.T, conn net.Conn) (*http.Response, error) {
	t.Helper()
	client := &TargetClient{Address: "127.0.0.1:0", Connections: 1}
	client.Start()
	kept := newTargetConn(client, conn)
	kept.idleUntil = time.Now().Add(time.Hour)
	client.openCount, client.idle = 1, []*targetConn{kept}
	return client.Send(t.Context(), TargetCall{
		Method: http.MethodPost, Path: "/photos/7", Host: "agenda", Headers: http.Header{}, Body: endlessUpload{}, BodyLength: -1,
	})
}

// Guards against a cut-off answer that looks complete: the writer of an upload takes the error
// of the reset, and the reader finds an end like an orderly one (MIXED).
func TestAnswerEndedByResetDuringUploadIsNotComplete(t *testing.T) {
	const noLength, withLength, chunks = "HTTP/1.1 200 OK\r\n\r\nphoto", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nphoto", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nphoto\r\n0\r\n\r\n"
	tests := []struct {
		name, answer string
		writeErr     error
		complete     bool
	}{
		{"reset", noLength, syscall.ECONNRESET, false},
		{"reset of an HTTP/1.0 answer", "HTTP/1.0 200 OK\r\n\r\nphoto", syscall.ECONNRESET, false},
		{"reset of an answer that announces its end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nphoto", syscall.ECONNRESET, false},
		{"reset before the body", "HTTP/1.1 200 OK\r\n\r\n", syscall.ECONNRESET, false},
		{"silence", noLength, syscall.ETIMEDOUT, false},
		{"no route", noLength, syscall.EHOSTUNREACH, false},
		{"reset after a whole body with a length", withLength, syscall.ECONNRESET, true},
		{"reset after a whole body in chunks", chunks, syscall.ECONNRESET, true},
		{"reset after an orderly end", noLength, syscall.EPIPE, true},
		{"orderly end while a write waits", noLength, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			response, err := sendOver(t, newEndingConn(test.answer, test.writeErr))
			expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if test.complete {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(string(body)).To(gomega.Equal("photo"))
				return
			}
			expect(err).To(gomega.MatchError(test.writeErr))
			_, err = response.Body.Read(make([]byte, 1))
			expect(err).To(gomega.MatchError(test.writeErr), "each later read fails as well")
		})
	}
}

// A call whose head is ended by a reset that the writer got fails after it was sent.
func TestResetInHeadDuringUploadFailsAfterSending(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	_, err := sendOver(t, newEndingConn("HTTP/1.1 200 OK\r\n", syscall.ECONNRESET))
	sent := &SentError{}
	expect(errors.As(err, &sent)).To(gomega.BeTrue(), "%v", err)
}

// failingWriteConn closes failed when a write fails.
type failingWriteConn struct {
	net.Conn
	failed chan struct{}
	once   sync.Once
}

func (conn *failingWriteConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if err != nil {
		conn.once.Do(func() { close(conn.failed) })
	}
	return count, err
}

// serveEnding answers the first request on a listener without a length, and ends the
// connection once ended is closed: with a reset, and before it in order if so told.
func serveEnding(listener net.Listener, orderly bool, end <-chan struct{}, inOrder chan<- struct{}, reset <-chan struct{}) error {
	accepted, err := listener.Accept()
	if err != nil {
		return err
	}
	conn := accepted.(*net.TCPConn)
	_, err = http.ReadRequest(bufio.NewReader(conn))
	_, writeErr := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nphoto")
	<-end
	if orderly {
		err = errors.Join(err, conn.CloseWrite())
	}
	close(inOrder)
	<-reset
	return errors.Join(err, writeErr, conn.SetLinger(0), conn.Close())
}

// The same as TestAnswerEndedByResetDuringUploadIsNotComplete over a socket, whose errors the
// other test only assumes. The body is read after the write has failed.
func TestAnswerEndedByResetOfSocketIsNotComplete(t *testing.T) {
	for name, orderly := range map[string]bool{"reset": false, "reset after an orderly end": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			expect := g.Expect
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = listener.Close() }()
			end, inOrder, reset, served := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan error, 1)
			go func() { served <- serveEnding(listener, orderly, end, inOrder, reset) }()
			dialed, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
			expect(err).NotTo(gomega.HaveOccurred())
			watched := &failingWriteConn{Conn: dialed, failed: make(chan struct{})}
			response, err := sendOver(t, watched)
			expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			close(end)
			<-inOrder
			if orderly {
				g.Eventually(func() bool { return socket.ClosedByPeer(dialed) }).WithTimeout(time.Minute).Should(gomega.BeTrue())
			}
			close(reset)
			expect(<-served).To(gomega.Succeed())
			<-watched.failed
			body, err := io.ReadAll(response.Body)
			if orderly {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(string(body)).To(gomega.Equal("photo"))
				return
			}
			expect(err).To(gomega.MatchError(syscall.ECONNRESET))
		})
	}
}

// slowWriteConn takes the bytes of a write, and returns from it some time after the connection
// was closed. Its reads find the end of the connection once the write has begun.
type slowWriteConn struct {
	net.Conn
	writing, closed chan struct{}
	once            sync.Once
}

func (conn *slowWriteConn) Write(data []byte) (int, error) {
	close(conn.writing)
	<-conn.closed
	for range 10_000 {
		runtime.Gosched()
	}
	return len(data), net.ErrClosed
}

func (conn *slowWriteConn) Read([]byte) (int, error) {
	<-conn.writing
	return 0, syscall.ECONNRESET
}

func (conn *slowWriteConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return nil
}

// Guards against a call that its target has got and that counts as not sent: the connection
// ended before the writer of the upload had noted what it sent (REFUSED, TWICE).
func TestUploadWhoseWriteReturnsLateCountsAsSent(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	_, err := sendOver(t, &slowWriteConn{writing: make(chan struct{}), closed: make(chan struct{})})
	sent := &SentError{}
	expect(errors.As(err, &sent)).To(gomega.BeTrue(), "%v", err)
}
