package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// connectionAcceptor accepts the connections of a listener and serves each within the
// limits that were in force when it was opened. An open connection keeps its limits,
// because closing it after a change could cut off a call in flight.
type connectionAcceptor struct {
	handler http.Handler
	// limits returns the limits in force.
	limits func() configuration.Limits
	// logProblem reports a problem that no caller can be told.
	logProblem func(problem string, err error)
	// base is the parent of the contexts of all calls; nil means that they have none.
	base context.Context

	// served is closed when Serve has returned.
	served chan struct{}

	mutex   sync.Mutex
	servers map[configuration.Limits]*limitedServer
	closed  bool
	// acceptUntil is when a stopping acceptor closes its listener at the latest; nil while it
	// is not stopping. Like the node's plannedStop it keeps its monotonic reading, so that
	// a step of the clock neither cuts a stop short nor prolongs it.
	acceptUntil atomic.Pointer[time.Time]
}

func newConnectionAcceptor(handler http.Handler, limits func() configuration.Limits, logProblem func(string, error)) *connectionAcceptor {
	return &connectionAcceptor{handler: handler, limits: limits, logProblem: logProblem, served: make(chan struct{})}
}

// limitedServer serves the connections that share one set of limits.
type limitedServer struct {
	http     http.Server
	listener handoffListener
	waiting  waitingConnections
}

// acceptRetryDelay is the time before the next try after a temporary failure to
// accept, such as a lack of file descriptors; calls that end release some.
const acceptRetryDelay = 50 * time.Millisecond

// A stopping acceptor closes its listener once no connection has come for
// acceptQuietTime, or after acceptMaxTime.
const (
	acceptQuietTime = 20 * time.Millisecond
	acceptMaxTime   = time.Second
)

// Serve accepts connections until the listener is closed or StopAccepting is called.
func (acceptor *connectionAcceptor) Serve(listener net.Listener) error {
	defer close(acceptor.served)
	for failing := false; ; {
		if acceptor.stopping() {
			acceptor.extendAccept(listener)
		}
		connection, err := listener.Accept()
		if isTemporary(err) {
			// Logged once for each shortage, not for each try.
			if !failing {
				acceptor.logProblem("cannot accept connections, retrying", err)
			}
			failing = true
			time.Sleep(acceptRetryDelay)
			continue
		}
		failing = false
		if errors.Is(err, os.ErrDeadlineExceeded) && acceptor.mustAcceptMore(listener) {
			continue
		}
		if err != nil {
			_ = listener.Close()
			return err
		}
		server := acceptor.serverFor(listener.Addr())
		if server == nil {
			_ = connection.Close()
			return net.ErrClosed
		}
		server.listener.handOff(connection)
	}
}

// StopAccepting closes the listener after the connections that wait in its queue were
// accepted. The kernel would reset them, with the requests that their callers have
// sent. It accepts none after latest, unless that is zero, and returns when Serve has
// ended.
func (acceptor *connectionAcceptor) StopAccepting(listener net.Listener, latest time.Time) {
	until := time.Now().Add(acceptMaxTime)
	if !latest.IsZero() && latest.Before(until) {
		until = latest
	}
	acceptor.acceptUntil.Store(&until)
	acceptor.extendAccept(listener)
	<-acceptor.served
}

func (acceptor *connectionAcceptor) stopping() bool { return acceptor.acceptUntil.Load() != nil }

// acceptTimeOver reports whether a stopping acceptor closes its listener now.
func (acceptor *connectionAcceptor) acceptTimeOver() bool {
	until := acceptor.acceptUntil.Load()
	return until == nil || !time.Now().Before(*until)
}

// mustAcceptMore reports whether connections still wait after the deadline of an Accept:
// the goroutine may have got no processor time before it.
func (acceptor *connectionAcceptor) mustAcceptMore(listener net.Listener) bool {
	if acceptor.acceptTimeOver() {
		return false
	}
	queued, err := socket.HasQueued(listener)
	if err != nil {
		acceptor.logProblem("cannot tell whether connections wait to be accepted; closing the listener", err)
	}
	return queued && err == nil
}

