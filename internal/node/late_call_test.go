package node_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// departedCallers is how many callers leave in a test of calls that are read late.
const departedCallers = 100

// heldListener accepts connections only once it is released, as a process does that got
// no processor time for a while.
type heldListener struct {
	net.Listener
	released chan struct{}
	accepted sync.WaitGroup
}

func (held *heldListener) Accept() (net.Conn, error) {
	<-held.released
	connection, err := held.Listener.Accept()
	if err == nil {
		held.accepted.Done()
	}
	return connection, err
}

// Guards against calls that run for callers that had left before the node read the call
// (GONE). The processor lag says nothing of them: the node itself is not busy.
func TestCallReadAfterItsCallerLeftIsNotSent(t *testing.T) {
	texts := map[string]string{
		"lookup":       "GET /visits/7 HTTP/1.1\r\nHost: visits.example\r\n\r\n",
		"upload":       "POST /photos/7 HTTP/1.1\r\nHost: visits.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("photo", 10_000),
		"whole upload": "POST /photos/7 HTTP/1.1\r\nHost: visits.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("photo", 20_000),
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) { testCallReadAfterItsCallerLeft(t, text) })
	}
}

func testCallReadAfterItsCallerLeft(t *testing.T, text string) {
	g := gomega.NewWithT(t)
	held, target := &heldListener{Listener: listen(t), released: make(chan struct{})}, &visits{}
	entry := runHost(t, newRoutedNode(t, "one", "subsidios", http.NotFoundHandler()), node.Listeners{Callers: held, Target: listen(t), Peers: listen(t)})
	connectHosts(entry, startRoutedHost(t, "two", "agenda", target))
	held.accepted.Add(departedCallers)
	for range departedCallers {
		caller, err := net.Dial("tcp", held.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = caller.Write([]byte(text))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(caller.Close()).To(gomega.Succeed())
	}
	close(held.released)
	held.accepted.Wait()
	// A node that has drained has answered all calls that it read.
	entry.stop()
	g.Expect(<-entry.done).To(gomega.Succeed())
	entry.done <- nil
	g.Expect(target.arrived.Load()).To(gomega.BeZero())
}

// heldConn is a connection from which nothing is read while it is held. What arrives
// meanwhile stays in its socket.
type heldConn struct {
	*net.TCPConn
	hold *sync.RWMutex
}

// heldPollInterval is how long one read of a connection takes, so that it can be held.
const heldPollInterval = time.Millisecond

func (held *heldConn) Read(data []byte) (int, error) {
	for {
		count, err := held.readOnce(data)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
	}
}

func (held *heldConn) readOnce(data []byte) (int, error) {
	held.hold.RLock()
	defer held.hold.RUnlock()
	if err := held.SetReadDeadline(time.Now().Add(heldPollInterval)); err != nil {
		return 0, err
	}
	return held.TCPConn.Read(data)
}

// heldConnListener accepts connections that are held while hold is locked.
type heldConnListener struct {
	net.Listener
	hold sync.RWMutex
}

func (listener *heldConnListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: connection.(*net.TCPConn), hold: &listener.hold}, nil
}

// countingConn sends a value for each write.
type countingConn struct {
	net.Conn
	written chan struct{}
}

func (counting *countingConn) Write(data []byte) (int, error) {
	defer func() { counting.written <- struct{}{} }()
	return counting.Conn.Write(data)
}

// callerNode calls the target of a host as the node of another host does.
type callerNode struct {
	transport *peer.Transport
	address   peer.Address
	written   chan struct{}
}

func newCallerNode(t *testing.T, callee *host) *callerNode {
	t.Helper()
	caller := &callerNode{address: peer.Address(callee.target.Address), written: make(chan struct{}, 1<<10)}
	caller.transport = &peer.Transport{
		Self: peer.Hello{Node: "caller", Place: testPlace, Service: "subsidios"},
		Dial: func(_ context.Context, address peer.Address) (net.Conn, error) {
			connection, err := net.Dial("tcp", string(address))
			return &countingConn{Conn: connection, written: caller.written}, err
		},
	}
	t.Cleanup(func() { _ = caller.transport.Close() })
	return caller
}

// call sends a call and returns once it has ended.
func (caller *callerNode) call(ctx context.Context, id request.CallID) error {
	header := &peerpb.CallHeader{
		Service: "agenda", Kind: "route/visits", Routed: true, Method: http.MethodGet, Path: "/visits/7", Host: "visits.example",
		RemainingUs: testTimeout.Microseconds(), Root: bytes.Repeat([]byte{byte(id)}, len(request.RootID{})),
	}
	exchange, _, err := caller.transport.Call(ctx, caller.address, peer.Outbound{Call: id, Header: header, Body: http.NoBody})
	if err != nil {
		return err
	}
	defer exchange.Finish()
	_, err = peer.ReadBody(exchange.Body(), 0, peer.MaxBodyPartBytes)
	return err
}

