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

// wait bounds what must happen at all; no verdict depends on how fast.
const wait = time.Minute

func startRouted(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, prepare ...func(*node.Node)) *host {
	t.Helper()
	text, err := os.ReadFile("testdata/routes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return startConfigured(t, id, service, target, nil, text, prepare...)
}

// visits counts the calls that arrive at a target.
type visits struct {
	arrived atomic.Int64
	serve   http.HandlerFunc
}

func (vi *visits) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	vi.arrived.Add(1)
	if vi.serve != nil {
		vi.serve(writer, incoming)
	}
}

// breakOff ends the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestRoutesByHostAndLongestPrefix(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	target := startRouted(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.WriteString(writer, incoming.Host+" "+incoming.RequestURI)
	}))
	connect(target)
	answer, body := call(t, target.callers, "Visits.example:8080", http.MethodGet, "/visits/7?full=1", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(string(body)).To(gomega.Equal("Visits.example:8080 /visits/7?full=1"))
	answer, _ = call(t, target.callers, "visits.example", http.MethodGet, "/elsewhere/", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusNotFound))
}

func TestASplitFollowsItsWeights(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	first, second := &visits{}, &visits{}
	one, two := startRouted(t, "one", "agenda", first), startRouted(t, "two", "subsidios", second)
	connect(one, two)
	const calls = 200
	for range calls {
		_, _ = call(t, one.callers, "split.example", http.MethodGet, "/any", nil)
	}
	expect(first.arrived.Load()).To(gomega.BeNumerically("~", calls*3/4, calls/20))
	expect(second.arrived.Load()).To(gomega.BeNumerically("~", calls/4, calls/20))
}

// A call that may not be repeated reaches one target once, whatever becomes of
// it there, and is not told as "not run".
func TestAnUnkeyedCallIsHandedOverOnce(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	both := &visits{serve: breakOff}
	one, two := startRouted(t, "one", "agenda", both), startRouted(t, "two", "agenda", both)
	connect(one, two)
	answer, body := call(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
	expect(both.arrived.Load()).To(gomega.BeEquivalentTo(1))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"unknown"`))
}

// An answer reaches its caller with the headers that its target gave, and no others
// that describe its body.
func TestAnAnswerIsDescribedAsItsTargetDid(t *testing.T) {
	target := startRouted(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header()["Content-Type"] = nil
		if incoming.URL.Path == "/visits/typed" {
			writer.Header().Set("Content-Type", "application/x-visit")
		}
		writer.Header().Set("Content-Length", "7")
		_, _ = io.WriteString(writer, "<html>7")
	}))
	connect(target)
	cases := []struct {
		method, path string
		typed        []string
		body         string
	}{
		{http.MethodGet, "/visits/typed", []string{"application/x-visit"}, "<html>7"},
		{http.MethodGet, "/visits/7", nil, "<html>7"},
		{http.MethodHead, "/visits/7", nil, ""},
	}
	for _, each := range cases {
		t.Run(each.method+" "+each.path, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			answer, body := call(t, target.callers, "visits.example", each.method, each.path, nil)
			expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
			expect(answer.Header["Content-Type"]).To(gomega.Equal(each.typed))
			expect(answer.Header.Get("Content-Length")).To(gomega.Equal("7"))
			expect(string(body)).To(gomega.Equal(each.body))
		})
	}
}

// A node that nobody calls learns from the answers to its own calls that a newer
// version is in force.
func TestANewerVersionIsHeardFromAnswers(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text, err := os.ReadFile("testdata/routes.jsonc")
	expect(err).NotTo(gomega.HaveOccurred())
	newer, err := node.NewActive(7, text)
	expect(err).NotTo(gomega.HaveOccurred())
	behind := startRouted(t, "one", "subsidios", http.NotFoundHandler())
	ahead := startRouted(t, "two", "agenda", &visits{}, func(no *node.Node) { no.Configuration = node.NewHolder(newer) })
	connect(behind, ahead)
	answer, _ := call(t, behind.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(behind.node.Heard()).To(gomega.BeEquivalentTo(7))
}

// A call that may be repeated is, where a target breaks its answer off and is still
// there: the trees above it are lost without it.
func TestARepeatableCallIsRepeatedWhereItsAnswerBrokeOff(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	broken, whole := &visits{serve: breakOff}, &visits{}
	one, two := startRouted(t, "one", "agenda", broken), startRouted(t, "two", "agenda", whole)
	connect(one, two)
	const calls = 20
	for range calls {
		answer, _ := call(t, two.callers, "visits.example", http.MethodGet, "/visits/7", nil)
		expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	expect(broken.arrived.Load()).To(gomega.BeNumerically(">", 0))
	expect(whole.arrived.Load()).To(gomega.BeEquivalentTo(calls))
}

// A target that has not announced itself gets nothing, and the call goes to
// another one without a retry.
func TestACallMovesOnFromATargetThatTakesNothing(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	closed, open := &visits{}, &visits{}
	one, two := startRouted(t, "one", "agenda", closed), startRouted(t, "two", "agenda", open)
	connect(one, two)
	one.node.SetLocal(node.LocalTarget{Service: "agenda"})
	for range 20 {
		answer, _ := call(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
		expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	expect(closed.arrived.Load()).To(gomega.BeZero())
	expect(open.arrived.Load()).To(gomega.BeEquivalentTo(20))
}

// declining is a dialect in which a status states that a call was not run.
type declining struct{ web.Native }

func (declining) Declined(response *http.Response) request.Code {
	if response.StatusCode == http.StatusTeapot {
		return request.Overloaded
	}
	return request.OK
}

// What a target states that it did not run may be sent elsewhere, also where it
// may not be repeated; what is left of it is a refusal that says "not run".
func TestADeclinedCallIsSentElsewhere(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full := &visits{serve: func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) }}
	one := startRouted(t, "one", "agenda", full)
	one.node.Target.Dialect = declining{}
	one.node.Dialect = declining{}
	connect(one)
	answer, body := call(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", bytes.NewBufferString("grant"))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"not-run"`))
}

