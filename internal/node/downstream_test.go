package node_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// A target may answer with its own failure when a service that it calls refuses: the
// caller gets the refusal's code. An answer of the target's own is passed on as it
// is.
func TestDownstreamRefusalReachesCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	var middle *host
	status := http.StatusBadGateway
	middle = startHost(t, "two", "agenda", http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		sendCall(t, middle.outbound, "consumo", http.MethodGet, "/members/9/readings", nil, "Traceparent", incoming.Header.Get("Traceparent"))
		http.Error(writer, "consumo failed me", status)
	}))
	entry := startHost(t, "one", "evidencia", http.NotFoundHandler())
	connectHosts(entry, middle)
	answer, content := sendCall(t, entry.callers, "agenda", http.MethodGet, "/visits/7/checklist", nil)
	g.Expect(answer.Header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
	g.Expect(answer.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(string(content)).To(gomega.ContainSubstring(`"code":3001`))
	g.Expect(string(content)).To(gomega.ContainSubstring(`"outcome":"unknown"`))

	status = http.StatusConflict
	answer, content = sendCall(t, entry.callers, "agenda", http.MethodGet, "/visits/8/checklist", nil)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusConflict), "the target's own answer is passed on")
	g.Expect(string(content)).To(gomega.Equal("consumo failed me\n"))
}
