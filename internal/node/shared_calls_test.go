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

// Three resends arrive while the first send is held at the target: all get the same
// answer, and the target runs the call once. A call with another key is run
// separately.
func TestResendJoinsCallInFlight(t *testing.T) {
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
	connectHosts(entry, agenda)
	answers := make(chan string, 8)
	group := sync.WaitGroup{}
	send := func(key string) {
		group.Go(func() {
			_, content := sendCall(t, entry.callers, "agenda", http.MethodGet, "/visits/7/checklist", nil, "Idempotency-Key", key)
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

func metricsOf(host *host) string {
	recorder := httptest.NewRecorder()
	host.node.AdminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}