// A caller that leaves ends the work for its call at the target.
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	began, ended := make(chan struct{}), make(chan struct{})
	one := startRouted(t, "one", "consumo", http.NotFoundHandler())
	two := startRouted(t, "two", "agenda", http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		close(began)
		<-incoming.Context().Done()
		close(ended)
	}))
	connect(one, two)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		outgoing, _ := http.NewRequestWithContext(ctx, http.MethodGet, one.callers+"/visits/7", nil)
		outgoing.Host = "visits.example"
		answer, err := http.DefaultClient.Do(outgoing)
		if err == nil {
			_ = answer.Body.Close()
		}
	}()
	g.Eventually(began).WithTimeout(wait).Should(gomega.BeClosed())
	leave()
	g.Eventually(ended).WithTimeout(wait).Should(gomega.BeClosed())
}

// A large body of a call that may not be repeated arrives whole, and an answer
// before its end is delivered.
func TestUploads(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var got atomic.Int64
	early := atomic.Bool{}
	target := startRouted(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if early.Load() {
			writer.WriteHeader(http.StatusConflict)
			return
		}
		count, _ := io.Copy(io.Discard, incoming.Body)
		got.Store(count)
	}))
	connect(target)
	photo := bytes.Repeat([]byte("photo"), 60_000)
	answer, _ := call(t, target.callers, "visits.example", http.MethodPost, "/photos/7", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	expect(got.Load()).To(gomega.BeEquivalentTo(len(photo)))
	early.Store(true)
	answer, _ = call(t, target.callers, "visits.example", http.MethodPost, "/photos/8", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusConflict))
	early.Store(false)
	answer, _ = call(t, target.callers, "visits.example", http.MethodPost, "/photos/9", bytes.NewReader(photo))
	expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), "the connection of an early answer is not used again")
}

func BenchmarkRoutedThroughTwoNodes(b *testing.B) {
	entry := startRouted(b, "one", "subsidios", http.NotFoundHandler())
	target := startRouted(b, "two", "agenda", http.HandlerFunc(answerSmall))
	connect(entry, target)
	benchmarkCalls(b, entry.callers, "visits.example")
}
