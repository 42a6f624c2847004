package host_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// stubPlatform speaks the product's own dialect, and hands what a platform may
// call to the test.
type stubPlatform struct {
	targets   port.Targets
	documents port.Documents
	// started is closed once both are set.
	started chan struct{}
}

func (*stubPlatform) Dialect() web.Dialect { return web.Native{} }

func (stub *stubPlatform) Control(targets port.Targets, documents port.Documents) http.Handler {
	stub.targets, stub.documents = targets, documents
	return http.NotFoundHandler()
}

func (stub *stubPlatform) Ready(func() bool) http.Handler {
	close(stub.started)
	return http.NotFoundHandler()
}

// platformSite is a site of six hosts with a target and a replica each, of which
// three are seeds, formed by itself.
type platformSite struct {
	*gomega.WithT
	platforms []*stubPlatform
	callers   []string
	admin     []string
}

func newPlatformSite(t *testing.T) *platformSite {
	t.Helper()
	ps := &platformSite{WithT: gomega.NewWithT(t)}
	block := blocks.Add(1)
	address := func(index int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, block, 1+index) }
	seeds := []settings.Address{at(address(0), 1), at(address(1), 1), at(address(2), 1)}
	for index := range 6 {
		own := address(index)
		target := ps.startTarget(t, own)
		loaded := &settings.Settings{
			Node: request.NodeID(fmt.Sprintf("host-%d", index)), Region: "norte", FailureDomain: request.DomainName(fmt.Sprintf("domain-%d", index)),
			Service: "agenda", Target: settings.Address(target),
			Listen:     settings.Listen{Callers: at(own, 7401), Peers: at(own, 7403), Admin: at(own, 7404)},
			Seeds:      seeds,
			SeedPort:   7403,
			DataFolder: t.TempDir(),
			Replica:    settings.Replica{FormsFromSeeds: true, FirstStart: true, LostDisks: 2},
			Security:   settings.Security{PlaintextOnClosedNetwork: true},
			Platform:   settings.Platform{Control: at(own, 7405), Ready: at(own, 7406)},
		}
		stub := &stubPlatform{started: make(chan struct{})}
		ps.platforms = append(ps.platforms, stub)
		ps.callers = append(ps.callers, string(loaded.Listen.Callers))
		ps.admin = append(ps.admin, string(loaded.Listen.Admin))
		process := &host.Host{Settings: loaded, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Platform: stub}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- process.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	return ps
}

// startTarget answers each call with the instance that it was meant for.
func (ps *platformSite) startTarget(t *testing.T, own string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(own, "8080"))
	ps.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.WriteString(writer, incoming.Host+incoming.RequestURI)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (ps *platformSite) get(index int) (int, string) {
	call, err := http.NewRequest(http.MethodGet, "http://"+ps.callers[index]+"/visits/7?full=1", nil)
	ps.Expect(err).NotTo(gomega.HaveOccurred())
	call.Host = "visits.example"
	answer, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	ps.Expect(err).NotTo(gomega.HaveOccurred())
	return answer.StatusCode, string(body)
}

func routed(label configuration.Label) *configuration.Document {
	document := &configuration.Document{}
	document.SetDefaults()
	document.Label = label
	document.Importances = []string{"rank-1"}
	document.Services = map[request.ServiceName]configuration.Service{"agenda": {Connections: 10, HealthPath: "/health"}}
	document.Routes = map[string]configuration.Route{"visits": {
		Host: "visits.example", PathPrefix: "/visits/", Importance: "rank-1", Repeat: configuration.Repeatable,
		Timeout: configuration.Duration(patience), Objective: configuration.Duration(patience), Attempts: 2,
		Services: []configuration.Share{{Service: "agenda", Weight: 1}},
	}}
	return document
}

func (ps *platformSite) replace(index int, label, base configuration.Label) port.ReplaceState {
	var outcome port.ReplaceOutcome
	ps.Eventually(func() error {
		var err error
		outcome, err = ps.platforms[index].documents.Replace(context.Background(), port.Replacement{
			ID: "change-" + strconv.Itoa(int(label)), Base: base, Operator: "platform", Document: routed(label),
		})
		return err
	}).WithTimeout(patience).Should(gomega.Succeed())
	return outcome.State
}

// A site on a platform forms its replicas by itself, takes whole configurations
// with the operators' own labels, serves routes once targets have announced
// themselves, and gives a target that leaves nothing from the moment at which
// that was acknowledged.
func TestASiteOnAPlatform(t *testing.T) {
	t.Parallel()
	ps := newPlatformSite(t)
	for _, stub := range ps.platforms {
		ps.Eventually(stub.started).WithTimeout(patience).Should(gomega.BeClosed())
	}
	ps.Expect(ps.replace(4, 12, 0)).To(gomega.Equal(port.Replaced))
	ps.Expect(ps.replace(1, 12, 0)).To(gomega.Equal(port.Replaced), "a resend to another host is accepted again")
	ps.Expect(ps.replace(2, 13, 11)).To(gomega.Equal(port.Stale))
	ps.Expect(ps.replace(3, 17, 12)).To(gomega.Equal(port.Replaced))
	document, err := ps.platforms[0].documents.Newest(context.Background())
	ps.Expect(err).NotTo(gomega.HaveOccurred())
	ps.Expect(document.Label).To(gomega.BeEquivalentTo(17))
	client := &operator.Client{Base: "http://" + ps.admin[0], HTTP: http.DefaultClient}
	list, err := operator.Ask[operator.Replicas](t.Context(), client, operator.ListReplicas, operator.Done{})
	ps.Expect(err).NotTo(gomega.HaveOccurred())
	ps.Expect(len(list.Replicas)).To(gomega.BeNumerically(">=", 5))

	ps.Eventually(func() int { status, _ := ps.get(0); return status }).WithTimeout(patience).Should(gomega.Equal(http.StatusServiceUnavailable),
		"no target has announced itself")
	for index, stub := range ps.platforms[:2] {
		stub.targets.Announce(context.Background(), announcement(index, 1, false))
	}
	// Each host hears of the targets by itself, so one that serves says nothing of
	// another.
	for index := range ps.platforms {
		ps.Eventually(func() string { _, body := ps.get(index); return body }).WithTimeout(patience).
			Should(gomega.Equal("visits.example/visits/7?full=1"), "host %d", index)
	}

	for index, stub := range ps.platforms[:2] {
		stub.targets.Announce(context.Background(), announcement(index, 2, true))
	}
	status, _ := ps.get(0)
	ps.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "an acknowledged drain binds at once")
}

func announcement(index, sequence int, draining bool) presence.Announcement {
	return presence.Announcement{
		Instance: request.InstanceID(fmt.Sprintf("instance-%d", index)), StartMillis: 1, Sequence: presence.Sequence(sequence),
		Service: "agenda", Slots: 4, Draining: draining,
	}
}
