package main_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// newTargetDaemon writes the settings of another process, which serves a target of
// agenda, holds no replica and has this process as its seed.
func (daemon *testDaemon) newTargetDaemon(t *testing.T, name string, target http.Handler) *testDaemon {
	t.Helper()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	node := &testDaemon{listen: testListen(t), settingsPath: filepath.Join(t.TempDir(), name+".jsonc")}
	text, err := json.Marshal(map[string]any{
		"node": name, "region": "norte", "failure-domain": "norte-b",
		"service": "agenda", "target": server.Listener.Addr().String(),
		"listen":   node.listen,
		"seeds":    []settings.Address{daemon.listen.Peers},
		"security": map[string]bool{"plaintext-on-loopback": true},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(node.settingsPath, text, 0o600)).To(gomega.Succeed())
	return node
}

type bookingResult struct {
	Status  int
	Code    int
	Outcome string
	body    string
}

func (daemon *testDaemon) bookVisit(t *testing.T, key string) bookingResult {
	t.Helper()
	outgoing, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+string(daemon.listen.Callers)+"/visits", strings.NewReader("visit"))
	outgoing.Host = "agenda"
	outgoing.Header.Set("Idempotency-Key", key)
	answer, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return bookingResult{}
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	result := bookingResult{}
	_ = json.Unmarshal(content, &result)
	result.Status, result.body = answer.StatusCode, string(content)
	return result
}

// TestFrozenNodeRunsActionOnce stops the process that holds a granted claim with
// SIGSTOP while its target runs the action. Neither before nor after SIGCONT may a
// resend through another node be told that the action did not run, or run it again.
func TestFrozenNodeRunsActionOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	runs := atomic.Int64{}
	started, unblock := make(chan int, 8), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	agenda := func(number int) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			if incoming.Header.Get("Idempotency-Key") == "held" {
				runs.Add(1)
				started <- number
				<-unblock
			}
			_, _ = writer.Write([]byte("booked"))
		})
	}
	entry := newReplicaDaemon(t, http.NotFoundHandler())
	entry.startAndWait(t)
	nodes := []*testDaemon{entry.newTargetDaemon(t, "two", agenda(0)), entry.newTargetDaemon(t, "three", agenda(1))}
	for _, node := range nodes {
		node.startAndWait(t)
	}
	g.Eventually(func() int { return entry.bookVisit(t, "first").Status }).WithTimeout(waitTimeout).Should(gomega.Equal(http.StatusOK))

	firstResult := make(chan bookingResult, 1)
	go func() { firstResult <- entry.bookVisit(t, "held") }()
	frozen := nodes[<-started].command.Process
	g.Expect(frozen.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	g.Expect((<-firstResult).Outcome).To(gomega.Equal("unknown"))
	g.Eventually(func() int {
		result := entry.bookVisit(t, "held")
		g.Expect(result.Outcome).To(gomega.Equal("unknown"), result.body)
		return result.Code
	}).WithTimeout(waitTimeout).Should(gomega.Equal(outcomeUnknownCode))
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))

	g.Expect(frozen.Signal(syscall.SIGCONT)).To(gomega.Succeed())
	release()
	for range 10 {
		result := entry.bookVisit(t, "held")
		g.Expect(result.Outcome).To(gomega.Or(gomega.Equal("unknown"), gomega.BeEmpty()), result.body)
	}
	g.Eventually(func() int { return entry.bookVisit(t, "last").Status }).WithTimeout(waitTimeout).Should(gomega.Equal(http.StatusOK))
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
}

// outcomeUnknownCode is the result code of an action whose outcome is unknown and
// that is never run again.
const outcomeUnknownCode = 4004
