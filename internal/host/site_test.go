package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// patience bounds what must happen at all; no verdict depends on how fast.
const patience = 2 * time.Minute

// blocks gives each site of this process its own addresses.
var blocks atomic.Int32

type domains = []request.DomainName

// The six failure domains of Gota Justa, one host in each.
var (
	norte   = domains{"norte-a", "norte-b"}
	litoral = domains{"litoral-a", "litoral-b"}
	sur     = domains{"sur-a", "sur-b"}
)

// site is a user's hosts in this process, each with a target of agenda.
type site struct {
	t       *testing.T
	network *network
	record  *record
	hosts   []*member
}

// member is one host with its target; process is nil while it is stopped.
type member struct {
	site     *site
	settings *settings.Settings
	target   *target
	forced   *forced
	stop     context.CancelFunc
	done     chan error
}

// newSite starts a host in each of the listed domains; the first ones hold a
// replica.
func newSite(t *testing.T, replicas int, places ...request.DomainName) *site {
	t.Helper()
	si := planSite(t, replicas, places...)
	for _, me := range si.hosts {
		me.start()
	}
	si.awaitVersion(1)
	si.awaitTargets(len(places))
	return si
}

// planSite makes the settings of a site.
func planSite(t *testing.T, replicas int, places ...request.DomainName) *site {
	t.Helper()
	si := &site{t: t, network: newNetwork(t), record: newRecord()}
	initial, err := filepath.Abs("../../examples/gota-justa.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	var members []settings.Member
	block := blocks.Add(1)
	for index, domain := range places {
		address := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, block, 1+index)
		si.network.domains[address] = domain
		me := &member{site: si, forced: &forced{}, target: startTarget(t, si.record, address)}
		me.settings = &settings.Settings{
			Node: request.NodeID(fmt.Sprintf("host-%d", index)), FailureDomain: domain, Service: "agenda",
			Target:   settings.Address(me.target.address),
			Listen:   settings.Listen{Callers: at(address, 7401), Outbound: at(address, 7402), Peers: at(address, 7403), Admin: at(address, 7404)},
			Security: settings.Security{PlaintextOnLoopback: true},
		}
		region, _, _ := strings.Cut(string(domain), "-")
		me.settings.Region = request.RegionName(region)
		si.hosts = append(si.hosts, me)
		if index < replicas {
			members = append(members, settings.Member{Node: me.settings.Node, Address: me.settings.Listen.Peers, FailureDomain: domain})
			me.settings.DataFolder = t.TempDir()
		}
	}
	for _, me := range si.hosts {
		for _, seed := range members {
			me.settings.Seeds = append(me.settings.Seeds, seed.Address)
		}
		if me.settings.DataFolder != "" {
			me.settings.Replica = settings.Replica{Members: members, InitialConfiguration: initial}
		}
	}
	return si
}

func at(address string, number int) settings.Address {
	return settings.Address(net.JoinHostPort(address, strconv.Itoa(number)))
}

func (me *member) start() {
	ctx, stop := context.WithCancel(context.Background())
	process := &host.Host{
		Settings: me.settings,
		Logger:   &log.Logger{Writer: &log.IOWriter{Writer: me.forced}},
		Dial:     me.site.network.dialer(me.settings.FailureDomain),
	}
	done := make(chan error, 1)
	me.stop, me.done = stop, done
	me.forced.restart()
	go func() {
		err := process.Run(ctx)
		if err != nil && ctx.Err() == nil {
			me.site.t.Errorf("%s: %v", me.settings.Node, err)
		}
		done <- err
	}()
	me.site.t.Cleanup(func() {
		stop()
		me.target.letGo()
		me.site.network.heal()
		<-done
		done <- nil
	})
}

// end stops the host as planned and waits for its end.
func (me *member) end() {
	me.stop()
	err := <-me.done
	me.done <- err
}

func (si *site) in(domain request.DomainName) *member {
	for _, me := range si.hosts {
		if me.settings.FailureDomain == domain {
			return me
		}
	}
	si.t.Fatalf("no host in %s", domain)
	return nil
}

// forced notes the versions that one host put in force since its start, from
// its log.
type forced struct {
	lock     sync.Mutex
	versions []int
	log      []byte
}

func (fo *forced) restart() {
	fo.lock.Lock()
	defer fo.lock.Unlock()
	fo.versions = nil
}

