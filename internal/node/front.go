package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// front serves the connections of a listener within the limits in force when
// they were opened. An open connection keeps its limits: to close it because of
// a change could cut a call that is on its way.
type front struct {
	handler http.Handler
	// limits gives the limits in force.
	limits func() configuration.Limits
	// log notes a problem.
	log func(problem string, err error)

	mutex   sync.Mutex
	servers map[configuration.Limits]*limitedServer
	closed  bool
}

// limitedServer serves the connections that one set of limits holds for.
type limitedServer struct {
	http     http.Server
	accepted handover
}

// acceptPause is the time before another try where no connection could be
// accepted, as for want of descriptors, which calls that end give back.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (fr *front) Serve(listener net.Listener) error {
	for short := false; ; {
		connection, err := listener.Accept()
		if isShort(err) {
			// Once for each time of want: the tries are many.
			if !short {
				fr.log("no connection can be accepted, trying again", err)
			}
			short = true
			time.Sleep(acceptPause)
			continue
		}
		short = false
		if err != nil {
			return err
		}
		server := fr.serverFor(listener.Addr())
		if server == nil {
			_ = connection.Close()
			return net.ErrClosed
		}
		server.accepted.give(connection)
	}
}

// isShort tells whether a connection was not accepted for a cause that passes.
func isShort(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// serverFor gives the server for the limits in force, or nil after a shutdown.
func (fr *front) serverFor(address net.Addr) *limitedServer {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	if fr.closed {
		return nil
	}
	limits := fr.limits()
	// The size of a body is checked where the route of a call is known.
	limits.MaxBody = 0
	if server, ok := fr.servers[limits]; ok {
		return server
	}
	server := &limitedServer{
		http: http.Server{
			Handler:           fr.handler,
			ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
			IdleTimeout:       time.Duration(limits.IdleTimeout),
			MaxHeaderBytes:    int(limits.MaxHeader),
			ConnContext:       withConnection,
		},
		accepted: handover{address: address, connections: make(chan net.Conn), done: make(chan struct{})},
	}
	if fr.servers == nil {
		fr.servers = make(map[configuration.Limits]*limitedServer)
	}
	fr.servers[limits] = server
	// It ends by its shutdown alone, which is no failure.
	go func() { _ = server.http.Serve(&server.accepted) }()
	return server
}

// connectionKey finds the connection of a call in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// hasLeft tells whether the caller has closed the connection of its call, also where
// the end of it has not been read yet.
func hasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	connection, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && web.Closed(connection)
}

// Shutdown lets the calls in flight end, and closes what is still open when the
// context ends.
func (fr *front) Shutdown(ctx context.Context) {
	fr.mutex.Lock()
	fr.closed = true
	fr.mutex.Unlock()
	ending := sync.WaitGroup{}
	for _, server := range fr.servers {
		ending.Go(func() {
			if server.http.Shutdown(ctx) != nil {
				_ = server.http.Close()
			}
		})
	}
	ending.Wait()
}

// handover is a listener whose connections another one has accepted.
type handover struct {
	address     net.Addr
	connections chan net.Conn
	done        chan struct{}
	once        sync.Once
}

// give hands a connection over, or closes it when nobody takes it any more.
func (ho *handover) give(connection net.Conn) {
	select {
	case ho.connections <- connection:
	case <-ho.done:
		_ = connection.Close()
	}
}

// Accept gives the next connection.
func (ho *handover) Accept() (net.Conn, error) {
	select {
	case connection := <-ho.connections:
		return connection, nil
	case <-ho.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (ho *handover) Close() error {
	ho.once.Do(func() { close(ho.done) })
	return nil
}

// Addr gives the address of the listener that accepts.
func (ho *handover) Addr() net.Addr { return ho.address }
