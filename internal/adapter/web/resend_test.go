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
)

// deadConn is a kept connection that takes no byte any more, and does not show it
// before it is written to.
type deadConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (dead *deadConn) Write([]byte) (int, error) {
	_ = dead.Close()
	return 0, net.ErrClosed
}

func (dead *deadConn) Read([]byte) (int, error) {
	<-dead.closed
	return 0, io.EOF
}

func (dead *deadConn) Close() error {
	dead.once.Do(func() { close(dead.closed) })
	return nil
}

// A call whose kept connection proves dead is sent on another one only as a whole: of
// a body, a part has been read by then.
func TestACallOnADeadConnectionIsNeverSentInPart(t *testing.T) {
	photo := bytes.Repeat([]byte("photo"), heldRequest)
	cases := []struct {
		name    string
		body    []byte
		length  int64
		arrives bool
	}{
		{"without a body", nil, 0, true},
		{"with a small body", []byte("grant"), 5, false},
		{"with a large body", photo, int64(len(photo)), false},
		{"with a body of unknown length", photo, -1, false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			arrived := atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			defer server.Close()
			client := &TargetClient{Address: server.Listener.Addr().String(), Connections: 2}
			client.Start()
			defer client.Close()
			kept := newTargetConn(client, &deadConn{closed: make(chan struct{})})
			kept.idleUntil = time.Now().Add(time.Hour)
			client.open, client.idle = 1, []*targetConn{kept}
			answer, err := client.Send(context.Background(), TargetCall{
				Method: http.MethodPost, Path: "/photos/7", Headers: http.Header{}, Body: bytes.NewReader(each.body), BodyLength: each.length,
			})
			if each.arrives {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(answer.Body.Close()).To(gomega.Succeed())
				expect(arrived.Load()).To(gomega.BeEquivalentTo(1))
				return
			}
			expect(err).To(gomega.HaveOccurred())
			expect(errors.As(err, new(*SentError))).To(gomega.BeFalse(), "no byte went out")
			expect(arrived.Load()).To(gomega.BeZero())
		})
	}
}
