package web_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// crowd is a target that holds each call and knows the most it held at once.
type crowd struct {
	entered chan struct{}
	release chan struct{}
	inside  atomic.Int64
	most    atomic.Int64
}

func (crowd *crowd) ServeHTTP(http.ResponseWriter, *http.Request) {
	inside := crowd.inside.Add(1)
	defer crowd.inside.Add(-1)
	crowd.most.Store(max(crowd.most.Load(), inside))
	crowd.entered <- struct{}{}
	<-crowd.release
}

// counting is a target that counts the connections that were made to it.
func counting(t *testing.T, target http.Handler) (server *httptest.Server, opened *atomic.Int64) {
	server, opened = httptest.NewUnstartedServer(target), &atomic.Int64{}
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server, opened
}

// A bound of one keeps a second call waiting for the connection of the first; a
// wider bound lets both in.
func TestConnectionsFollowTheirBound(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &crowd{entered: make(chan struct{}, 4), release: make(chan struct{})}
	server, opened := counting(t, target)
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	results, asking := make(chan error, 4), make(chan struct{}, 4)
	send := func() {
		trace := &httptrace.ClientTrace{GetConn: func(string) { asking <- struct{}{} }}
		ctx := httptrace.WithClientTrace(context.Background(), trace)
		answer, err := client.Send(ctx, web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}})
		if err == nil {
			err = answer.Body.Close()
		}
		results <- err
	}
	pair := func() {
		go send()
		<-target.entered
		go send()
		<-asking
		<-asking
	}
	pair()
	target.release <- struct{}{}
	<-target.entered
	target.release <- struct{}{}
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(opened.Load()).To(gomega.BeEquivalentTo(1))
	client.SetConnections(2)
	pair()
	<-target.entered
	close(target.release)
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(target.most.Load()).To(gomega.BeEquivalentTo(2))
}

// lateContext is past its deadline and has not ended yet, as on a host without free
// processor time.
type lateContext struct{ context.Context }

// Deadline is over.
func (lateContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// A call that nobody waits for any more does not reach the target, and its connection
// is kept for the next one.
func TestACallPastItsDeadlineIsNotSent(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	arrived := make(chan struct{}, 3)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- struct{}{} }))
	defer server.Close()
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	defer client.Close()
	call := web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}}
	send := func(ctx context.Context) error {
		answer, err := client.Send(ctx, call)
		if err == nil {
			err = answer.Body.Close()
		}
		return err
	}
	expect(send(context.Background())).To(gomega.Succeed())
	expect(send(lateContext{context.Background()})).To(gomega.MatchError(context.DeadlineExceeded))
	expect(send(context.Background())).To(gomega.Succeed())
	expect(arrived).To(gomega.HaveLen(2))
}

// A connection that was made for a call whose caller left meanwhile serves the next.
func TestAConnectionOutlivesACallerThatLeft(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	server, opened := counting(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	defer client.Close()
	ctx, leave := context.WithCancel(context.Background())
	trace := &httptrace.ClientTrace{ConnectDone: func(string, string, error) { leave() }}
	call := web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}}
	_, err := client.Send(httptrace.WithClientTrace(ctx, trace), call)
	expect(err).To(gomega.MatchError(context.Canceled))
	answer, err := client.Send(context.Background(), call)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(answer.Body.Close()).To(gomega.Succeed())
	expect(opened.Load()).To(gomega.BeEquivalentTo(1))
}
