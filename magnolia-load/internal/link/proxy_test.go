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

// proxied gives a connection through a proxy and the end that its process has of it.
func proxied(t *testing.T) (proxy *link.Proxy, near, far *net.TCPConn) {
	t.Helper()
	expect := gomega.NewWithT(t).Expect
	process, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	front, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	proxy = &link.Proxy{Target: process.Addr().String()}
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

func say(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
}

func hear(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	heard := make([]byte, len(text))
	_, err := io.ReadFull(conn, heard)
	expect := gomega.NewWithT(t).Expect
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(heard)).To(gomega.Equal(text))
}

// A cut one way holds nothing back the other way, and what it held back arrives when
// the last of several cuts is over.
func TestACutHoldsBackOneWay(t *testing.T) {
	proxy, near, far := proxied(t)
	say(t, near, "one")
	hear(t, far, "one")
	proxy.Hold(link.Inward)
	proxy.Hold(link.Inward)
	say(t, near, "two")
	say(t, far, "back")
	hear(t, near, "back")
	proxy.Release(link.Inward)
	heard := make(chan string, 1)
	go func() {
		first := make([]byte, 3)
		_, err := io.ReadFull(far, first)
		heard <- string(first)
		if err != nil {
			t.Error(err)
		}
	}()
	say(t, far, "again")
	hear(t, near, "again")
	gomega.NewWithT(t).Expect(heard).NotTo(gomega.Receive())
	proxy.Release(link.Inward)
	gomega.NewWithT(t).Expect(<-heard).To(gomega.Equal("two"))
}

func TestAResetIsSeenAtBothEnds(t *testing.T) {
	proxy, near, far := proxied(t)
	say(t, near, "one")
	hear(t, far, "one")
	proxy.Reset()
	for _, conn := range []net.Conn{near, far} {
		_, err := conn.Read(make([]byte, 1))
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse(), "a reset is no proper end")
	}
}

func TestAHalfCloseLeavesTheOtherWay(t *testing.T) {
	proxy, near, far := proxied(t)
	say(t, near, "one")
	hear(t, far, "one")
	proxy.HalfClose()
	_, err := far.Read(make([]byte, 1))
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(io.EOF))
	say(t, far, "still here")
	hear(t, near, "still here")
}
