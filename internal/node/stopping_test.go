package node_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The grace time of a planned stop, and how long calls take that end within it and that do
// not. All are so long that no verdict depends on how fast a test runs.
const (
	stopGrace      = 5 * time.Minute
	endsInGrace    = 2 * time.Minute
	outlastsGrace  = 8 * time.Minute
	stoppedTimeout = "10m"
)

// startStoppableHost starts a host for a test that tells it to stop. It goes on serving
// callers for the linger time, and for as long as its target works.
func startStoppableHost(t testing.TB, id request.NodeID, linger time.Duration, target http.Handler, prepare ...func(*node.Node)) *host {
	t.Helper()
	text := strings.ReplaceAll(string(readRoutes(t)), `"timeout": "30s"`, `"timeout": "`+stoppedTimeout+`"`)
	prepare = append(prepare, func(underTest *node.Node) { underTest.Linger, underTest.Grace = linger, stopGrace })
	underTest := newNode(t, id, "agenda", target, nil, []byte(text), prepare...)
	listeners := node.Listeners{Callers: listen(t), Target: listen(t), Peers: listen(t)}
	started := runHost(t, underTest, listeners)
	// Ends the linger time, and with it the node.
	t.Cleanup(func() { _ = listeners.Callers.Close() })
	return started
}

// beginStop tells a host to stop and waits until its drain has begun.
func (host *host) beginStop(g gomega.Gomega) {
	host.stop()
	g.Eventually(func() drain.State {
		state, _ := host.node.Drain.State()
		return state
	}).WithTimeout(testTimeout).ShouldNot(gomega.Equal(drain.Running))
}

// expectStopping expects a refusal that says whether the call has run, and to come back once
// the next process is up.
func expectStopping(g gomega.Gomega, answer *http.Response, body []byte, outcome request.Outcome) {
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), string(body))
	g.Expect(string(body)).To(gomega.And(gomega.ContainSubstring(`"code":2017`), gomega.ContainSubstring(`"outcome":"`+outcome.String()+`"`)))
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(time.Duration(seconds) * time.Second).To(gomega.BeNumerically("~", stopGrace, testTimeout))
}

// Guards against accepted calls that a planned stop cuts without an answer (LOST).
func TestStoppingNodeRefusesCallsThatItWouldCut(t *testing.T) {
	cases := []struct {
		name, method, path string
		kind               request.KindName
		took               time.Duration
		served             bool
	}{
		{"not repeatable, ends in time", http.MethodPost, "/visits/grants/7", "route/grants", endsInGrace, true},
		{"not repeatable, would be cut", http.MethodPost, "/visits/grants/7", "route/grants", outlastsGrace, false},
		{"repeatable, ends in time", http.MethodGet, "/visits/7", "route/visits", endsInGrace, true},
		{"repeatable, would be cut", http.MethodGet, "/visits/7", "route/visits", outlastsGrace, false},
		{"upload, ends in time", http.MethodPost, "/photos/7", "route/photos", endsInGrace, true},
		{"upload, would be cut", http.MethodPost, "/photos/7", "route/photos", outlastsGrace, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := &visits{}
			stopping, other := startStoppableHost(t, "one", stopGrace, http.NotFoundHandler()), startRoutedHost(t, "two", "agenda", target)
			connectHosts(stopping, other)
			stopping.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
			stopping.node.RecordCalls(test.kind, "agenda", test.took, 100)
			stopping.beginStop(g)
			answer, body := sendCall(t, stopping.callers, "visits.example", test.method, test.path, strings.NewReader("grant"))
			if test.served {
				g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), string(body))
				return
			}
			expectStopping(g, answer, body, request.NotRun)
			g.Expect(target.arrived.Load()).To(gomega.BeZero())
		})
	}
}