// Write takes one line of the log.
func (fo *forced) Write(line []byte) (int, error) {
	entry := struct {
		Message string `json:"message"`
		Version int    `json:"version"`
	}{}
	fo.lock.Lock()
	defer fo.lock.Unlock()
	fo.log = append(fo.log, line...)
	if json.Unmarshal(line, &entry) == nil && entry.Message == "configuration: version in force" {
		fo.versions = append(fo.versions, entry.Version)
	}
	return len(line), nil
}

func (fo *forced) all() []int {
	fo.lock.Lock()
	defer fo.lock.Unlock()
	return append([]int(nil), fo.versions...)
}

// text gives the log of the host.
func (fo *forced) text() string {
	fo.lock.Lock()
	defer fo.lock.Unlock()
	return string(fo.log)
}

func (fo *forced) latest() int {
	all := fo.all()
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}

// awaitVersion waits until a version is in force at the hosts, or at all.
func (si *site) awaitVersion(version int, at ...*member) {
	si.t.Helper()
	if len(at) == 0 {
		at = si.hosts
	}
	for _, me := range at {
		gomega.NewWithT(si.t).Eventually(me.forced.latest).WithTimeout(patience).
			Should(gomega.Equal(version), me.forced.text)
	}
}

// awaitTargets waits until as many targets are known to be there and not down.
func (si *site) awaitTargets(count int) {
	si.t.Helper()
	gomega.NewWithT(si.t).Eventually(func() int {
		list, _ := ask[operator.Targets](si.hosts[0], operator.ListTargets, operator.Done{})
		up := 0
		for _, row := range list.Targets {
			if row.State != "down" {
				up++
			}
		}
		return up
	}).WithTimeout(patience).Should(gomega.Equal(count))
}

// ask sends an operator's request to one host.
func ask[Answer any](me *member, verb operator.Verb, message any) (Answer, error) {
	client := &operator.Client{Base: "http://" + string(me.settings.Listen.Admin), HTTP: http.DefaultClient}
	return operator.Ask[Answer](me.site.t.Context(), client, verb, message)
}

func patch(id string, base configuration.Version) operator.Patch {
	operations := fmt.Sprintf(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"%dms"}]`, 2000+base)
	return operator.Patch{ID: id, Base: base, Operator: id, Operations: json.RawMessage(operations)}
}

// accept patches a base at a host, sending again until the outcome is told.
func (me *member) accept(id string, base configuration.Version) {
	me.site.t.Helper()
	outcome := me.outcome(patch(id, base))
	gomega.NewWithT(me.site.t).Expect(outcome.State).To(gomega.Equal(operator.StateAccepted), fmt.Sprint(outcome))
	gomega.NewWithT(me.site.t).Expect(outcome.Version).To(gomega.Equal(base + 1))
}

func (me *member) outcome(sent operator.Patch) operator.PatchOutcome {
	me.site.t.Helper()
	var outcome operator.PatchOutcome
	gomega.NewWithT(me.site.t).Eventually(func() (err error) {
		outcome, err = ask[operator.PatchOutcome](me, operator.CreatePatch, sent)
		return err
	}).WithTimeout(patience).Should(gomega.Succeed())
	return outcome
}

// awaitHeld waits until a target holds a request, and gives its host.
func (si *site) awaitHeld() *member {
	si.t.Helper()
	var holder *member
	gomega.NewWithT(si.t).Eventually(func() *member {
		for _, me := range si.hosts {
			select {
			case <-me.target.held:
				holder = me
			default:
			}
		}
		return holder
	}).WithTimeout(patience).ShouldNot(gomega.BeNil())
	return holder
}

// callers keep no connection that a planned stop would wait for.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// reply is what a caller was told.
type reply struct {
	status  int
	code    request.Code
	outcome string
	body    string
}

// call sends a caller's request for agenda to a host.
func (me *member) call(method, path, key string) reply {
	outgoing, err := http.NewRequestWithContext(me.site.t.Context(), method, "http://"+string(me.settings.Listen.Callers)+path, nil)
	if err != nil {
		return reply{}
	}
	outgoing.Host = "agenda"
	if key != "" {
		outgoing.Header.Set("Idempotency-Key", key)
	}
	answer, err := callers.Do(outgoing)
	if err != nil {
		return reply{}
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	told := struct {
		Code    request.Code `json:"code"`
		Outcome string       `json:"outcome"`
	}{}
	_ = json.Unmarshal(content, &told)
	return reply{answer.StatusCode, told.Code, told.Outcome, string(content)}
}

func (me *member) book(key string) reply { return me.call(http.MethodPost, "/visits", key) }

func (me *member) checklist(number int) reply {
	return me.call(http.MethodGet, "/visits/"+strconv.Itoa(number)+"/checklist", "")
}
