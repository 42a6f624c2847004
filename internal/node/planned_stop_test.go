package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: visits.example\r\n\r\n"

func listenLoopback(g gomega.Gomega) *net.TCPListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return listener.(*net.TCPListener)
}

func newTestAcceptor() *connectionAcceptor {
	limits := configuration.Limits{MaxHeader: configuration.KiB}
	answer := func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "whole") }
	return newConnectionAcceptor(http.HandlerFunc(answer), func() configuration.Limits { return limits }, func(string, error) {})
}

// sendRequest opens a connection and sends one request on it.
func sendRequest(g gomega.Gomega, listener net.Listener) net.Conn {
	caller, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(caller, plainRequest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return caller
}

func expectWholeAnswer(g gomega.Gomega, reader *bufio.Reader) *http.Response {
	answer, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("whole"))
	return answer
}

// Connections that wait in the queue of the listener when a stop begins are accepted,
// and their requests answered.
func TestStopServesConnectionsInAcceptQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, acceptor := listenLoopback(g), newTestAcceptor()
	callers := make([]net.Conn, 40)
	for index := range callers {
		callers[index] = sendRequest(g, listener)
	}
	go func() { _ = acceptor.Serve(listener) }()
	acceptor.StopAccepting(listener, time.Time{})
	acceptor.Shutdown(t.Context())
	for _, caller := range callers {
		expectWholeAnswer(g, bufio.NewReader(caller))
		_ = caller.Close()
	}
}

// observedContext tells when somebody waits for it.
type observedContext struct {
	context.Context
	once    *sync.Once
	awaited chan struct{}
}

func (ctx observedContext) Done() <-chan struct{} {
	ctx.once.Do(func() { close(ctx.awaited) })
	return ctx.Context.Done()
}

// onlyServer returns the server of an acceptor that has served a connection.
func onlyServer(acceptor *connectionAcceptor) *limitedServer {
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	for _, server := range acceptor.servers {
		return server
	}
	return nil
}

// While a request that has arrived on a kept connection is not read, for lack of
// processor time, no kept connection is closed.
func TestStopWaitsForUnreadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, acceptor := listenLoopback(g), newTestAcceptor()
	go func() { _ = acceptor.Serve(listener) }()
	kept := sendRequest(g, listener)
	defer func() { _ = kept.Close() }()
	reader := bufio.NewReader(kept)
	expectWholeAnswer(g, reader)
	acceptor.StopAccepting(listener, time.Time{})

	unreadListener := listenLoopback(g)
	caller := sendRequest(g, unreadListener)
	defer func() { _ = caller.Close() }()
	unread, err := unreadListener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = unread.Close() }()
	onlyServer(acceptor).waiting.update(unread, http.StateIdle)

	ctx := observedContext{Context: t.Context(), once: &sync.Once{}, awaited: make(chan struct{})}
	stopped := make(chan struct{})
	go func() {
		acceptor.Shutdown(ctx)
		close(stopped)
	}()
	<-ctx.awaited
	_, err = io.WriteString(kept, plainRequest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	expectWholeAnswer(g, reader)

	_, err = io.ReadFull(unread, make([]byte, len(plainRequest)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(stopped).WithTimeout(time.Minute).Should(gomega.BeClosed())
}

// During a drain each answer asks its caller to close the connection.
func TestAnswersDuringDrainCloseTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{Drain: &drain.Drain{}}
	node.Drain.Begin(time.Unix(1, 0))
	listener := listenLoopback(g)
	acceptor := newTestAcceptor()
	acceptor.handler = node.closeWhileDraining(acceptor.handler)
	go func() { _ = acceptor.Serve(listener) }()
	caller := sendRequest(g, listener)
	answer := expectWholeAnswer(g, bufio.NewReader(caller))
	g.Expect(answer.Close).To(gomega.BeTrue())
	g.Expect(caller.Close()).To(gomega.Succeed())
	acceptor.StopAccepting(listener, time.Time{})
	acceptor.Shutdown(t.Context())
}

// An action whose target never answers must not hold up a planned stop beyond the grace
// time, as the platform would then end the process with all other calls.
func TestStopDoesNotWaitForActionBeyondGraceTime(_ *testing.T) {
	node := &Node{claimDriver: &claimDriver{}}
	node.claimedRuns.Add(1)
	node.claimDriver.pendingAttempts.Add(1)
	deadline := time.Now()
	node.plannedStop.Store(&plannedStop{end: deadline})
	node.awaitRecords(nil)
}

// endlessListener always has another connection.
type endlessListener struct {
	closed atomic.Bool
}

func (listener *endlessListener) Accept() (net.Conn, error) {
	if listener.closed.Load() {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

func (listener *endlessListener) Close() error {
	listener.closed.Store(true)
	return nil
}

func (listener *endlessListener) SetDeadline(time.Time) error { return nil }
func (listener *endlessListener) Addr() net.Addr              { return &net.TCPAddr{} }

// The pattern is a planned stop of a node to which callers connect all the time: it accepts
// no more once its grace time is nearly used up, and the process ends by itself.
func TestStopAcceptsNothingAfterGraceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{}
	g.Expect(node.latestAccept()).To(gomega.BeZero())
	deadline := time.Now().Add(-acceptMargin)
	node.plannedStop.Store(&plannedStop{end: deadline})

	acceptor, listener := newTestAcceptor(), &endlessListener{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = acceptor.Serve(listener)
	}()
	acceptor.StopAccepting(listener, node.latestAccept())
	g.Eventually(ended).WithTimeout(time.Minute).Should(gomega.BeClosed())
	g.Expect(*acceptor.acceptUntil.Load()).To(gomega.Equal(node.latestAccept()))
	acceptor.Shutdown(t.Context())
}
