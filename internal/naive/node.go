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
	nodeRetries     = 3
	idlePeerConns   = 256
	shutdownLimit   = 5 * time.Second
	attemptsPerCall = 1 + nodeRetries
)

// Peers tells where the nodes of each service take calls.
type Peers map[request.ServiceName][]string

// Node is the naive node: two plain HTTP hops. It passes a call to a random
// target, retries three times on any error, has no limit but the count of
// connections and takes whatever configuration was written last.
//
// Its exported fields are set before Run.
type Node struct {
	// Target is the address of the local target.
	Target string
	// Outbound takes calls of callers and of the local target.
	Outbound net.Listener
	// Inbound takes calls of other nodes for the local target.
	Inbound net.Listener
	Peers   Peers
	// Connections is how many calls the local target gets at a time.
	Connections int
	// Dial opens connections to other nodes; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Seed uint64

	peers   *http.Transport
	target  *http.Transport
	working chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	version uint64
}

// Run serves until the context ends.
func (node *Node) Run(ctx context.Context) error {
	node.random = rand.New(rand.NewPCG(node.Seed, node.Seed))
	node.working = make(chan struct{}, max(node.Connections, 1))
	node.peers = &http.Transport{DialContext: node.Dial, MaxIdleConnsPerHost: idlePeerConns, DisableCompression: true}
	node.target = &http.Transport{MaxIdleConnsPerHost: idlePeerConns, DisableCompression: true}
	var group run.Group
	serve(&group, node.Outbound, node.handleOutbound)
	serve(&group, node.Inbound, node.handleInbound)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	err := group.Run()
	node.peers.CloseIdleConnections()
	node.target.CloseIdleConnections()
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
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
}

// Configure takes a configuration version, whichever it is.
func (node *Node) Configure(version uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.version = version
}

// Version gives the configuration version that was written last.
func (node *Node) Version() uint64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.version
}

// handleOutbound passes a call to random targets until one answers it.
func (node *Node) handleOutbound(writer http.ResponseWriter, call *http.Request) {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		http.Error(writer, "the body ended early", http.StatusBadRequest)
		return
	}
	var response *http.Response
	for range attemptsPerCall {
		response, err = forward(node.peers, call, node.pick(call.Host), body)
		if err == nil && response.StatusCode < http.StatusInternalServerError {
			break
		}
		if call.Context().Err() != nil {
			break
		}
	}
	reply(writer, response, err)
}

// handleInbound passes a call to the local target.
func (node *Node) handleInbound(writer http.ResponseWriter, call *http.Request) {
	select {
	case node.working <- struct{}{}:
		defer func() { <-node.working }()
	default:
		http.Error(writer, "all connections are in use", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(call.Body)
	if err != nil {
		http.Error(writer, "the body ended early", http.StatusBadRequest)
		return
	}
	response, err := forward(node.target, call, node.Target, body)
	reply(writer, response, err)
}

func (node *Node) pick(service string) string {
	addresses := node.Peers[request.ServiceName(service)]
	if len(addresses) == 0 {
		return ""
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	return addresses[node.random.IntN(len(addresses))]
}

// forward sends the call on and reads the whole answer.
func forward(transport *http.Transport, call *http.Request, address string, body []byte) (*http.Response, error) {
	onward, err := http.NewRequestWithContext(call.Context(), call.Method, "http://"+address+call.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	onward.Host = call.Host
	onward.Header = call.Header.Clone()
	response, err := transport.RoundTrip(onward)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

func reply(writer http.ResponseWriter, response *http.Response, err error) {
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
