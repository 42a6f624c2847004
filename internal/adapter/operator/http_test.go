package operator_test

import (
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
