package peer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// interruptedConn is a connection on which something happens after each look at its socket.
type interruptedConn struct {
	*net.TCPConn
	afterLook func()
}

func (conn *interruptedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := conn.TCPConn.SyscallConn()
	return &interruptedRawConn{RawConn: raw, afterLook: conn.afterLook}, err
}

type interruptedRawConn struct {
	syscall.RawConn
	afterLook func()
}

func (raw *interruptedRawConn) Control(look func(descriptor uintptr)) error {
	err := raw.RawConn.Control(look)
	raw.afterLook()
	return err
}

// Guards against a confirmation that waits for bytes that never come: those that are read
// between the look at the socket and the look at what was read must not count twice.
func TestBytesReadDuringLookCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	sender, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = sender.Close() }()
	receiver, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = receiver.Close() }()

	conn := &interruptedConn{TCPConn: receiver.(*net.TCPConn), afterLook: func() {}}
	accepted := &acceptedConn{Conn: conn}
	const sent = 100
	_, err = sender.Write(make([]byte, sent))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(accepted.arrivedSoFar).WithTimeout(time.Minute).Should(gomega.BeEquivalentTo(sent))
	conn.afterLook = func() {
		conn.afterLook = func() {}
		count, err := accepted.Read(make([]byte, sent))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(count).To(gomega.Equal(sent))
	}
	arrived, err := accepted.arrivedSoFar()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(arrived).To(gomega.BeEquivalentTo(sent))
}
