package node_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var testPlace = request.Place{Region: "norte", Domain: "norte-a"}

// host is one node with its target, run in the test's process.
type host struct {
	node     *node.Node
	callers  string
	outbound string
	target   balancer.Target
	stop     context.CancelFunc
	done     chan error
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func startHost(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler) *host {
	t.Helper()
	return startHostWithLedger(t, id, service, target, nil)
}

func startHostWithLedger(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, claims node.Proposer) *host {
	t.Helper()
	text, err := os.ReadFile("../../examples/gota-justa.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return startConfiguredHost(t, id, service, target, claims, text)
}

// startConfiguredHost starts a host with the given text as configuration version 1.
func startConfiguredHost(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, claims node.Proposer, text []byte, prepare ...func(*node.Node)) *host {
	t.Helper()
	underTest := newNode(t, id, service, target, claims, text, prepare...)
	return runHost(t, underTest, node.Listeners{Callers: listen(t), Target: listen(t), Peers: listen(t)})
}

func newNode(t testing.TB, id request.NodeID, service request.ServiceName, target http.Handler, claims node.Proposer, text []byte, prepare ...func(*node.Node)) *node.Node {
	t.Helper()
	active, err := node.NewActiveConfiguration(1, text)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	underTest := &node.Node{
		ID:            id,
		Place:         testPlace,
		Service:       service,
		Configuration: node.NewConfigurationHolder(active),
		Balancer:      &balancer.Balancer{Self: id, Place: testPlace},
		Transport:     &peer.Transport{Self: peer.Hello{Node: id, Place: testPlace, Service: service}},
		Claims:        claims,
		Target:        &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 100},
	}
	for _, change := range prepare {
		change(underTest)
	}
	return underTest
}

// runHost runs a node on the listeners until the test ends.
func runHost(t testing.TB, underTest *node.Node, listeners node.Listeners) *host {
	t.Helper()
	underTest.Prepare()
	ctx, stop := context.WithCancel(t.Context())
	host := &host{
		node:     underTest,
		callers:  "http://" + listeners.Callers.Addr().String(),
		outbound: "http://" + listeners.Target.Addr().String(),
		target:   balancer.Target{Node: underTest.ID, Incarnation: 1, Address: listeners.Peers.Addr().String(), Place: testPlace, Slots: 50},
		stop:     stop,
		done:     make(chan error, 1),
	}
	go func() {
		host.done <- underTest.Run(ctx, listeners)
	}()
	t.Cleanup(func() {
		stop()
		<-host.done
		host.done <- nil
		_ = underTest.Transport.Close()
	})
	return host
}

func connectHosts(hosts ...*host) {
	views := map[request.ServiceName][]balancer.Target{}
	for _, host := range hosts {
		views[host.node.Service] = append(views[host.node.Service], host.target)
	}
	for _, host := range hosts {
		for service, targets := range views {
			host.node.Balancer.Update(time.Now(), balancer.View{Service: service, Targets: targets})
		}
	}
}

func sendCall(t testing.TB, base, service, method, path string, body io.Reader, headers ...string) (*http.Response, []byte) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), method, base+path, body)
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Host = service
	for index := 0; index+1 < len(headers); index += 2 {
		outgoing.Header.Set(headers[index], headers[index+1])
	}
	return sendRequest(t, outgoing)
}

// sendRequest sends a request and reads the whole answer.
func sendRequest(t testing.TB, outgoing *http.Request) (*http.Response, []byte) {
	t.Helper()
	answer, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer, content
}

func TestCallReachesTargetAndBack(t *testing.T) {
	g := gomega.NewWithT(t)
	echoDigest := func(writer http.ResponseWriter, incoming *http.Request) {
		hash := sha256.New()
		length, _ := io.Copy(hash, incoming.Body)
		_, _ = fmt.Fprintf(writer, "%s %d %x", incoming.URL.RequestURI(), length, hash.Sum(nil))
	}
	entry := startHost(t, "one", "agenda", http.NotFoundHandler())
	evidence := startHost(t, "two", "evidencia", http.HandlerFunc(echoDigest))
	connectHosts(entry, evidence)

	photo := bytes.Repeat([]byte("meter pit "), 2<<20)
	answer, content := sendCall(t, entry.callers, "evidencia", http.MethodPut, "/claims/7/photos/3", bytes.NewReader(photo))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK), string(content))
	g.Expect(string(content)).To(gomega.Equal(fmt.Sprintf("/claims/7/photos/3 %d %x", len(photo), sha256.Sum256(photo))))

	chunked := io.MultiReader(strings.NewReader("small "), strings.NewReader("photo"))
	_, content = sendCall(t, entry.callers, "evidencia", http.MethodPut, "/claims/7/photos/4", chunked)
	g.Expect(string(content)).To(gomega.HavePrefix("/claims/7/photos/4 11 "))
}

func TestTargetCallsOtherServiceThroughItsNode(t *testing.T) {
	g := gomega.NewWithT(t)
	var middle *host
	consumo := startHost(t, "three", "consumo", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = writer.Write([]byte("readings for " + incoming.Header.Get("Traceparent")[3:35]))
	}))
	middle = startHost(t, "two", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, content := sendCall(t, middle.outbound, "consumo", http.MethodGet, "/members/9/readings", nil,
			"Traceparent", incoming.Header.Get("Traceparent"))
		_, _ = writer.Write(content)
	}))
	entry := startHost(t, "one", "evidencia", http.NotFoundHandler())
	connectHosts(entry, middle, consumo)

	trace := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	_, content := sendCall(t, entry.callers, "agenda", http.MethodGet, "/visits/7/checklist", nil, "Traceparent", trace)
	g.Expect(string(content)).To(gomega.Equal("readings for 0af7651916cd43dd8448eb211c80319c"))
}

func TestRefusalsAreProblemDocuments(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startHost(t, "one", "agenda", http.NotFoundHandler())
	connectHosts(entry)

	answer, content := sendCall(t, entry.callers, "nowhere", http.MethodGet, "/", nil)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusNotFound))
	g.Expect(answer.Header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
	g.Expect(content).To(gomega.ContainSubstring(`"code":1001`))

	answer, content = sendCall(t, entry.callers, "evidencia", http.MethodPut, "/claims/7/photos/3", strings.NewReader("x"))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), string(content))
	g.Expect(content).To(gomega.ContainSubstring(`"outcome":"not-run"`))
}
