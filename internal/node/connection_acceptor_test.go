package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// exhaustedListener fails its first calls of Accept for lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (listener *exhaustedListener) Accept() (net.Conn, error) {
	if listener.failures > 0 {
		listener.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return listener.Listener.Accept()
}

// A node that runs out of file descriptors accepts connections again once it has
// some.
func TestAcceptRetriesAfterDescriptorsRunOut(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	logged := 0
	acceptor := newConnectionAcceptor(
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		func() configuration.Limits { return configuration.Limits{MaxHeader: configuration.KiB} },
		func(string, error) { logged++ },
	)
	ended := make(chan error, 1)
	go func() { ended <- acceptor.Serve(&exhaustedListener{Listener: listener, failures: 2}) }()
	answer, err := http.Get("http://" + listener.Addr().String())
	expect(err).NotTo(gomega.HaveOccurred())
	expect(answer.Body.Close()).To(gomega.Succeed())
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(listener.Close()).To(gomega.Succeed())
	expect(errors.Is(<-ended, net.ErrClosed)).To(gomega.BeTrue())
	acceptor.Shutdown(t.Context())
	expect(logged).To(gomega.Equal(1), "logged once for the whole shortage")
}
