package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an answer that is cut off and looks complete to a caller of HTTP/1.0, for whom
// an answer without a length ends with the connection (MIXED).
func TestCutAnswerWithoutLengthResetsOldCaller(t *testing.T) {
	part := strings.Repeat("photo", 40_000)
	callee := startRoutedHost(t, "two", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.WriteString(writer, part)
		if incoming.URL.Path == "/visits/cut" {
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	entry := startRoutedHost(t, "one", "subsidios", http.NotFoundHandler())
	connectHosts(entry, callee)
	for path, cut := range map[string]bool{"/visits/whole": false, "/visits/cut": true} {
		t.Run(path, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			caller, err := net.Dial("tcp", strings.TrimPrefix(entry.callers, "http://"))
			expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = caller.Close() }()
			_, err = fmt.Fprintf(caller, "GET %s HTTP/1.0\r\nHost: visits.example\r\n\r\n", path)
			expect(err).NotTo(gomega.HaveOccurred())
			answer, err := io.ReadAll(caller)
			if cut {
				expect(err).To(gomega.MatchError(syscall.ECONNRESET))
				return
			}
			expect(err).NotTo(gomega.HaveOccurred())
			expect(string(answer)).To(gomega.HavePrefix("HTTP/1.0 200 OK\r\n"))
			expect(string(answer)).To(gomega.HaveSuffix("\r\n\r\n" + part))
		})
	}
}
