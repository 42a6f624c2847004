package node_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestResendJoinsTheCallInFlight lets three resends arrive while the first send
// is held at the target: all get the one answer, and the target runs it once.
func TestResendJoinsTheCallInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	runs := atomic.Int64{}
	started, release := make(chan struct{}, 8), make(chan struct{})
	entry := startHost(t, "one", "consumo", http.NotFoundHandler())
	agenda := startHost(t, "two", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		started <- struct{}{}
		<-release
		_, _ = writer.Write([]byte("checklist"))
	}))
	connect(entry, agenda)
	answers := make(chan string, 8)
	group := sync.WaitGroup{}
	send := func(key string) {
		group.Go(func() {
			_, content := call(t, entry.callers, "agenda", http.MethodGet, "/visits/7/checklist", nil, "Idempotency-Key", key)
			answers <- string(content)
		})
	}
	send("k1")
	<-started
	for range 3 {
		send("k1")
	}
	send("k2")
	<-started
	g.Eventually(func() string { return metricsOf(entry) }).WithTimeout(time.Minute).Should(
		gomega.ContainSubstring("magnoliawall_joined_calls_total 3\n"))
	close(release)
	group.Wait()
	close(answers)
	for content := range answers {
		g.Expect(content).To(gomega.Equal("checklist"))
	}
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(2))
}

func metricsOf(ho *host) string {
	recorder := httptest.NewRecorder()
	ho.node.AdminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}
