package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// answerWith serves connections one at a time: it reads one request for each of the given
// texts, answers with the text and then closes the connection.
func answerWith(t *testing.T, texts ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for _, text := range texts {
				received, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, received.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestCutsAreToldFromOtherErrors guards against cuts that the soak does not see, and against
// errors that it takes for cuts.
func TestCutsAreToldFromOtherErrors(t *testing.T) {
	const whole = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}"
	kind := Kind{Method: http.MethodPost, Path: "/", BodyBytes: 100, AttemptTimeout: time.Minute}
	send := func(t *testing.T, sends int, texts ...string) Reply {
		caller := &Caller{EntryAddress: answerWith(t, texts...)}
		caller.Start()
		defer caller.Close()
		reply := Reply{}
		for range sends {
			reply = caller.Send(t.Context(), kind, "key", "name")
		}
		return reply
	}
	for name, tested := range map[string]struct {
		sends int
		texts []string
		cut   bool
	}{
		"no answer":                      {1, []string{""}, true},
		"part of a head":                 {1, []string{"HTTP/1.1 200 OK\r\nCont"}, true},
		"part of a body":                 {1, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}, true},
		"whole answer":                   {1, []string{whole}, false},
		"no answer on a kept connection": {2, []string{whole, ""}, false},
		"part of one on it":              {2, []string{whole, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(send(t, tested.sends, tested.texts...).Cut).To(gomega.Equal(tested.cut))
		})
	}
	t.Run("no connection", func(t *testing.T) {
		caller := &Caller{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }}
		caller.Start()
		gomega.NewWithT(t).Expect(caller.Send(t.Context(), kind, "key", "name").Cut).To(gomega.BeFalse())
	})
}