// stopWhileTargetWorks stops a host whose target works on a call of another host until the
// returned function is called, so that the node waits for it. All other calls go to the
// target of the other host.
func stopWhileTargetWorks(t *testing.T, g gomega.Gomega, other http.Handler, prepare ...func(*node.Node)) (*host, func()) {
	working, ended := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(ended) })
	own := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(working)
		<-ended
	})
	stopping, caller := startStoppableHost(t, "one", 0, own, prepare...), startRoutedHost(t, "two", "agenda", other)
	t.Cleanup(release)
	connectHosts(stopping, caller)
	caller.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
	held := make(chan int, 1)
	go func() {
		answer, _ := sendCall(t, caller.callers, "visits.example", http.MethodGet, "/visits/1", nil)
		held <- answer.StatusCode
	}()
	g.Eventually(working).WithTimeout(testTimeout).Should(gomega.BeClosed())
	caller.node.SetLocalTarget(node.LocalTarget{Service: "agenda", Serving: true})
	stopping.beginStop(g)
	return stopping, func() {
		release()
		g.Eventually(held).WithTimeout(testTimeout).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
	}
}

// Guards against calls that are accepted late in the grace time, because the node waits for
// its own target, and cut at its end (LOST).
func TestNodeThatWaitsForItsTargetRefusesCallsThatItWouldCut(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &visits{}
	stopping, release := stopWhileTargetWorks(t, g, target, forecastsUntilEnd)
	stopping.node.RecordCalls("route/grants", "agenda", outlastsGrace, 100)
	answer, body := sendCall(t, stopping.callers, "visits.example", http.MethodPost, "/visits/grants/7", strings.NewReader("grant"))
	expectStopping(g, answer, body, request.NotRun)
	g.Expect(target.arrived.Load()).To(gomega.BeZero())
	release()
}

// forecastsUntilEnd makes a node accept calls by recent ones until its stop is over.
func forecastsUntilEnd(underTest *node.Node) { underTest.ForecastTime = stopGrace }

// Guards against a late call that a stopping node accepts since recent calls were short, and
// breaks off while its target works on it, as it takes longer (LOST).
func TestStoppingNodeAcceptsNoLateCallByRecentOnes(t *testing.T) {
	cases := []struct {
		name, method, path string
		headers            []string
		prepare            func(*node.Node)
		served             bool
	}{
		{name: "not repeatable", method: http.MethodPost, path: "/visits/grants/7"},
		{name: "repeatable", method: http.MethodGet, path: "/visits/7"},
		{name: "upload", method: http.MethodPost, path: "/photos/7"},
		{name: "its deadline comes before the end of the stop", method: http.MethodPost, path: "/visits/grants/7", headers: []string{"Magnoliawall-Deadline", "2m"}, served: true},
		{name: "not late", method: http.MethodPost, path: "/visits/grants/7", prepare: forecastsUntilEnd, served: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := &visits{}
			prepare := func(underTest *node.Node) {
				for _, kind := range []request.KindName{"route/grants", "route/visits", "route/photos"} {
					underTest.RecordCalls(kind, "agenda", time.Millisecond, 1000)
				}
				if test.prepare != nil {
					test.prepare(underTest)
				}
			}
			stopping, release := stopWhileTargetWorks(t, g, target, prepare)
			answer, body := sendCall(t, stopping.callers, "visits.example", test.method, test.path, strings.NewReader("grant"), test.headers...)
			if test.served {
				g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), string(body))
			} else {
				expectStopping(g, answer, body, request.NotRun)
				g.Expect(target.arrived.Load()).To(gomega.BeZero())
			}
			release()
		})
	}
}

// Guards against a late resend that shares the outcome of a call in flight, which the stop
// may break off (LOST).
func TestLateResendDoesNotJoinCallThatTheStopMightCut(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, answered := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(answered) })
	target := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-answered
	})
	stopping, other := startStoppableHost(t, "one", stopGrace, http.NotFoundHandler(), func(underTest *node.Node) { underTest.ForecastTime = time.Nanosecond }), startRoutedHost(t, "two", "agenda", target)
	t.Cleanup(release)
	connectHosts(stopping, other)
	stopping.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
	first := make(chan int, 1)
	go func() {
		answer, _ := sendCall(t, stopping.callers, "visits.example", http.MethodGet, "/visits/7", nil, "Idempotency-Key", "k1")
		first <- answer.StatusCode
	}()
	g.Eventually(arrived).WithTimeout(testTimeout).Should(gomega.BeClosed())
	stopping.beginStop(g)
	second := make(chan func(), 1)
	go func() {
		answer, body := sendCall(t, stopping.callers, "visits.example", http.MethodGet, "/visits/7", nil, "Idempotency-Key", "k1")
		second <- func() { expectStopping(g, answer, body, request.NotRun) }
	}()
	var check func()
	g.Eventually(second).WithTimeout(testTimeout).Should(gomega.Receive(&check))
	check()
	release()
	g.Eventually(first).WithTimeout(testTimeout).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
}