// extendAccept lets the next Accept of a stopping acceptor fail after acceptQuietTime,
// and closes the listener after acceptMaxTime.
func (acceptor *connectionAcceptor) extendAccept(listener net.Listener) {
	bounded, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || acceptor.acceptTimeOver() || bounded.SetDeadline(time.Now().Add(acceptQuietTime)) != nil {
		_ = listener.Close()
	}
}

// isTemporary reports whether accepting failed for a reason that passes by itself.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// serverFor returns the server for the limits in force, or nil after Shutdown.
func (acceptor *connectionAcceptor) serverFor(address net.Addr) *limitedServer {
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if acceptor.closed {
		return nil
	}
	limits := acceptor.limits()
	// The body size is checked later, once the kind of a call is known.
	limits.MaxBody = 0
	if server, ok := acceptor.servers[limits]; ok {
		return server
	}
	server := &limitedServer{
		http: http.Server{
			Handler:           acceptor.handler,
			ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
			IdleTimeout:       time.Duration(limits.IdleTimeout),
			MaxHeaderBytes:    int(limits.MaxHeader),
			ConnContext:       withConnection,
			BaseContext:       acceptor.baseContext,
		},
		listener: handoffListener{address: address, connections: make(chan net.Conn), done: make(chan struct{})},
	}
	server.http.ConnState = server.waiting.update
	if acceptor.servers == nil {
		acceptor.servers = make(map[configuration.Limits]*limitedServer)
	}
	acceptor.servers[limits] = server
	// Serve returns only after a shutdown, so its error means nothing.
	go func() { _ = server.http.Serve(&server.listener) }()
	return server
}

func (acceptor *connectionAcceptor) baseContext(net.Listener) context.Context {
	if acceptor.base == nil {
		return context.Background()
	}
	return acceptor.base
}

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// callerConnection is the connection of a caller.
type callerConnection struct {
	net.Conn
	acceptedAt time.Time
}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, callerConnection{Conn: connection, acceptedAt: time.Now()})
}

// connectionAge returns how long ago the connection of a call was accepted.
func connectionAge(ctx context.Context, now time.Time) time.Duration {
	connection, ok := ctx.Value(connectionKey{}).(callerConnection)
	if !ok {
		return 0
	}
	return now.Sub(connection.acceptedAt)
}

// hasLeft reports whether the caller has closed the connection of its call, even if
// the end of the stream was not read yet.
func hasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	connection, ok := ctx.Value(connectionKey{}).(callerConnection)
	return ok && socket.ClosedByPeer(connection.Conn)
}

// Shutdown waits for the calls in flight, and closes what is still open when the
// context ends. It is called after StopAccepting.
func (acceptor *connectionAcceptor) Shutdown(ctx context.Context) {
	acceptor.mutex.Lock()
	acceptor.closed = true
	acceptor.mutex.Unlock()
	shutdowns := sync.WaitGroup{}
	for _, server := range acceptor.servers {
		shutdowns.Go(func() {
			server.waiting.awaitRead(ctx)
			if server.http.Shutdown(ctx) != nil {
				_ = server.http.Close()
			}
		})
	}
	shutdowns.Wait()
}

// handoffListener is a listener for connections that another listener has accepted.
type handoffListener struct {
	address     net.Addr
	connections chan net.Conn
	done        chan struct{}
	closing     sync.Once
}

// handOff passes a connection to Accept, or closes it after Close.
func (listener *handoffListener) handOff(connection net.Conn) {
	select {
	case listener.connections <- connection:
	case <-listener.done:
		_ = connection.Close()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (listener *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.connections:
		return connection, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (listener *handoffListener) Close() error {
	listener.closing.Do(func() { close(listener.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (listener *handoffListener) Addr() net.Addr { return listener.address }
