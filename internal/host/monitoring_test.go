package host

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/registry"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/node"
)

// TestMissingMetricsAreLogged guards against a gauge that is absent without a reason in
// the log.
func TestMissingMetricsAreLogged(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	logged := &bytes.Buffer{}
	client := &registry.Client{Replicas: &peer.Directory{}}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	expect(client.Run(stopped)).To(gomega.Succeed())
	monitored := &Host{
		Logger:        &log.Logger{Writer: &log.IOWriter{Writer: logged}},
		configuration: node.NewConfigurationHolder(node.NoConfiguration()),
	}
	served := &node.Node{Configuration: monitored.configuration, Transport: &peer.Transport{}, Target: &web.TargetClient{}, Balancer: &balancer.Balancer{}}
	served.Prepare()
	monitored.dataPlane = &dataPlane{host: monitored, node: served, balancer: served.Balancer, registryClient: client}

	page := httptest.NewRecorder()
	monitored.serveMetrics(page, httptest.NewRequest("GET", "/metrics", nil))
	expect(page.Body.String()).To(gomega.ContainSubstring("magnoliawall_configuration_version"))
	expect(page.Body.String()).NotTo(gomega.ContainSubstring("node_replica_without_quorum"))
	expect(logged.String()).To(gomega.ContainSubstring(`"metrics":"node_replica_without_quorum","message":"metrics: some are left out of this page"`))
}
