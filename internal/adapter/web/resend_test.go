package web

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
)

// deadConn is a connection that fails the first write without taking a byte, and
// looks open until then.
type deadConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (conn *deadConn) Write([]byte) (int, error) {
	_ = conn.Close()
	return 0, net.ErrClosed
}

func (conn *deadConn) Read([]byte) (int, error) {
	<-conn.closed
	return 0, io.EOF
}

func (conn *deadConn) SetWriteDeadline(time.Time) error { return nil }

func (conn *deadConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return nil
}

// A call that fails on a dead idle connection is retried on another one only if it
// has no body: a part of a body has been read by then, so a retry would send the
// rest alone.
func TestCallOnDeadConnectionIsNotSentPartially(t *testing.T) {
	photo := bytes.Repeat([]byte("photo"), maxBufferedBodyBytes)
	cases := []struct {
		name   string
		body   []byte
		length int64
		resent bool
	}{
		{"without a body", nil, 0, true},
		{"with a small body", []byte("grant"), 5, false},
		{"with a large body", photo, int64(len(photo)), false},
		{"with a body of unknown length", photo, -1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			received := atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			defer server.Close()
			client := &TargetClient{Address: server.Listener.Addr().String(), Connections: 2}
			client.Start()
			defer client.Close()
			idle := newTargetConn(client, &deadConn{closed: make(chan struct{})})
			idle.idleUntil = time.Now().Add(time.Hour)
			client.openCount, client.idle = 1, []*targetConn{idle}
			response, err := client.Send(context.Background(), TargetCall{
				Method: http.MethodPost, Path: "/photos/7", Headers: http.Header{}, Body: bytes.NewReader(test.body), BodyLength: test.length,
			})
			if test.resent {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(response.Body.Close()).To(gomega.Succeed())
				expect(received.Load()).To(gomega.BeEquivalentTo(1))
				return
			}
			expect(err).To(gomega.HaveOccurred())
			expect(errors.As(err, new(*SentError))).To(gomega.BeFalse(), "nothing was sent")
			expect(received.Load()).To(gomega.BeZero())
		})
	}
}

// Guards against a call whose outcome is unknown because its kept connection was closed while
// the call was being confirmed: the connection is looked at after that.
func TestConnectionIsCheckedAfterConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	accepted := make(chan net.Conn, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(connection net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- connection
		}
	}
	server.Start()
	defer server.Close()
	client := &TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	send := func(confirm func() error) error {
		response, err := client.Send(context.Background(), TargetCall{Method: http.MethodPost, Path: "/grants/7", Headers: http.Header{}, Body: bytes.NewBufferString("grant"), BodyLength: 5, Confirm: confirm})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	g.Expect(send(nil)).To(gomega.Succeed())
	kept := client.idle[0]
	confirmed := 0
	g.Expect(send(func() error {
		confirmed++
		if confirmed == 1 {
			g.Expect((<-accepted).Close()).To(gomega.Succeed())
			g.Eventually(func() socket.State { return socket.Peek(kept.Conn) }).WithTimeout(time.Minute).Should(gomega.Equal(socket.Closed))
		}
		return nil
	})).To(gomega.Succeed())
	g.Expect(confirmed).To(gomega.Equal(2), "the call is confirmed for the connection that carries it")
}
