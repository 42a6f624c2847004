package node_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// testTimeout bounds what must happen at all. No test depends on how fast.
const testTimeout = time.Minute

func startRoutedHost(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, prepare ...func(*node.Node)) *host {
	t.Helper()
	underTest := newRoutedNode(t, id, service, target, prepare...)
	return runHost(t, underTest, node.Listeners{Callers: listen(t), Target: listen(t), Peers: listen(t)})
}

// visits is a target that counts the calls that arrive.
type visits struct {
	arrived atomic.Int64
	serve   http.HandlerFunc
}

func (visits *visits) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	visits.arrived.Add(1)
	if visits.serve != nil {
		visits.serve(writer, incoming)
	}
}

// abortConnection closes the connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRoutesByHostAndLongestPrefix(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	target := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.WriteString(writer, incoming.Host+" "+incoming.RequestURI)
	}))
	connectHosts(target)
	answer, body := sendCall(t, target.callers, "Visits.example:8080", http.MethodGet, "/visits/7?full=1", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(string(body)).To(gomega.Equal("Visits.example:8080 /visits/7?full=1"))
	answer, _ = sendCall(t, target.callers, "visits.example", http.MethodGet, "/elsewhere/", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusNotFound))
}

func TestSplitFollowsWeights(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	first, second := &visits{}, &visits{}
	one, two := startRoutedHost(t, "one", "agenda", first), startRoutedHost(t, "two", "subsidios", second)
	connectHosts(one, two)
	const calls = 200
	for range calls {
		_, _ = sendCall(t, one.callers, "split.example", http.MethodGet, "/any", nil)
	}
	expect(first.arrived.Load()).To(gomega.BeNumerically("~", calls*3/4, calls/20))
	expect(second.arrived.Load()).To(gomega.BeNumerically("~", calls/4, calls/20))
}

// A call that may not be repeated reaches one target once, even if that target aborts
// it, and its outcome is never given as not-run.
func TestUnkeyedCallIsHandedOverOnce(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	both := &visits{serve: abortConnection}
	one, two := startRoutedHost(t, "one", "agenda", both), startRoutedHost(t, "two", "agenda", both)
	connectHosts(one, two)
	answer, body := sendCall(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
	expect(both.arrived.Load()).To(gomega.BeEquivalentTo(1))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"unknown"`))
}

// An answer reaches its caller with the headers that its target set, and no others
// that describe its body.
func TestAnswerKeepsBodyHeadersOfTarget(t *testing.T) {
	target := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header()["Content-Type"] = nil
		if incoming.URL.Path == "/visits/typed" {
			writer.Header().Set("Content-Type", "application/x-visit")
		}
		writer.Header().Set("Content-Length", "7")
		_, _ = io.WriteString(writer, "<html>7")
	}))
	connectHosts(target)
	cases := []struct {
		method, path string
		typed        []string
		body         string
	}{
		{http.MethodGet, "/visits/typed", []string{"application/x-visit"}, "<html>7"},
		{http.MethodGet, "/visits/7", nil, "<html>7"},
		{http.MethodHead, "/visits/7", nil, ""},
	}
	for _, test := range cases {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			answer, body := sendCall(t, target.callers, "visits.example", test.method, test.path, nil)
			expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
			expect(answer.Header["Content-Type"]).To(gomega.Equal(test.typed))
			expect(answer.Header.Get("Content-Length")).To(gomega.Equal("7"))
			expect(string(body)).To(gomega.Equal(test.body))
		})
	}
}

// A node that gets no calls learns from the answers to its own calls that a newer
// version is in force.
func TestNewerVersionIsLearnedFromAnswers(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text, err := os.ReadFile("testdata/routes.jsonc")
	expect(err).NotTo(gomega.HaveOccurred())
	newer, err := node.NewActiveConfiguration(7, text)
	expect(err).NotTo(gomega.HaveOccurred())
	behind := startRoutedHost(t, "one", "subsidios", http.NotFoundHandler())
	ahead := startRoutedHost(t, "two", "agenda", &visits{}, func(underTest *node.Node) { underTest.Configuration = node.NewConfigurationHolder(newer) })
	connectHosts(behind, ahead)
	answer, _ := sendCall(t, behind.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(behind.node.NewestPeerVersion()).To(gomega.BeEquivalentTo(7))
}

// A repeatable call is retried at another target if its answer broke off while its
// target stayed up: otherwise the work of its callers is lost. The target that gets
// the first call aborts it, whichever target the balancer picks.
func TestRepeatableCallIsRetriedAfterBrokenAnswer(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var arrivals atomic.Int64
	abortFirst := func(writer http.ResponseWriter, incoming *http.Request) {
		if arrivals.Add(1) == 1 {
			abortConnection(writer, incoming)
		}
	}
	first, second := &visits{serve: abortFirst}, &visits{serve: abortFirst}
	one, two := startRoutedHost(t, "one", "agenda", first), startRoutedHost(t, "two", "agenda", second)
	connectHosts(one, two)
	answer, _ := sendCall(t, two.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(first.arrived.Load()).To(gomega.BeEquivalentTo(1))
	expect(second.arrived.Load()).To(gomega.BeEquivalentTo(1))
	const furtherCalls = 19
	for range furtherCalls {
		answer, _ = sendCall(t, two.callers, "visits.example", http.MethodGet, "/visits/7", nil)
		expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	expect(arrivals.Load()).To(gomega.BeEquivalentTo(2 + furtherCalls))
}

// A target that has not announced itself gets no calls; they go to another target
// without a retry.
func TestCallMovesOnFromUnannouncedTarget(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	closed, open := &visits{}, &visits{}
	one, two := startRoutedHost(t, "one", "agenda", closed), startRoutedHost(t, "two", "agenda", open)
	connectHosts(one, two)
	one.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
	for range 20 {
		answer, _ := sendCall(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
		expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	expect(closed.arrived.Load()).To(gomega.BeZero())
	expect(open.arrived.Load()).To(gomega.BeEquivalentTo(20))
}

// decliningDialect is a dialect in which a status states that the target did not run
// a call.
type decliningDialect struct{ web.NativeDialect }

func (decliningDialect) NotExecutedCode(response *http.Response) request.Code {
	if response.StatusCode == http.StatusTeapot {
		return request.Overloaded
	}
	return request.OK
}

// A call that its target states it did not run may be sent elsewhere, even if it may
// not be repeated. When no other target is left, it ends in a refusal with outcome
// not-run.
func TestDeclinedCallIsRefusedAsNotRun(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full := &visits{serve: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) }}
	one := startRoutedHost(t, "one", "agenda", full)
	one.node.Target.Dialect = decliningDialect{}
	one.node.Dialect = decliningDialect{}
	connectHosts(one)
	answer, body := sendCall(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"not-run"`))
}

