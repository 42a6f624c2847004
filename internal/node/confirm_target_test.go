package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// namingDialect is a dialect in which a target names its instance in answers to health
// checks.
type namingDialect struct{ web.NativeDialect }

func (namingDialect) HealthyInstance(response *http.Response) (request.InstanceID, bool) {
	return request.InstanceID(response.Header.Get("Instance")), response.StatusCode == http.StatusOK
}

// Only a healthy answer of the announced instance confirms its announcement.
func TestTargetConfirmsItsAnnouncement(t *testing.T) {
	tests := []struct {
		name      string
		status    int
		instance  string
		confirmed bool
	}{
		{"healthy", http.StatusOK, "i-1", true},
		{"healthy without a name", http.StatusOK, "", true},
		{"leaving", http.StatusServiceUnavailable, "i-1", false},
		{"another instance", http.StatusOK, "i-2", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
				g.Expect(incoming.URL.Path).To(gomega.Equal("/health"))
				writer.Header().Set("Instance", test.instance)
				writer.WriteHeader(test.status)
			}))
			defer server.Close()
			node := &Node{Dialect: namingDialect{}, Target: &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1}}
			node.Target.Start()
			defer node.Target.Close()
			g.Expect(node.ConfirmTarget("i-1", "/health", time.Minute)).To(gomega.Equal(test.confirmed))
		})
	}
}
