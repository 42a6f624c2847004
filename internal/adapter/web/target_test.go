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

// blockingTarget is a target that blocks each call until it is released, and
// records the maximum number of concurrent calls.
type blockingTarget struct {
	entered   chan struct{}
	release   chan struct{}
	active    atomic.Int64
	maxActive atomic.Int64
}

func (target *blockingTarget) ServeHTTP(http.ResponseWriter, *http.Request) {
	active := target.active.Add(1)
	defer target.active.Add(-1)
	target.maxActive.Store(max(target.maxActive.Load(), active))
	target.entered <- struct{}{}
	<-target.release
}

// startCountingServer starts a server that counts the connections made to it.
func startCountingServer(t *testing.T, target http.Handler) (server *httptest.Server, connections *atomic.Int64) {
	server, connections = httptest.NewUnstartedServer(target), &atomic.Int64{}
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server, connections
}

// With a limit of one connection, a second call waits for the connection of the
// first; with a limit of two, both run at once.
func TestSetConnectionsLimitsOpenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &blockingTarget{entered: make(chan struct{}, 4), release: make(chan struct{})}
	server, connections := startCountingServer(t, target)
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	results, acquiring := make(chan error, 4), make(chan struct{}, 4)
	send := func() {
		trace := &httptrace.ClientTrace{GetConn: func(string) { acquiring <- struct{}{} }}
		ctx := httptrace.WithClientTrace(context.Background(), trace)
		response, err := client.Send(ctx, web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}})
		if err == nil {
			err = response.Body.Close()
		}
		results <- err
	}
	sendTwo := func() {
		go send()
		<-target.entered
		go send()
		<-acquiring
		<-acquiring
	}
	sendTwo()
	target.release <- struct{}{}
	<-target.entered
	target.release <- struct{}{}
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(1))
	client.SetConnections(2)
	sendTwo()
	<-target.entered
	close(target.release)
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(<-results).NotTo(gomega.HaveOccurred())
	g.Expect(target.maxActive.Load()).To(gomega.BeEquivalentTo(2))
}

// expiredContext is past its deadline but has not ended yet, as happens on a host
// without spare CPU time.
type expiredContext struct{ context.Context }

// Deadline returns a time in the past.
func (expiredContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// A call past its deadline does not reach the target, and its connection is kept
// for the next call.
func TestCallPastDeadlineIsNotSent(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	received := make(chan struct{}, 3)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received <- struct{}{} }))
	defer server.Close()
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	defer client.Close()
	call := web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}}
	send := func(ctx context.Context) error {
		response, err := client.Send(ctx, call)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	expect(send(context.Background())).To(gomega.Succeed())
	expect(send(expiredContext{context.Background()})).To(gomega.MatchError(context.DeadlineExceeded))
	expect(send(context.Background())).To(gomega.Succeed())
	expect(received).To(gomega.HaveLen(2))
}

// A connection opened for a call that was cancelled meanwhile serves the next call.
func TestConnectionIsReusedAfterCallerCancels(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	server, connections := startCountingServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}
	client.Start()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	trace := &httptrace.ClientTrace{ConnectDone: func(string, string, error) { cancel() }}
	call := web.TargetCall{Method: http.MethodGet, Path: "/", Headers: http.Header{}}
	_, err := client.Send(httptrace.WithClientTrace(ctx, trace), call)
	expect(err).To(gomega.MatchError(context.Canceled))
	response, err := client.Send(context.Background(), call)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(response.Body.Close()).To(gomega.Succeed())
	expect(connections.Load()).To(gomega.BeEquivalentTo(1))
}