// When a caller leaves, the request of its call at the target is cancelled.
func TestTargetRequestIsCancelledWhenCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	began, ended := make(chan struct{}), make(chan struct{})
	one := startRoutedHost(t, "one", "consumo", http.NotFoundHandler())
	two := startRoutedHost(t, "two", "agenda", http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		close(began)
		<-incoming.Context().Done()
		close(ended)
	}))
	connectHosts(one, two)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		outgoing, _ := http.NewRequestWithContext(ctx, http.MethodGet, one.callers+"/visits/7", nil)
		outgoing.Host = "visits.example"
		answer, err := http.DefaultClient.Do(outgoing)
		if err == nil {
			_ = answer.Body.Close()
		}
	}()
	g.Eventually(began).WithTimeout(testTimeout).Should(gomega.BeClosed())
	cancel()
	g.Eventually(ended).WithTimeout(testTimeout).Should(gomega.BeClosed())
}

// The large body of a call that may not be repeated arrives complete, and an answer
// before the end of the body is delivered.
func TestUploads(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var got atomic.Int64
	early := atomic.Bool{}
	target := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if early.Load() {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		count, _ := io.Copy(io.Discard, incoming.Body)
		got.Store(count)
	}))
	connectHosts(target)
	photo := bytes.Repeat([]byte("photo"), 60_000)
	answer, _ := sendCall(t, target.callers, "visits.example", http.MethodPost, "/photos/7", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(got.Load()).To(gomega.BeEquivalentTo(len(photo)))
	early.Store(true)
	answer, _ = sendCall(t, target.callers, "visits.example", http.MethodPost, "/photos/8", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusConflict))
	early.Store(false)
	answer, _ = sendCall(t, target.callers, "visits.example", http.MethodPost, "/photos/9", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), "the connection of an early answer is not used again")
}

func BenchmarkRoutedThroughTwoNodes(b *testing.B) {
	entry := startRoutedHost(b, "one", "subsidios", http.NotFoundHandler())
	target := startRoutedHost(b, "two", "agenda", http.HandlerFunc(answerSmall))
	connectHosts(entry, target)
	benchmarkCalls(b, entry.callers, "visits.example")
}
