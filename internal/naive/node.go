package naive

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	maxRetries          = 3
	maxIdleConnsPerHost = 256
	shutdownTimeout     = 5 * time.Second
	attemptsPerCall     = 1 + maxRetries
)

// Peers holds the inbound addresses of the nodes of each service.
type Peers map[request.ServiceName][]string

// Node is the baseline of a node: two plain HTTP hops. It forwards a call to the
// node of a random target, retries three times on any error, has no limit but the
// number of connections and applies the configuration that was written last.
//
// Its exported fields are set before Run.
type Node struct {
	// Target is the address of the local target.
	Target string
	// Outbound accepts calls of callers and of the local target.
	Outbound net.Listener
	// Inbound accepts calls of other nodes for the local target.
	Inbound net.Listener
	Peers   Peers
	// Connections is the number of concurrent calls to the local target.
	Connections int
	// Dial opens connections to other nodes; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Seed uint64

	peerTransport   *http.Transport
	targetTransport *http.Transport
	inFlight        chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	version uint64
}

// Run serves both listeners until the context ends.
func (node *Node) Run(ctx context.Context) error {
	node.random = rand.New(rand.NewPCG(node.Seed, node.Seed))
	node.inFlight = make(chan struct{}, max(node.Connections, 1))
	node.peerTransport = &http.Transport{DialContext: node.Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	node.targetTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	var group run.Group
	serve(&group, node.Outbound, node.handleOutbound)
	serve(&group, node.Inbound, node.handleInbound)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	err := group.Run()
	node.peerTransport.CloseIdleConnections()
	node.targetTransport.CloseIdleConnections()
	return err
}

func serve(group *run.Group, listener net.Listener, handler http.HandlerFunc) {
	server := &http.Server{Handler: handler}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
}

// Configure applies a configuration version, even one older than the current.
func (node *Node) Configure(version uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.version = version
}

// Version returns the configuration version that was written last.
func (node *Node) Version() uint64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.version
}

// handleOutbound forwards a call to random nodes of its service until one answers
// without a server error or the attempts are used up.
func (node *Node) handleOutbound(writer http.ResponseWriter, call *http.Request) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		http.Error(writer, "the request body ended early", http.StatusBadRequest)
		return
	}
	var response *http.Response
	for range attemptsPerCall {
		response, err = forwardCall(node.peerTransport, call, node.pickPeer(call.Host), body)
		if err == nil && response.StatusCode < http.StatusInternalServerError {
			break
		}
		if call.Context().Err() != nil {
			break
		}
	}
	writeResponse(writer, response, err)
}

// handleInbound forwards a call to the local target, or refuses it if all
// connections are in use.
func (node *Node) handleInbound(writer http.ResponseWriter, call *http.Request) {
	select {
	case node.inFlight <- struct{}{}:
		defer func() { <-node.inFlight }()
	default:
		http.Error(writer, "all connections are in use", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(call.Body)
	if err != nil {
		http.Error(writer, "the request body ended early", http.StatusBadRequest)
		return
	}
	response, err := forwardCall(node.targetTransport, call, node.Target, body)
	writeResponse(writer, response, err)
}

func (node *Node) pickPeer(service string) string {
	addresses := node.Peers[request.ServiceName(service)]
	if len(addresses) == 0 {
		return ""
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	return addresses[node.random.IntN(len(addresses))]
}

// forwardCall sends the call to the address and reads the whole response.
func forwardCall(transport *http.Transport, call *http.Request, address string, body []byte) (*http.Response, error) {
	outgoing, err := http.NewRequestWithContext(call.Context(), call.Method, "http://"+address+call.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	outgoing.Host = call.Host
	outgoing.Header = call.Header.Clone()
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, nil
}

func writeResponse(writer http.ResponseWriter, response *http.Response, err error) {
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = io.Copy(writer, response.Body)
}
