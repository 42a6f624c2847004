package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// namingDialect is a dialect in which a target names its instance in answers to health
// checks.
type namingDialect struct{ web.NativeDialect }

func (namingDialect) HealthyInstance(response *http.Response) (request.InstanceID, bool) {
	return request.InstanceID(response.Header.Get("Instance")), response.StatusCode == http.StatusOK
}

// Only a healthy answer of the announced instance confirms its announcement; otherwise
// the error says what the target answered.
func TestTargetConfirmsItsAnnouncement(t *testing.T) {
	tests := []struct {
		name     string
		status   int
		instance string
		problem  string
	}{
		{"healthy", http.StatusOK, "i-1", ""},
		{"healthy without a name", http.StatusOK, "", ""},
		{"leaving", http.StatusServiceUnavailable, "i-1", "503"},
		{"another instance", http.StatusOK, "i-2", "i-2"},
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
			node := &Node{
				Dialect:       namingDialect{},
				Configuration: NewConfigurationHolder(NoConfiguration()),
				Transport:     &peer.Transport{},
				Target:        &web.TargetClient{Address: server.Listener.Addr().String(), Connections: 1},
			}
			node.Prepare()
			defer node.Target.Close()
			err := node.CheckTarget("i-1", "/health", time.Minute)
			if test.problem == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(test.problem)))
		})
	}
}