// Guards against a second attempt that begins during a planned stop and is cut (LOST). The
// first one may have run.
func TestStoppingNodeBeginsNoAttemptThatItWouldCut(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived := atomic.Int64{}
	var stopping *host
	stopAndAbort := http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if arrived.Add(1) == 1 {
			stopping.beginStop(g)
			abortConnection(writer, incoming)
		}
	})
	stopping = startStoppableHost(t, "one", stopGrace, http.NotFoundHandler())
	first, second := startRoutedHost(t, "two", "agenda", stopAndAbort), startRoutedHost(t, "three", "agenda", stopAndAbort)
	connectHosts(stopping, first, second)
	stopping.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
	stopping.node.RecordCalls("route/visits", "agenda", outlastsGrace, 100)
	answer, body := sendCall(t, stopping.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	expectStopping(g, answer, body, request.Unknown)
	g.Expect(arrived.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against calls that wait at the target of a stopping node, get their slot late and
// are cut while they run (LOST). They go to another target.
func TestStoppingNodeHandsOverNoCallThatItWouldCut(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := atomic.Int64{}, make(chan struct{})
	own := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 1 {
			<-release
		}
	})
	other := &visits{}
	oneSlot := func(underTest *node.Node) {
		underTest.TargetAnnouncesItself = true
		underTest.SetLocalTarget(node.LocalTarget{Service: "agenda", Slots: 1, Serving: true})
	}
	stopping, caller := startStoppableHost(t, "one", 0, own, oneSlot), startStoppableHost(t, "two", 0, other)
	caller.node.Balancer.Update(time.Now(), balancer.View{Service: "agenda", Targets: []balancer.Target{stopping.target}})
	statuses := make(chan string, 2)
	call := func() {
		answer, body := sendCall(t, caller.callers, "visits.example", http.MethodPost, "/visits/grants/7", strings.NewReader("grant"))
		statuses <- answer.Status + string(body)
	}
	go call()
	g.Eventually(arrived.Load).WithTimeout(testTimeout).Should(gomega.BeEquivalentTo(1))
	go call()
	g.Eventually(stopping.node.Waiting).WithTimeout(testTimeout).Should(gomega.Equal(1))
	connectHosts(stopping, caller)
	stopping.node.RecordCalls("route/grants", "agenda", outlastsGrace, 100)
	stopping.beginStop(g)
	close(release)
	for range 2 {
		g.Expect(<-statuses).To(gomega.Equal("200 OK"))
	}
	g.Expect(arrived.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(other.arrived.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against calls that end without an answer because a stop leaves them no more time
// (LOST): they are told that they may have run.
func TestCallsThatOutlastTheStopAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	working := make(chan struct{})
	target := http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		_, _ = io.Copy(io.Discard, incoming.Body)
		close(working)
		<-incoming.Context().Done()
	})
	stopping, other := startStoppableHost(t, "one", stopGrace, http.NotFoundHandler()), startRoutedHost(t, "two", "agenda", target)
	connectHosts(stopping, other)
	stopping.node.SetLocalTarget(node.LocalTarget{Service: "agenda"})
	go func() {
		<-working
		stopping.beginStop(g)
		stopping.node.EndCalls()
	}()
	answer, body := sendCall(t, stopping.callers, "visits.example", http.MethodPost, "/visits/grants/7", strings.NewReader("grant"))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), string(body))
	g.Expect(string(body)).To(gomega.And(gomega.ContainSubstring(`"code":2017`), gomega.ContainSubstring(`"outcome":"unknown"`)))
}
