package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// pausableConn is a connection whose peer seems paused while paused is locked: the
// bytes that it sends arrive later.
type pausableConn struct {
	net.Conn
	paused sync.RWMutex
	closed atomic.Bool
}

func (conn *pausableConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.paused.RLock()
	defer conn.paused.RUnlock()
	return count, err
}

func (conn *pausableConn) Close() error {
	conn.closed.Store(true)
	return conn.Conn.Close()
}

// silenceFixture is a client whose connections can be paused, and a server that
// answers the call 1 only once finish is closed.
type silenceFixture struct {
	client  *Transport
	address Address
	conns   chan *pausableConn
	started chan struct{}
	finish  chan struct{}
	runs    atomic.Int64
}

func startSilenceFixture(t *testing.T) *silenceFixture {
	t.Helper()
	fixture := &silenceFixture{
		conns:   make(chan *pausableConn, 4),
		started: make(chan struct{}),
		finish:  make(chan struct{}),
	}
	fixture.client = &Transport{Self: Hello{Node: "one"}, PingInterval: 30 * time.Millisecond, Dial: fixture.dial}
	fixture.address = startCallServer(t, fixture.client, fixture.serve)
	return fixture
}

// startCallServer serves calls until the test ends, and then closes the client as well.
func startCallServer(t *testing.T, client *Transport, serve CallHandler) Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Transport{Self: Hello{Node: "two"}, Handlers: map[StreamKind]Handler{KindCall: ServeCalls(serve)}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		_ = client.Close()
		_ = server.Close()
		<-ended
	})
	return Address(listener.Addr().String())
}

func (fixture *silenceFixture) dial(ctx context.Context, address Address) (net.Conn, error) {
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	pausable := &pausableConn{Conn: conn}
	fixture.conns <- pausable
	return pausable, nil
}

func (fixture *silenceFixture) serve(_ context.Context, call *Inbound) {
	fixture.runs.Add(1)
	if call.Call == 1 {
		close(fixture.started)
		<-fixture.finish
	}
	_ = call.Answer(&peerpb.AnswerHeader{Status: http.StatusOK}, http.NoBody, func() *peerpb.Report { return &peerpb.Report{} })
}

func (fixture *silenceFixture) call(number request.CallID) (status uint32, err error) {
	exchange, answer, err := fixture.client.Call(context.Background(), fixture.address, Outbound{Call: number, Header: &peerpb.CallHeader{}, Body: http.NoBody})
	if err != nil {
		return 0, err
	}
	defer exchange.Finish()
	_, err = io.Copy(io.Discard, exchange.Body())
	return answer.GetStatus(), err
}

// A peer that is paused for longer than it may take to answer a ping keeps the call
// that it works on: the call is neither given up nor sent again, and its answer is
// delivered when the peer goes on. New calls use a new connection meanwhile.
func TestPausedPeerKeepsItsRunningCall(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	type result struct {
		status uint32
		err    error
	}
	first := make(chan result, 1)
	go func() {
		status, err := fixture.call(1)
		first <- result{status, err}
	}()
	<-fixture.started
	paused := <-fixture.conns
	paused.paused.Lock()
	g.Eventually(func() bool { return fixture.client.Connected(fixture.address) }).WithTimeout(time.Minute).Should(gomega.BeFalse())

	status, err := fixture.call(2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.BeEquivalentTo(http.StatusOK))
	g.Expect(fixture.conns).To(gomega.HaveLen(1), "connections opened after the pause")

	close(fixture.finish)
	paused.paused.Unlock()
	g.Expect(<-first).To(gomega.Equal(result{status: http.StatusOK}))
	g.Expect(fixture.runs.Load()).To(gomega.BeEquivalentTo(2))
	g.Eventually(paused.closed.Load).WithTimeout(time.Minute).Should(gomega.BeTrue(), "the old connection closes after its last call")
}

// Closing a transport also closes a connection to a silent peer that still carries a call.
func TestCloseEndsCallsAtSilentPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	ended := make(chan error, 1)
	go func() {
		_, err := fixture.call(1)
		ended <- err
	}()
	<-fixture.started
	paused := <-fixture.conns
	paused.paused.Lock()
	g.Eventually(func() bool { return fixture.client.Connected(fixture.address) }).WithTimeout(time.Minute).Should(gomega.BeFalse())
	paused.paused.Unlock()
	g.Expect(fixture.client.Close()).To(gomega.Succeed())
	g.Eventually(ended).WithTimeout(time.Minute).Should(gomega.Receive(gomega.HaveOccurred()))
	close(fixture.finish)
}

// A stream of an earlier connection is not kept for calls on the next one.
func TestStreamOfEarlierConnectionIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	stream, err := fixture.client.Open(context.Background(), fixture.address, KindCall)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect((<-fixture.conns).Close()).To(gomega.Succeed())
	g.Eventually(func() bool { return fixture.client.Connected(fixture.address) }).WithTimeout(time.Minute).Should(gomega.BeFalse())
	g.Expect(fixture.client.Connect(context.Background(), fixture.address)).To(gomega.Succeed())
	fixture.client.Release(fixture.address, stream)
	next, err := fixture.client.Open(context.Background(), fixture.address, KindCall)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(next).NotTo(gomega.BeIdenticalTo(stream))
}

// lateTimerContext is a context past its deadline whose timer has not fired yet.
type lateTimerContext struct{ context.Context }

// Deadline returns a time in the past.
func (lateTimerContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// The time left that a call states is that of its context when it is sent, and a call
// with none left is not sent: it may have waited for a connection, or its process may
// have been paused, since the header was made.
func TestTimeLeftOfCallIsThatOfItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	_, _, err := fixture.client.Call(lateTimerContext{context.Background()}, fixture.address, Outbound{Call: 2, Header: &peerpb.CallHeader{RemainingUs: 5_000_000}, Body: http.NoBody})
	g.Expect(err).To(gomega.MatchError(ErrNoTimeLeft))
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeFalse())
	g.Expect(fixture.runs.Load()).To(gomega.BeZero())

	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	header := &peerpb.CallHeader{RemainingUs: (2 * time.Hour).Microseconds()}
	_, _, err = fixture.client.Call(ctx, fixture.address, Outbound{Call: 3, Header: header, Body: http.NoBody})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(header.RemainingUs).To(gomega.BeNumerically("<=", time.Hour.Microseconds()))
}

// Guards against calls that end for their callers only when a silent peer answers, or
// seconds after they were cancelled: yamux lets the reads of a stream that is closed on
// this side wait for the other one.
func TestCancelledCallEndsThoughPeerIsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	fixture.client.PingInterval = time.Hour
	defer close(fixture.finish)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, _, err := fixture.client.Call(ctx, fixture.address, Outbound{Call: 1, Header: &peerpb.CallHeader{}, Body: http.NoBody})
		ended <- err
	}()
	<-fixture.started
	cancel()
	g.Eventually(ended).WithTimeout(time.Minute).Should(gomega.Receive(gomega.HaveOccurred()))
}

// Guards against requests to a replica that outlast their time limit: closing a stream must
// end a read that waits for a silent peer.
func TestClosedStreamEndsItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	fixture.client.PingInterval = time.Hour
	stream, err := fixture.client.Open(context.Background(), fixture.address, KindCall)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	paused := <-fixture.conns
	paused.paused.Lock()
	defer paused.paused.Unlock()
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Receive()
		ended <- err
	}()
	g.Expect(stream.Close()).To(gomega.Succeed())
	g.Eventually(ended).WithTimeout(time.Minute).Should(gomega.Receive(gomega.HaveOccurred()))
}
