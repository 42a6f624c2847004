package node_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/node"
)

// reportingTarget is a target that reports about itself in each answer.
func reportingTarget(header, value string) *visits {
	return &visits{serve: func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set(header, value) }}
}

// arrivalWindow is the time in which a target counts the calls that it gets.
const arrivalWindow = 4 * time.Second

// mostInWindow returns the largest number of times within any arrivalWindow.
func mostInWindow(times []time.Time) int {
	most := 0
	for first, start := range times {
		within := 0
		for _, at := range times[first:] {
			if at.Sub(start) < arrivalWindow {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

// A target that states a rate limit gets, in any four seconds, at most one and a half times
// as many calls and five more, from all callers together, however many send at once.
func TestTargetGetsNoMoreCallsThanItsRateLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.001, 0.5, 7.4} {
		t.Run(strconv.FormatFloat(limit, 'g', -1, 64), func(t *testing.T) {
			t.Parallel()
			arrivals := arrivalsUnderLimit(t, limit)
			gomega.NewWithT(t).Expect(mostInWindow(arrivals)).To(gomega.BeNumerically("<=", 1.5*limit*arrivalWindow.Seconds()+5))
		})
	}
}

// arrivalsUnderLimit sends calls through two nodes at once to a target that has stated a
// limit, and returns when they arrived there.
func arrivalsUnderLimit(t *testing.T, limit float64) []time.Time {
	const calls, deadline = 80, "500ms"
	arrivals, lock := []time.Time{}, sync.Mutex{}
	target := reportingTarget(web.HeaderRateLimit, strconv.FormatFloat(limit, 'g', -1, 64))
	one := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		lock.Lock()
		arrivals = append(arrivals, time.Now())
		lock.Unlock()
		target.ServeHTTP(writer, incoming)
	}))
	two := startRoutedHost(t, "two", "subsidios", http.NotFoundHandler())
	connectHosts(one, two)
	_, _ = sendCall(t, one.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	lock.Lock()
	arrivals = nil
	lock.Unlock()
	sending := sync.WaitGroup{}
	for range calls / 2 {
		for _, entry := range []*host{one, two} {
			sending.Go(func() {
				_, _ = sendCall(t, entry.callers, "visits.example", http.MethodGet, "/visits/8", nil, web.HeaderDeadline, deadline)
			})
		}
	}
	sending.Wait()
	return arrivals
}

// A target that says in an answer that it is leaving gets no further call, also where no
// replica can be reached. Calls are refused as not run while there is no other target, and
// go to another one without a retry.
func TestTargetGetsNoCallsAfterItSaysThatItIsLeaving(t *testing.T) {
	const calls = 20
	expect := gomega.NewWithT(t).Expect
	leaving, staying := reportingTarget(web.HeaderLeaving, "1"), &visits{}
	one, two := startRoutedHost(t, "one", "agenda", leaving), startRoutedHost(t, "two", "agenda", staying)
	caller := startRoutedHost(t, "three", "subsidios", http.NotFoundHandler())
	connectHosts(one, caller)
	_, _ = sendCall(t, caller.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	told := leaving.arrived.Load()
	send := func() int {
		answer, _ := sendCall(t, caller.callers, "visits.example", http.MethodPost, "/visits/grants/7", nil)
		return answer.StatusCode
	}
	for range calls {
		expect(send()).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	connectHosts(one, two, caller)
	for range calls {
		expect(send()).To(gomega.Equal(http.StatusOK))
	}
	expect(leaving.arrived.Load()).To(gomega.Equal(told))
	expect(staying.arrived.Load()).To(gomega.BeEquivalentTo(calls))
}

func newRequest(t *testing.T, base, path string) *http.Request {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Host = "visits.example"
	return outgoing
}

// A node that has started anew beside a target learns from the calls of nodes that the
// target had told, before the target answers again, what the target said of itself.
func TestRestartedNodeLearnsStatusFromCallers(t *testing.T) {
	const calls = 20
	const limitAllows = 1.5*0.5*4 + 5
	cutOff := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(web.HeaderRateLimit, "0.5")
		_, _ = writer.Write(make([]byte, 1<<20))
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name    string
		told    *visits
		allowed float64
	}{
		{"rate limit", reportingTarget(web.HeaderRateLimit, "0.5"), limitAllows},
		{"rate limit in an answer that is cut off", &visits{serve: cutOff}, limitAllows},
		{"leaving", reportingTarget(web.HeaderLeaving, "1"), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			blocked := make(chan struct{})
			// A target that announces itself gets as many calls at once as it has slots.
			announced := func(underTest *node.Node) {
				underTest.TargetAnnouncesItself = true
				underTest.SetLocalTarget(node.LocalTarget{Instance: "i-1", StartMillis: 1, Service: "agenda", Slots: 2 * calls, Serving: true})
			}
			before := startRoutedHost(t, "one", "agenda", test.told, announced)
			caller := startRoutedHost(t, "two", "subsidios", http.NotFoundHandler())
			connectHosts(before, caller)
			if answer, err := http.DefaultClient.Do(newRequest(t, caller.callers, "/visits/7")); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			// The target does not answer calls again in the time of the test, and its health
			// check says nothing of what it said in answers.
			silent := &visits{serve: func(http.ResponseWriter, *http.Request) { <-blocked }}
			mux := http.NewServeMux()
			mux.Handle("/", silent)
			mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
			after := startRoutedHost(t, "one", "agenda", mux, announced)
			gomega.NewWithT(t).Expect(after.node.CheckTarget("i-1", "/health", testTimeout)).To(gomega.Succeed())
			after.target.Incarnation = 2
			connectHosts(after, caller)
			sending := sync.WaitGroup{}
			for range calls {
				sending.Go(func() {
					_, _ = sendCall(t, caller.callers, "visits.example", http.MethodGet, "/visits/8", nil, web.HeaderDeadline, "500ms")
				})
			}
			sending.Wait()
			close(blocked)
			gomega.NewWithT(t).Expect(silent.arrived.Load()).To(gomega.BeNumerically("<=", test.allowed))
		})
	}
}