// drainWrites forgets the writes so far.
func (caller *callerNode) drainWrites() {
	for len(caller.written) > 0 {
		<-caller.written
	}
}

// waitingCall is a host whose only connection to its target is in use, with one more call
// that waits for it.
type waitingCall struct {
	callee *host
	// peers holds what callers' nodes send.
	peers  *heldConnListener
	caller *callerNode
	target *visits
	began  chan struct{}
	finish chan struct{}
	// drain counts the calls in flight.
	drain *drain.Drain
}

func startWaitingCall(t *testing.T) *waitingCall {
	t.Helper()
	waiting := &waitingCall{
		peers:  &heldConnListener{Listener: listen(t)},
		began:  make(chan struct{}),
		finish: make(chan struct{}),
		drain:  &drain.Drain{},
	}
	waiting.target = &visits{serve: func(http.ResponseWriter, *http.Request) {
		waiting.began <- struct{}{}
		<-waiting.finish
	}}
	text := bytes.Replace(readRoutes(t), []byte(`"connections": 100`), []byte(`"connections": 1`), 1)
	underTest := newNode(t, "two", "agenda", waiting.target, nil, text, func(underTest *node.Node) {
		underTest.Drain = waiting.drain
		// The configuration says so too, but it is applied only once the node runs.
		underTest.Target.Connections = 1
		underTest.TargetAnnouncesItself = true
	})
	// With more slots than connections, calls pass the gate and wait for a connection.
	underTest.SetLocalTarget(node.LocalTarget{Service: "agenda", Instance: "i-1", Slots: 50, Serving: true})
	waiting.callee = runHost(t, underTest, node.Listeners{Callers: listen(t), Target: listen(t), Peers: waiting.peers})
	waiting.caller = newCallerNode(t, waiting.callee)
	return waiting
}

// send sends a call that runs at the target, and one that waits for its connection until
// the first is finished. The results come once the calls have ended.
func (waiting *waitingCall) send(ctx context.Context, g *gomega.WithT, id request.CallID) (first, second chan error) {
	first, second = make(chan error, 1), make(chan error, 1)
	go func() { first <- waiting.caller.call(context.WithoutCancel(ctx), id) }()
	g.Eventually(waiting.began).WithTimeout(testTimeout).Should(gomega.Receive())
	go func() { second <- waiting.caller.call(ctx, id+1) }()
	waiting.awaitInFlight(g, 2)
	return first, second
}

func (waiting *waitingCall) awaitInFlight(g *gomega.WithT, count int) {
	g.Eventually(func() int {
		_, inFlight := waiting.drain.State()
		return inFlight
	}).WithTimeout(testTimeout).Should(gomega.Equal(count))
}

// ranBeforeItEnded reports whether the waiting call ran at the target, and lets it finish.
func (waiting *waitingCall) ranBeforeItEnded(second <-chan error) bool {
	select {
	case <-waiting.began:
		waiting.finish <- struct{}{}
		return true
	case <-second:
		return false
	}
}

// Guards against calls that the node of the target hands over though their end had
// arrived behind them and was not read yet (GONE).
func TestCallIsNotHandedOverWhenItsEndHasArrived(t *testing.T) {
	g := gomega.NewWithT(t)
	waiting := startWaitingCall(t)
	for round := range request.CallID(40) {
		ctx, leave := context.WithCancel(t.Context())
		first, second := waiting.send(ctx, g, 2*round+1)
		waiting.peers.hold.Lock()
		waiting.caller.drainWrites()
		leave()
		g.Eventually(waiting.caller.written).WithTimeout(testTimeout).Should(gomega.Receive())
		waiting.finish <- struct{}{}
		g.Eventually(first).WithTimeout(testTimeout).Should(gomega.Receive(gomega.BeNil()))
		waiting.peers.hold.Unlock()
		g.Expect(waiting.ranBeforeItEnded(second)).To(gomega.BeFalse(), "round %d", round)
		waiting.awaitInFlight(g, 0)
	}
}

// Guards against calls that reach a target after its node has acknowledged that it leaves:
// they had passed the gate before, and waited for a connection (DRAIN).
func TestCallIsNotHandedOverOnceTargetTakesNoMore(t *testing.T) {
	g := gomega.NewWithT(t)
	waiting := startWaitingCall(t)
	first, second := waiting.send(t.Context(), g, 1)
	waiting.callee.node.SetLocalTarget(node.LocalTarget{Service: "agenda", Instance: "i-1"})
	waiting.finish <- struct{}{}
	g.Eventually(first).WithTimeout(testTimeout).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(waiting.ranBeforeItEnded(second)).To(gomega.BeFalse())
}

func newRoutedNode(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, prepare ...func(*node.Node)) *node.Node {
	t.Helper()
	return newNode(t, id, service, target, nil, readRoutes(t), prepare...)
}

func readRoutes(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/routes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return text
}
