package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// responseEnd is after how many bytes the endless response of a test ends, so that the test
// fails where nothing else ends it.
const responseEnd = 128 << 20

// Guards against a faulty node whose response has no end, which a command would hold whole.
func TestAnswerWithoutEndIsBrokenOff(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	part, written := make([]byte, 1<<20), 0
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for written < responseEnd {
			if _, err := writer.Write(part); err != nil {
				return
			}
			written += len(part)
		}
	}))
	defer server.Close()
	client := &operator.Client{Base: server.URL, HTTP: server.Client()}
	_, err := operator.Call[any](t.Context(), client, operator.ViewConfiguration, nil)
	expect(err).To(gomega.MatchError(gomega.ContainSubstring("ask another node")))
	<-ended
	expect(written).To(gomega.BeNumerically("<", responseEnd))
}

// Guards against a response that is cut off where its connection ends, and counts as a failure
// with a known outcome: the command would forget the id under which it sent the change.
func TestCutResponseLeavesOutcomeInDoubt(t *testing.T) {
	tests := []struct {
		name, response string
		inDoubt        bool
	}{
		{"success", "200 OK\r\nContent-Type: application/json\r\n\r\n{\"version\":4", true},
		{"empty success", "200 OK\r\nContent-Type: application/json\r\n\r\n", true},
		{"failure", "504 Gateway Timeout\r\nContent-Type: application/json\r\n\r\n{\"error\":\"no quorum\",\"in-do", true},
		{"success with a length", "200 OK\r\nContent-Type: application/json\r\nContent-Length: 30\r\n\r\n{\"version\":4", true},
		{"whole failure", "409 Conflict\r\nContent-Type: application/json\r\n\r\n{\"error\":\"stale\"}", false},
		{"whole failure without a document", "404 Not Found\r\nContent-Type: text/plain\r\n\r\nnot found", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
				_, _ = io.Copy(io.Discard, incoming.Body)
				connection, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 "+test.response)
				_ = connection.Close()
			}))
			defer server.Close()
			client := &operator.Client{Base: server.URL, HTTP: server.Client()}
			_, err := operator.Call[any](t.Context(), client, operator.CreatePatch, nil)
			expect(err).To(gomega.HaveOccurred())
			expect(operator.IsInDoubt(err)).To(gomega.Equal(test.inDoubt), "%v", err)
		})
	}
}
