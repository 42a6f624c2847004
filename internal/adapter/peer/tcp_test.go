package peer

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Both ends of a connection have the timeouts for silent peers set.
func TestConnectionsDetectSilentPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := dialTCP(context.Background(), Address(listener.Addr().String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = dialled.Close() }()
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = accepted.Close() }()
	detectSilence(accepted)
	for _, conn := range []net.Conn{dialled, accepted} {
		control, err := conn.(*net.TCPConn).SyscallConn()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var bound, probes, interval int
		g.Expect(control.Control(func(descriptor uintptr) {
			bound, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			probes, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			interval, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
		})).To(gomega.Succeed())
		g.Expect(bound).To(gomega.BeEquivalentTo(userTimeout.Milliseconds()))
		g.Expect(probes).To(gomega.Equal(keepAliveProbeCount))
		g.Expect(interval).To(gomega.BeEquivalentTo(keepAliveProbeInterval.Seconds()))
	}
}
