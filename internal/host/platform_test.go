package host_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// stubPlatform uses the native dialect, and exposes to the test what a platform may
// call.
type stubPlatform struct {
	targets   port.TargetAnnouncements
	documents port.ConfigurationStore
	// started is closed once both fields above are set.
	started chan struct{}
}

func (*stubPlatform) Dialect() web.Dialect { return web.NativeDialect{} }

func (stub *stubPlatform) Control(targets port.TargetAnnouncements, documents port.ConfigurationStore) http.Handler {
	stub.targets, stub.documents = targets, documents
	return http.NotFoundHandler()
}

func (stub *stubPlatform) Ready(func() bool) http.Handler {
	close(stub.started)
	return http.NotFoundHandler()
}

// platformCluster is six hosts on a platform, each with a target and a replica.
// Three of them are the seeds from which the group forms.
type platformCluster struct {
	*gomega.WithT
	platforms []*stubPlatform
	callers   []string
	admin     []string
}

func startPlatformCluster(t *testing.T) *platformCluster {
	t.Helper()
	cluster := &platformCluster{WithT: gomega.NewWithT(t)}
	var addresses []string
	for range 6 {
		addresses = append(addresses, reserveAddress(t))
	}
	seeds := []settings.Address{addressWithPort(addresses[0], 1), addressWithPort(addresses[1], 1), addressWithPort(addresses[2], 1)}
	for index, own := range addresses {
		target := cluster.startTarget(t, own)
		loaded := &settings.Settings{
			Node: request.NodeID(fmt.Sprintf("host-%d", index)), Region: "norte", FailureDomain: request.DomainName(fmt.Sprintf("domain-%d", index)),
			Service: "agenda", Target: settings.Address(target),
			Listen:     settings.Listen{Callers: addressWithPort(own, 7401), Peers: addressWithPort(own, 7403), Admin: addressWithPort(own, 7404)},
			Seeds:      seeds,
			SeedPort:   7403,
			DataFolder: t.TempDir(),
			Replica:    settings.Replica{FormsFromSeeds: true, FirstStart: true, LostDisks: 2},
			Security:   settings.Security{PlaintextOnClosedNetwork: true},
			Platform:   settings.Platform{Control: addressWithPort(own, 7405), Ready: addressWithPort(own, 7406)},
		}
		stub := &stubPlatform{started: make(chan struct{})}
		cluster.platforms = append(cluster.platforms, stub)
		cluster.callers = append(cluster.callers, string(loaded.Listen.Callers))
		cluster.admin = append(cluster.admin, string(loaded.Listen.Admin))
		process := &host.Host{Settings: loaded, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Platform: stub}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- process.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	return cluster
}

// startTarget starts a target that answers with the host and the path of the call.
func (cluster *platformCluster) startTarget(t *testing.T, own string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(own, "8080"))
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.WriteString(writer, incoming.Host+incoming.RequestURI)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (cluster *platformCluster) get(index int) (int, string) {
	call, err := http.NewRequest(http.MethodGet, "http://"+cluster.callers[index]+"/visits/7?full=1", nil)
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	call.Host = "visits.example"
	answer, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	return answer.StatusCode, string(body)
}

func routedDocument(label configuration.Label) *configuration.Document {
	document := &configuration.Document{}
	document.SetDefaults()
	document.Label = label
	document.Importances = []string{"rank-1"}
	document.Services = map[request.ServiceName]configuration.Service{"agenda": {Connections: 10, HealthPath: "/health"}}
	document.Routes = map[string]configuration.Route{"visits": {
		Host: "visits.example", PathPrefix: "/visits/", Importance: "rank-1", Repeat: configuration.Repeatable,
		Timeout: configuration.Duration(testTimeout), Objective: configuration.Duration(testTimeout), Attempts: 2,
		Services: []configuration.WeightedService{{Service: "agenda", Weight: 1}},
	}}
	return document
}

func (cluster *platformCluster) replace(index int, label, base configuration.Label) port.ReplaceState {
	var outcome port.ReplaceOutcome
	cluster.Eventually(func() error {
		var err error
		outcome, err = cluster.platforms[index].documents.Replace(context.Background(), port.Replacement{
			ID: "change-" + strconv.Itoa(int(label)), Base: base, Operator: "platform", Document: routedDocument(label),
		})
		return err
	}).WithTimeout(testTimeout).Should(gomega.Succeed())
	return outcome.State
}

// On a platform the replicas form a group from their seeds, whole configurations
// are accepted under the operators' own labels, and routes are served once targets
// have announced themselves. A target gets no calls as soon as its draining is
// acknowledged.
func TestClusterOnPlatform(t *testing.T) {
	t.Parallel()
	cluster := startPlatformCluster(t)
	for _, stub := range cluster.platforms {
		cluster.Eventually(stub.started).WithTimeout(testTimeout).Should(gomega.BeClosed())
	}
	cluster.Expect(cluster.replace(4, 12, 0)).To(gomega.Equal(port.Replaced))
	cluster.Expect(cluster.replace(1, 12, 0)).To(gomega.Equal(port.Replaced), "the same replacement at another host is accepted again")
	cluster.Expect(cluster.replace(2, 13, 11)).To(gomega.Equal(port.Stale))
	cluster.Expect(cluster.replace(3, 17, 12)).To(gomega.Equal(port.Replaced))
	document, err := cluster.platforms[0].documents.Newest(context.Background())
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	cluster.Expect(document.Label).To(gomega.BeEquivalentTo(17))
	client := &operator.Client{Base: "http://" + cluster.admin[0], HTTP: http.DefaultClient}
	list, err := operator.Call[operator.Replicas](t.Context(), client, operator.ListReplicas, operator.Done{})
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	cluster.Expect(len(list.Replicas)).To(gomega.BeNumerically(">=", 5))

	cluster.Eventually(func() int { status, _ := cluster.get(0); return status }).WithTimeout(testTimeout).Should(gomega.Equal(http.StatusServiceUnavailable),
		"no target has announced itself")
	for index, stub := range cluster.platforms[:2] {
		stub.targets.Announce(context.Background(), announcement(index, 1, false))
	}
	// Each host learns of the targets by itself, so each of them is checked.
	for index := range cluster.platforms {
		cluster.Eventually(func() string { _, body := cluster.get(index); return body }).WithTimeout(testTimeout).
			Should(gomega.Equal("visits.example/visits/7?full=1"), "host %d", index)
	}

	for name, foreign := range foreignAnnouncements() {
		cluster.Expect(cluster.platforms[0].targets.Announce(context.Background(), foreign)).To(gomega.Equal(presence.Foreign), name)
	}
	status, _ := cluster.get(0)
	cluster.Expect(status).To(gomega.Equal(http.StatusOK), "the target takes calls after foreign announcements")

	for index, stub := range cluster.platforms[:2] {
		stub.targets.Announce(context.Background(), announcement(index, 2, true))
	}
	status, _ = cluster.get(0)
	cluster.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "an acknowledged drain takes effect at once")
}

// foreignAnnouncements are later than those of the first host's target, and of others.
func foreignAnnouncements() map[string]presence.Announcement {
	elsewhere, nobody := announcement(7, 1, false), announcement(8, 1, false)
	elsewhere.StartMillis, elsewhere.Address = 2, "192.0.2.1:8080"
	nobody.StartMillis, nobody.Service = 2, "nobody"
	return map[string]presence.Announcement{"of another address": elsewhere, "of a service that is not configured": nobody}
}

func announcement(index, sequence int, draining bool) presence.Announcement {
	return presence.Announcement{
		Instance: request.InstanceID(fmt.Sprintf("instance-%d", index)), StartMillis: 1, Sequence: presence.Sequence(sequence),
		Service: "agenda", Slots: 4, Draining: draining,
	}
}
