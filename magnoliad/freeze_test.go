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
)

// newNode gives a further process of a site: a target of agenda, no replica.
func (si *site) newNode(t *testing.T, name string, target http.Handler) *site {
	t.Helper()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	first, err := os.ReadFile(si.settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	loaded := struct{ Listen struct{ Peers string } }{}
	g.Expect(json.Unmarshal(first, &loaded)).To(gomega.Succeed())
	further := &site{callers: freeAddress(t), admin: freeAddress(t), settings: filepath.Join(t.TempDir(), name+".jsonc")}
	text, err := json.Marshal(map[string]any{
		"node": name, "region": "norte", "failure-domain": "norte-b",
		"service": "agenda", "target": server.Listener.Addr().String(),
		"listen": map[string]string{
			"callers": further.callers, "outbound": freeAddress(t), "peers": freeAddress(t), "admin": further.admin,
		},
		"seeds":    []string{loaded.Listen.Peers},
		"security": map[string]bool{"plaintext-on-loopback": true},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(further.settings, text, 0o600)).To(gomega.Succeed())
	return further
}

type told struct {
	Status  int
	Code    int
	Outcome string
	body    string
}

func (si *site) book(t *testing.T, key string) told {
	t.Helper()
	outgoing, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+si.callers+"/visits", strings.NewReader("visit"))
	outgoing.Host = "agenda"
	outgoing.Header.Set("Idempotency-Key", key)
	answer, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return told{}
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	how := told{}
	_ = json.Unmarshal(content, &how)
	how.Status, how.body = answer.StatusCode, string(content)
	return how
}

// TestFrozenNodeRunsNothingTwice freezes the process that holds a granted claim
// while its target works on it. Resends by another node are never told that it
// did not run, and no resend runs it again, before and after the thaw.
func TestFrozenNodeRunsNothingTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	runs := atomic.Int64{}
	started, held := make(chan int, 8), make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	defer release()
	agenda := func(number int) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			if incoming.Header.Get("Idempotency-Key") == "held" {
				runs.Add(1)
				started <- number
				<-held
			}
			_, _ = writer.Write([]byte("booked"))
		})
	}
	entry := newSite(t, http.NotFoundHandler())
	entry.start(t)
	nodes := []*site{entry.newNode(t, "two", agenda(0)), entry.newNode(t, "three", agenda(1))}
	for _, one := range nodes {
		one.start(t)
	}
	g.Eventually(func() int { return entry.book(t, "first").Status }).WithTimeout(patience).Should(gomega.Equal(http.StatusOK))

	cut := make(chan told, 1)
	go func() { cut <- entry.book(t, "held") }()
	frozen := nodes[<-started].process.Process
	g.Expect(frozen.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	g.Expect((<-cut).Outcome).To(gomega.Equal("unknown"))
	g.Eventually(func() int {
		how := entry.book(t, "held")
		g.Expect(how.Outcome).To(gomega.Equal("unknown"), how.body)
		return how.Code
	}).WithTimeout(patience).Should(gomega.Equal(outcomeUnknown))
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))

	g.Expect(frozen.Signal(syscall.SIGCONT)).To(gomega.Succeed())
	release()
	for range 10 {
		how := entry.book(t, "held")
		g.Expect(how.Outcome).To(gomega.Or(gomega.Equal("unknown"), gomega.BeEmpty()), how.body)
	}
	g.Eventually(func() int { return entry.book(t, "last").Status }).WithTimeout(patience).Should(gomega.Equal(http.StatusOK))
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
}

// outcomeUnknown is the code of an action that is never run again.
const outcomeUnknown = 4004
