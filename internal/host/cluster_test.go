package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/loopback"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// testTimeout bounds the wait for an event; no check depends on how fast it comes.
const testTimeout = 2 * time.Minute

type domains = []request.DomainName

// The six failure domains of the example configuration, two in each region.
var (
	norte   = domains{"norte-a", "norte-b"}
	litoral = domains{"litoral-a", "litoral-b"}
	sur     = domains{"sur-a", "sur-b"}
)

// testCluster is a user's hosts in this process, each with a target of the
// service agenda.
type testCluster struct {
	t          *testing.T
	network    *faultyNetwork
	executions *executionLog
	members    []*clusterMember
}

// clusterMember is one host with its target.
type clusterMember struct {
	cluster  *testCluster
	settings *settings.Settings
	target   *testTarget
	logs     *logCapture
	stop     context.CancelFunc
	done     chan error
}

// startCluster starts a host in each of the listed domains and waits until all
// are in use. The first hosts hold a replica.
func startCluster(t *testing.T, replicas int, places ...request.DomainName) *testCluster {
	t.Helper()
	cluster := planCluster(t, replicas, places...)
	for _, member := range cluster.members {
		member.start()
	}
	cluster.awaitVersion(1)
	cluster.awaitTargets(len(places))
	for _, member := range cluster.members {
		member.awaitKnownTargets(len(places))
	}
	return cluster
}

// planCluster makes the settings of a cluster and starts its targets.
func planCluster(t *testing.T, replicas int, places ...request.DomainName) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, network: newFaultyNetwork(t), executions: newExecutionLog()}
	initial, err := filepath.Abs("../../examples/gota-justa.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	var members []settings.Member
	for index, domain := range places {
		address := reserveAddress(t)
		cluster.network.domains[address] = domain
		member := &clusterMember{cluster: cluster, logs: &logCapture{}, target: startTestTarget(t, cluster.executions, address)}
		member.settings = &settings.Settings{
			Node: request.NodeID(fmt.Sprintf("host-%d", index)), FailureDomain: domain, Service: "agenda",
			Target:   settings.Address(member.target.address),
			Listen:   settings.Listen{Callers: addressWithPort(address, 7401), Outbound: addressWithPort(address, 7402), Peers: addressWithPort(address, 7403), Admin: addressWithPort(address, 7404)},
			Security: settings.Security{PlaintextOnLoopback: true},
		}
		region, _, _ := strings.Cut(string(domain), "-")
		member.settings.Region = request.RegionName(region)
		cluster.members = append(cluster.members, member)
		if index < replicas {
			members = append(members, settings.Member{Node: member.settings.Node, Address: member.settings.Listen.Peers, FailureDomain: domain})
			member.settings.DataFolder = t.TempDir()
		}
	}
	for _, member := range cluster.members {
		for _, seed := range members {
			member.settings.Seeds = append(member.settings.Seeds, seed.Address)
		}
		if member.settings.DataFolder != "" {
			member.settings.Replica = settings.Replica{Members: members, InitialConfiguration: initial}
		}
	}
	return cluster
}

func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func addressWithPort(address string, number int) settings.Address {
	return settings.Address(net.JoinHostPort(address, strconv.Itoa(number)))
}

func (member *clusterMember) start() {
	ctx, stop := context.WithCancel(context.Background())
	process := &host.Host{
		Settings: member.settings,
		Logger:   &log.Logger{Writer: &log.IOWriter{Writer: member.logs}},
		Dial:     member.cluster.network.dialer(member.settings.FailureDomain),
	}
	done := make(chan error, 1)
	member.stop, member.done = stop, done
	member.logs.clearVersions()
	go func() {
		err := process.Run(ctx)
		if err != nil && ctx.Err() == nil {
			member.cluster.t.Errorf("%s: %v", member.settings.Node, err)
		}
		done <- err
	}()
	member.cluster.t.Cleanup(func() {
		stop()
		member.target.releaseHeld()
		member.cluster.network.heal()
		<-done
		done <- nil
	})
}

// stopAndWait stops the host as planned and waits for its end.
func (member *clusterMember) stopAndWait() {
	member.stop()
	err := <-member.done
	member.done <- err
}

func (cluster *testCluster) memberIn(domain request.DomainName) *clusterMember {
	for _, member := range cluster.members {
		if member.settings.FailureDomain == domain {
			return member
		}
	}
	cluster.t.Fatalf("no host in %s", domain)
	return nil
}

// logCapture keeps the log of one host, and the versions that were activated since
// the host's last start.
type logCapture struct {
	lock     sync.Mutex
	versions []int
	log      []byte
}

func (capture *logCapture) clearVersions() {
	capture.lock.Lock()
	defer capture.lock.Unlock()
	capture.versions = nil
}

// Write takes one line of the log.
func (capture *logCapture) Write(line []byte) (int, error) {
	entry := struct {
		Message string `json:"message"`
		Version int    `json:"version"`
	}{}
	capture.lock.Lock()
	defer capture.lock.Unlock()
	capture.log = append(capture.log, line...)
	if json.Unmarshal(line, &entry) == nil && entry.Message == "configuration: version in force" {
		capture.versions = append(capture.versions, entry.Version)
	}
	return len(line), nil
}

