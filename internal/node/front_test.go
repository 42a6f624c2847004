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

// scarce is a listener that has no descriptor at first.
type scarce struct {
	net.Listener
	failures int
}

func (sc *scarce) Accept() (net.Conn, error) {
	if sc.failures > 0 {
		sc.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return sc.Listener.Accept()
}

// A node that runs out of descriptors goes on once it has some again.
func TestWantOfDescriptorsEndsNothing(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	noted := 0
	served := &front{
		handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		limits:  func() configuration.Limits { return configuration.Limits{MaxHeader: configuration.KiB} },
		log:     func(string, error) { noted++ },
	}
	ended := make(chan error, 1)
	go func() { ended <- served.Serve(&scarce{Listener: listener, failures: 2}) }()
	answer, err := http.Get("http://" + listener.Addr().String())
	expect(err).NotTo(gomega.HaveOccurred())
	expect(answer.Body.Close()).To(gomega.Succeed())
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(listener.Close()).To(gomega.Succeed())
	expect(errors.Is(<-ended, net.ErrClosed)).To(gomega.BeTrue())
	served.Shutdown(t.Context())
	expect(noted).To(gomega.Equal(1), "one line for the whole time")
}
