package web_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Whatever a target sends on a kept connection where the response to the second call is
// due, that call gets a response with its own id or none.
func FuzzResponseOnKeptConnection(f *testing.F) {
	own, other := okHeader+"Call: 2\r\n\r\nok", okHeader+"Call: 1\r\n\r\nno"
	for _, seed := range []string{
		own, other, other + own, other + other + own, own + other, okHeader + "\r\nno", "",
		"HTTP/1.1 100 Continue\r\n\r\n" + own,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + own,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCall: 1\r\n\r\n2\r\nno\r\n0\r\n\r\n" + own,
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\nCall: 1\r\n\r\n" + own,
		"\x00\xff" + own,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sent string) {
		g := gomega.NewWithT(t)
		target := startScriptedTarget(t, okHeader+"Call: 1\r\n\r\nno", sent+"<close>")
		client := target.client(echoDialect{})
		defer client.Close()
		first, err := sendAndReadBody(client, newCall(http.MethodGet, "/first", "1"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first).To(gomega.Equal("no"))
		response, err := client.Send(t.Context(), newCall(http.MethodGet, "/second", "2"))
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		g.Expect(response.Header.Get("Call")).To(gomega.Equal("2"))
	})
}
