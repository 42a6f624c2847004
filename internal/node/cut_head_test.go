package node_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/node"
)

// cuttingTarget answers each request with the first bytes of an answer, and closes the
// connection.
type cuttingTarget struct {
	net.Listener
	answer string
	length atomic.Int64
}

func startCuttingTarget(t *testing.T, answer string) *cuttingTarget {
	t.Helper()
	target := &cuttingTarget{Listener: listen(t), answer: answer}
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			connection, err := target.Accept()
			if err != nil {
				return
			}
			go target.serve(connection)
		}
	}()
	return target
}

func (target *cuttingTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return
	}
	_, _ = connection.Write([]byte(target.answer[:target.length.Load()]))
}

// Guards against answers that are cut off in their head, or later, and reach the caller as a
// whole answer with an empty or short body (MIXED).
func TestAnswerCutAtAnyByteIsNoSuccess(t *testing.T) {
	answers := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nX-Proof: 3e1b\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\nbody",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Proof: 3e1b\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"after interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			target := startCuttingTarget(t, answer)
			callee := startRoutedHost(t, "two", "agenda", http.NotFoundHandler(), func(underTest *node.Node) {
				underTest.Target.Address = target.Addr().String()
			})
			entry := startRoutedHost(t, "one", "subsidios", http.NotFoundHandler())
			connectHosts(entry, callee)
			for length := range len(answer) {
				target.length.Store(int64(length))
				for _, path := range []string{"/visits/7", "/visits/grants/7"} {
					response, body := sendCall(t, entry.callers, "visits.example", http.MethodPost, path, strings.NewReader("grant"))
					expect(response.StatusCode).NotTo(gomega.Equal(http.StatusOK), "%s cut after %d bytes: %q", path, length, body)
				}
			}
		})
	}
}