// Calls that wait for a slot of a target that stops taking work end at once as not run,
// and do not reach it when a slot is free.
func TestQueuedCallsEndWhenTheTargetStopsTakingWork(t *testing.T) {
	expect := gomega.NewWithT(t)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	announced := node.LocalTarget{Instance: "i-1", StartMillis: 1, Service: "agenda", Slots: 1, Serving: true}
	target := startRoutedHost(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}), func(underTest *node.Node) {
		underTest.TargetAnnouncesItself = true
		underTest.SetLocalTarget(announced)
	})
	connectHosts(target)
	statuses := make(chan int, 2)
	send := func() {
		answer, _ := sendCall(t, target.callers, "visits.example", http.MethodGet, "/visits/7", nil)
		statuses <- answer.StatusCode
	}
	go send()
	<-entered
	go send()
	expect.Eventually(func() string {
		metrics := &strings.Builder{}
		target.node.WriteMetrics(metrics)
		return metrics.String()
	}).WithTimeout(testTimeout).Should(gomega.ContainSubstring("magnoliawall_inbound_calls_total 2\n"))
	announced.Serving = false
	target.node.SetLocalTarget(announced)
	expect.Expect(<-statuses).To(gomega.Equal(http.StatusServiceUnavailable))
	close(release)
	expect.Expect(<-statuses).To(gomega.Equal(http.StatusOK))
	expect.Expect(entered).To(gomega.BeEmpty())
}

// A call that the only target refuses by its rate limit ends at once, without a retry,
// with a Retry-After that is the wait for the limit.
func TestCallLimitedEverywhereEndsAtOnce(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	one := startRoutedHost(t, "one", "agenda", reportingTarget(web.HeaderRateLimit, "0"))
	two := startRoutedHost(t, "two", "subsidios", http.NotFoundHandler())
	connectHosts(one, two)
	_, _ = sendCall(t, two.callers, "visits.example", http.MethodGet, "/visits/7", nil)
	// Health checks count as calls, at one in five seconds.
	for range 20 {
		expect(one.node.CheckTarget("", "/health", testTimeout)).To(gomega.Succeed())
	}
	answer, body := sendCall(t, two.callers, "visits.example", http.MethodGet, "/visits/8", nil, web.HeaderDeadline, "1s")
	expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	expect(string(body)).To(gomega.ContainSubstring(`"code":2013`))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"not-run"`))
	expect(answer.Header.Get("Retry-After")).To(gomega.Equal("10"), "the longest that is told")
	metrics := &strings.Builder{}
	one.node.WriteMetrics(metrics)
	expect(metrics.String()).To(gomega.ContainSubstring("magnoliawall_inbound_calls_total 2\n"))
}

// A call that its target declines goes elsewhere at once, also if the body of the answer
// that declines it does not end.
func TestDeclinedCallDoesNotWaitForItsBody(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	ended := make(chan struct{})
	endless := &visits{serve: func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusTeapot)
		_ = http.NewResponseController(writer).Flush()
		<-ended
	}}
	declining := func(underTest *node.Node) { underTest.Dialect = decliningDialect{} }
	one := startRoutedHost(t, "one", "agenda", endless, declining)
	defer close(ended)
	connectHosts(one)
	answer, body := sendCall(t, one.callers, "visits.example", http.MethodPost, "/visits/grants/7", nil)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	expect(string(body)).To(gomega.ContainSubstring(`"outcome":"not-run"`))
}
