package node_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// customerCall is one line of testdata/customer-calls.jsonc.
type customerCall struct {
	Name   string   `json:"name"`
	Path   string   `json:"path"`
	Keys   []string `json:"keys"`
	Forged string   `json:"forged"`
	Status int      `json:"status"`
	Code   int      `json:"code"`
	Named  string   `json:"named"`
}

func readCustomerCalls(t *testing.T) []customerCall {
	t.Helper()
	text, err := os.ReadFile("testdata/customer-calls.jsonc")
	if err == nil {
		text, err = hujson.Standardize(text)
	}
	var calls []customerCall
	if err == nil {
		err = json.Unmarshal(text, &calls)
	}
	if err != nil {
		t.Fatal(err)
	}
	return calls
}

func startCustomerHost(t *testing.T, id request.NodeID, service request.ServiceName, target http.Handler, prepare ...func(*node.Node)) *host {
	t.Helper()
	text, err := os.ReadFile("testdata/customers.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	started := startConfiguredHost(t, id, service, target, nil, text, prepare...)
	connectHosts(started)
	return started
}

func (call customerCall) send(t *testing.T, base string) (*http.Response, string) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+call.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Host = "visits.example"
	if call.Keys != nil {
		outgoing.Header[web.HeaderCustomerKey] = call.Keys
	}
	if call.Forged != "" {
		outgoing.Header.Set(web.HeaderCustomer, call.Forged)
	}
	answer, content := sendRequest(t, outgoing)
	return answer, string(content)
}

// The target gets the name of the customer that has the key, whatever the caller claims,
// and never a key.
func TestTargetGetsNameOfCustomer(t *testing.T) {
	var arrived atomic.Pointer[http.Header]
	entry := startCustomerHost(t, "one", "agenda", http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		headers := incoming.Header.Clone()
		arrived.Store(&headers)
	}))
	for _, call := range readCustomerCalls(t) {
		t.Run(call.Name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			arrived.Store(nil)
			answer, content := call.send(t, entry.callers)
			expect(answer.StatusCode).To(gomega.Equal(call.Status), content)
			if call.Status != http.StatusOK {
				expect(content).To(gomega.ContainSubstring(`"code":%d`, call.Code))
				expect(arrived.Load()).To(gomega.BeNil())
				return
			}
			headers := *arrived.Load()
			expect(strings.Join(headers[web.HeaderCustomer], ",")).To(gomega.Equal(call.Named))
			expect(headers).NotTo(gomega.HaveKey(web.HeaderCustomerKey))
		})
	}
}

// A key that was withdrawn is refused by the next call on the same connection, and one
// that was added is accepted.
func TestKeysFollowConfigurationOnOpenConnections(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	entry := startCustomerHost(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	current := entry.node.Configuration.Current()
	text, err := configuration.Patch(current.Text, []byte(`[{"op": "replace", "path": "/customers/salto/keys", "value": ["new-salto"]}]`))
	expect(err).NotTo(gomega.HaveOccurred())
	next, err := node.NewActiveConfiguration(current.Version+1, text)
	expect(err).NotTo(gomega.HaveOccurred())

	status := func(key string) int {
		answer, _ := customerCall{Path: "/visits/1", Keys: []string{key}}.send(t, entry.callers)
		return answer.StatusCode
	}
	expect(status("key-salto")).To(gomega.Equal(http.StatusOK))
	expect(status("new-salto")).To(gomega.Equal(http.StatusUnauthorized))
	expect(entry.node.Configuration.Replace(next)).To(gomega.BeTrue())
	expect(status("key-salto")).To(gomega.Equal(http.StatusUnauthorized))
	expect(status("new-salto")).To(gomega.Equal(http.StatusOK))
}

// A node without a configuration cannot tell whether a key is valid.
func TestNodeWithoutConfigurationRefusesNoKey(t *testing.T) {
	entry := startCustomerHost(t, "one", "agenda", http.NotFoundHandler(), func(underTest *node.Node) {
		underTest.Configuration = node.NewConfigurationHolder(node.NoConfiguration())
	})
	for _, call := range readCustomerCalls(t) {
		answer, _ := call.send(t, entry.callers)
		gomega.NewWithT(t).Expect(answer.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), call.Name)
	}
}

// Calls that the target makes need no key. With the trace of a request they carry on the
// name of its customer, and a name that the target sends is not passed on.
func TestCallsOfTargetCarryCustomerOfTheirRequest(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var middle *host
	names := make(chan string, 1)
	below := startCustomerHost(t, "two", "consumo", http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		names <- incoming.Header.Get(web.HeaderCustomer)
	}))
	middle = startCustomerHost(t, "one", "agenda", http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
		_, _ = sendCall(t, middle.outbound, "visits.example", http.MethodGet, "/readings/1", nil,
			web.HeaderTraceparent, incoming.Header.Get(web.HeaderTraceparent), web.HeaderCustomer, "artigas")
	}))
	connectHosts(middle, below)
	_, _ = customerCall{Path: "/visits/1", Keys: []string{"key-salto"}}.send(t, middle.callers)
	expect(<-names).To(gomega.Equal("salto"))
	_, _ = sendCall(t, middle.outbound, "visits.example", http.MethodGet, "/readings/1", nil, web.HeaderCustomer, "artigas")
	expect(<-names).To(gomega.BeEmpty())
}

// With a key lifetime a node refuses calls that need a key once it has heard nothing of the
// control plane for that long, however its clock reads; without one it goes on.
func TestKeysExpireWithoutControlPlane(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name      string
		lifetime  time.Duration
		confirmed time.Time
		path      string
		status    int
	}{
		{"open, never confirmed", 0, time.Time{}, "/visits/1", http.StatusOK},
		{"open, confirmed long ago", 0, now.Add(-time.Hour), "/visits/1", http.StatusOK},
		{"bounded, never confirmed", time.Hour, time.Time{}, "/visits/1", http.StatusServiceUnavailable},
		{"bounded, confirmed now", time.Hour, now, "/visits/1", http.StatusOK},
		{"bounded, confirmed long ago", time.Hour, now.Add(-time.Hour), "/visits/1", http.StatusServiceUnavailable},
		{"bounded, suspended since", time.Hour, now.Round(0).Add(-time.Hour), "/visits/1", http.StatusServiceUnavailable},
		{"bounded, public", time.Hour, now.Add(-time.Hour), "/open/1", http.StatusOK},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			entry := startCustomerHost(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func(underTest *node.Node) {
				underTest.KeyLifetime = test.lifetime
			})
			if !test.confirmed.IsZero() {
				entry.node.ConfirmKeys(test.confirmed)
			}
			answer, content := customerCall{Path: test.path, Keys: []string{"key-salto"}}.send(t, entry.callers)
			gomega.NewWithT(t).Expect(answer.StatusCode).To(gomega.Equal(test.status), content)
		})
	}
}
