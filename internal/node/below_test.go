package node_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// TestRefusalBelowReachesTheCaller lets the target turn a refusal of a service
// that it calls into its own failure: the caller is told the refusal.
func TestRefusalBelowReachesTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	var deep *host
	status := http.StatusBadGateway
	deep = startHost(t, "two", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		call(t, deep.outbound, "consumo", http.MethodGet, "/members/9/readings", nil, "Traceparent", incoming.Header.Get("Traceparent"))
		http.Error(writer, "consumo failed me", status)
	}))
	entry := startHost(t, "one", "evidencia", http.NotFoundHandler())
	connect(entry, deep)
	answer, content := call(t, entry.callers, "agenda", http.MethodGet, "/visits/7/checklist", nil)
	g.Expect(answer.Header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
	g.Expect(answer.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(string(content)).To(gomega.ContainSubstring(`"code":3001`))
	g.Expect(string(content)).To(gomega.ContainSubstring(`"outcome":"unknown"`))

	status = http.StatusConflict
	answer, content = call(t, entry.callers, "agenda", http.MethodGet, "/visits/8/checklist", nil)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusConflict), "an answer of the target's own stands")
	g.Expect(string(content)).To(gomega.Equal("consumo failed me\n"))
}