func (capture *logCapture) activatedVersions() []int {
	capture.lock.Lock()
	defer capture.lock.Unlock()
	return append([]int(nil), capture.versions...)
}

// text gives the whole log of the host.
func (capture *logCapture) text() string {
	capture.lock.Lock()
	defer capture.lock.Unlock()
	return string(capture.log)
}

func (capture *logCapture) latestVersion() int {
	all := capture.activatedVersions()
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}

// awaitVersion waits until a version is active at the given hosts, or at all hosts if
// none is given.
func (cluster *testCluster) awaitVersion(version int, at ...*clusterMember) {
	cluster.t.Helper()
	if len(at) == 0 {
		at = cluster.members
	}
	for _, member := range at {
		gomega.NewWithT(cluster.t).Eventually(member.logs.latestVersion).WithTimeout(testTimeout).
			Should(gomega.Equal(version), member.logs.text)
	}
}

// awaitTargets waits until the number of known targets that are not down is count.
func (cluster *testCluster) awaitTargets(count int) {
	cluster.t.Helper()
	gomega.NewWithT(cluster.t).Eventually(func() int {
		list, _ := operate[operator.Targets](cluster.members[0], operator.ListTargets, operator.Done{})
		up := 0
		for _, row := range list.Targets {
			if row.State != "down" {
				up++
			}
		}
		return up
	}).WithTimeout(testTimeout).Should(gomega.Equal(count))
}

// awaitKnownTargets waits until the target lists of the host's own node hold so many
// targets. They follow the lists of the replica.
func (member *clusterMember) awaitKnownTargets(count int) {
	member.cluster.t.Helper()
	gauge := fmt.Sprintf("magnoliawall_node_known_targets %d\n", count)
	gomega.NewWithT(member.cluster.t).Eventually(member.metrics).WithTimeout(testTimeout).Should(gomega.ContainSubstring(gauge))
}

// operate sends an operator request to one host.
func operate[Answer any](member *clusterMember, verb operator.Verb, message any) (Answer, error) {
	client := &operator.Client{Base: "http://" + string(member.settings.Listen.Admin), HTTP: http.DefaultClient}
	return operator.Call[Answer](member.cluster.t.Context(), client, verb, message)
}

func deadlinePatch(id string, base configuration.Version) operator.Patch {
	operations := fmt.Sprintf(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"%dms"}]`, 2000+base)
	return operator.Patch{ID: id, Base: base, Operator: id, Operations: json.RawMessage(operations)}
}

// acceptPatch sends a patch of a version to a host until the outcome is known, and
// expects that it is accepted.
func (member *clusterMember) acceptPatch(id string, base configuration.Version) {
	member.cluster.t.Helper()
	outcome := member.patchOutcome(deadlinePatch(id, base))
	gomega.NewWithT(member.cluster.t).Expect(outcome.State).To(gomega.Equal(operator.PatchAccepted), fmt.Sprint(outcome))
	gomega.NewWithT(member.cluster.t).Expect(outcome.Version).To(gomega.Equal(base + 1))
}

func (member *clusterMember) patchOutcome(sent operator.Patch) operator.PatchOutcome {
	member.cluster.t.Helper()
	var outcome operator.PatchOutcome
	gomega.NewWithT(member.cluster.t).Eventually(func() (err error) {
		outcome, err = operate[operator.PatchOutcome](member, operator.CreatePatch, sent)
		return err
	}).WithTimeout(testTimeout).Should(gomega.Succeed())
	return outcome
}

// awaitHeldRequest waits until a target holds a request, and gives its host.
func (cluster *testCluster) awaitHeldRequest() *clusterMember {
	cluster.t.Helper()
	var holder *clusterMember
	gomega.NewWithT(cluster.t).Eventually(func() *clusterMember {
		for _, member := range cluster.members {
			select {
			case <-member.target.held:
				holder = member
			default:
			}
		}
		return holder
	}).WithTimeout(testTimeout).ShouldNot(gomega.BeNil())
	return holder
}

// callerClient keeps no connections open, since a planned stop would wait for them.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// reply is the answer to a caller.
type reply struct {
	status  int
	code    request.Code
	outcome string
	body    string
}

// call sends a caller's request for the service agenda to a host.
func (member *clusterMember) call(method, path, key string) reply {
	outgoing, err := http.NewRequestWithContext(member.cluster.t.Context(), method, "http://"+string(member.settings.Listen.Callers)+path, nil)
	if err != nil {
		return reply{}
	}
	outgoing.Host = "agenda"
	if key != "" {
		outgoing.Header.Set("Idempotency-Key", key)
	}
	answer, err := callerClient.Do(outgoing)
	if err != nil {
		return reply{}
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	problem := struct {
		Code    request.Code `json:"code"`
		Outcome string       `json:"outcome"`
	}{}
	_ = json.Unmarshal(content, &problem)
	return reply{answer.StatusCode, problem.Code, problem.Outcome, string(content)}
}

func (member *clusterMember) book(key string) reply {
	return member.call(http.MethodPost, "/visits", key)
}

func (member *clusterMember) checklist(number int) reply {
	return member.call(http.MethodGet, "/visits/"+strconv.Itoa(number)+"/checklist", "")
}
