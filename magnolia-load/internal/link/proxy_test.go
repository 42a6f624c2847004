package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

// newProxiedConnection returns a proxy, a client's connection through it, and the
// process's end of that connection.
func newProxiedConnection(t *testing.T, peers ...string) (proxy *link.Proxy, client, server *net.TCPConn) {
	t.Helper()
	expect := gomega.NewWithT(t).Expect
	process, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	front, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	proxy = &link.Proxy{Target: process.Addr().String(), Peers: peers}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- proxy.Serve(ctx, front) }()
	opened, err := net.Dial("tcp", front.Addr().String())
	expect(err).NotTo(gomega.HaveOccurred())
	accepted, err := process.Accept()
	expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() {
		stop()
		_ = opened.Close()
		_ = accepted.Close()
		_ = process.Close()
		gomega.NewWithT(t).Expect(<-served).To(gomega.Succeed())
	})
	return proxy, opened.(*net.TCPConn), accepted.(*net.TCPConn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
}

func expectReceived(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	received := make([]byte, len(text))
	_, err := io.ReadFull(conn, received)
	expect := gomega.NewWithT(t).Expect
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(received)).To(gomega.Equal(text))
}

// Guards against a hold that also stops the other direction, or that ends before
// the last of several overlapping holds is released.
func TestHoldStopsOneDirectionUntilLastRelease(t *testing.T) {
	proxy, client, server := newProxiedConnection(t)
	send(t, client, "one")
	expectReceived(t, server, "one")
	proxy.Hold(link.ToProcess)
	proxy.Hold(link.ToProcess)
	send(t, client, "two")
	send(t, server, "back")
	expectReceived(t, client, "back")
	proxy.Release(link.ToProcess)
	received := make(chan string, 1)
	go func() {
		first := make([]byte, 3)
		_, err := io.ReadFull(server, first)
		received <- string(first)
		if err != nil {
			t.Error(err)
		}
	}()
	send(t, server, "again")
	expectReceived(t, client, "again")
	gomega.NewWithT(t).Expect(received).NotTo(gomega.Receive())
	proxy.Release(link.ToProcess)
	gomega.NewWithT(t).Expect(<-received).To(gomega.Equal("two"))
}

func TestResetReachesBothEnds(t *testing.T) {
	proxy, client, server := newProxiedConnection(t)
	send(t, client, "one")
	expectReceived(t, server, "one")
	proxy.ResetConnections()
	for _, conn := range []net.Conn{client, server} {
		_, err := conn.Read(make([]byte, 1))
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse(), "a reset is not an end of stream")
	}
}

func TestCloseWriteKeepsOtherDirectionOpen(t *testing.T) {
	proxy, client, server := newProxiedConnection(t)
	send(t, client, "one")
	expectReceived(t, server, "one")
	proxy.CloseWriteToProcess()
	_, err := server.Read(make([]byte, 1))
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(io.EOF))
	send(t, server, "still here")
	expectReceived(t, client, "still here")
}

// Guards against a split that lets data of a peer through, that stops another peer's, or
// that does not end with the last of several.
func TestHoldPeerStopsOnlyItsConnections(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const greeting = "hello of agenda-norte-a"
	proxy, client, server := newProxiedConnection(t, "agenda-norte-a", "agenda-norte-b")
	proxy.HoldPeer("agenda-norte-b")
	send(t, client, greeting)
	expectReceived(t, server, greeting)
	proxy.HoldPeer("agenda-norte-a")
	proxy.HoldPeer("agenda-norte-a")
	received := make(chan string, 2)
	for _, conn := range []net.Conn{client, server} {
		send(t, conn, "held")
		go func() {
			text := make([]byte, len("held"))
			_, err := io.ReadFull(conn, text)
			received <- string(text)
			if err != nil {
				t.Error(err)
			}
		}()
	}
	proxy.ReleasePeer("agenda-norte-b")
	proxy.ReleasePeer("agenda-norte-a")
	expect(received).NotTo(gomega.Receive())
	proxy.ReleasePeer("agenda-norte-a")
	expect(<-received).To(gomega.Equal("held"))
	expect(<-received).To(gomega.Equal("held"))
}
