package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/registry"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	reportTimeout = time.Second
	leaveTime     = 300 * time.Millisecond
)

// site is the part of a host that has a target: its node and its membership.
type site struct {
	host     *Host
	node     *node.Node
	chooser  *balancer.Balancer
	guard    *quarantine.Guard
	client   *registry.Client
	versions chan configuration.Version
	// down says that the target died and has not been seen again.
	down        atomic.Bool
	announced   *announced
	connections connections
}

// addSite joins a host with a target to the run. The node drains when ctx ends;
// its membership goes on until background ends.
func (ho *Host) addSite(ctx, background context.Context, group *run.Group) error {
	if ho.Settings.Service == "" {
		return nil
	}
	st := &site{host: ho, versions: make(chan configuration.Version, 1)}
	st.announced = &announced{site: st}
	st.build()
	ho.site = st
	listeners, err := ho.listeners()
	if err != nil {
		return err
	}
	group.Add(func() error {
		return st.node.Run(ctx, listeners)
	}, func(error) { ho.drain() })
	st.addClient(background, group)
	return nil
}

func (ho *Host) listeners() (node.Listeners, error) {
	found := node.Listeners{}
	var err error
	if found.Callers, err = listen(ho.Settings.Listen.Callers); err != nil {
		return found, err
	}
	if found.Target, err = listen(ho.Settings.Listen.Outbound); err != nil {
		return found, err
	}
	if ho.seat == nil {
		found.Peers, err = listen(ho.Settings.Listen.Peers)
	}
	return found, err
}

func (st *site) build() {
	ho := st.host
	st.chooser = &balancer.Balancer{Self: ho.Settings.Node, Place: ho.place, Links: &balancer.Links{}}
	st.guard = &quarantine.Guard{Crash: quarantine.Crash{
		Node:        ho.Settings.Node,
		Domain:      ho.place.Domain,
		Incarnation: quarantine.Incarnation(ho.incarnation),
	}}
	st.connections = connections{chooser: st.chooser, transport: ho.transport}
	st.client = st.newClient()
	st.node = &node.Node{
		ID:                    ho.Settings.Node,
		Place:                 ho.place,
		Service:               ho.Settings.Service,
		Configuration:         ho.holder,
		Chooser:               st.chooser,
		Transport:             ho.transport,
		Target:                &web.TargetClient{Address: string(ho.Settings.Target), Connections: firstConnections},
		Claims:                &control.Client{Transport: ho.transport, Replicas: ho.replicas},
		TargetAnnouncesItself: ho.Platform != nil,
		RetryBudget:           nodeBudget(ho.Settings.RetryBudget, 0),
		Linger:                time.Duration(ho.Settings.Stop.Linger),
		Grace:                 time.Duration(ho.Settings.Stop.Grace),
		Guard:                 st.guard,
		Logger:                ho.Logger,
		Decisions:             &decision.Log{Logger: ho.Logger},
		OnDrain:               st.announceDrain,
		OnTargetDeath:         st.sendReport,
	}
	if ho.Platform != nil {
		st.node.Dialect = ho.Platform.Dialect()
		st.node.MaxProcessorLag = mostLag
	}
	st.node.Prepare()
	if ho.seat == nil {
		ho.transport.Handlers[peer.KindControl] = (&control.Server{Ledger: noLedger{}, Operations: operations(ho.operateHere)}).Serve
	}
}

// mostLag is half of the time within which a platform's callers that left are to be
// noticed. Where work waits longer for the processor, a call is handed over before its
// caller's leaving is read.
const mostLag = 250 * time.Millisecond

// firstConnections bounds the connections until the first version is in force.
const firstConnections = 512

func (st *site) newClient() *registry.Client {
	ho := st.host
	return &registry.Client{
		Self: membership.Announcement{
			Node:        ho.Settings.Node,
			Incarnation: membership.Incarnation(ho.incarnation),
			Address:     string(ho.Settings.PeerAddress()),
			Place:       ho.place,
			Service:     ho.Settings.Service,
			State:       st.firstState(),
		},
		Replicas: ho.replicas,
		Open:     registry.OpenPeer(ho.transport),
		Links:    st.chooser.Links,
		Follower: &distribution.Follower{Patch: ledger.ApplyDelta, Check: checkText},
		Events: registry.Events{
			Targets:       func(now time.Time, view balancer.View) { st.chooser.Update(now, view) },
			Configuration: st.enforce,
			Reports:       func(now time.Time, report quarantine.Report) { st.guard.Apply(now, report) },
			Problem:       st.problem,
		},
		Logger: ho.Logger,
	}
}

// firstState is what is announced of the target at the start. One that
// announces itself gets no work until it has.
func (st *site) firstState() membership.State {
	if st.host.Platform != nil {
		return membership.Down
	}
	return membership.Cold
}

func checkText(text []byte) error {
	_, err := configuration.Parse(text)
	return err
}

// enforce puts a version in force at this node.
func (st *site) enforce(number configuration.Version, text []byte) {
	active, err := node.NewActiveConfiguration(number, text)
	if err != nil {
		st.problem("a version cannot be used", err)
		return
	}
	if !st.host.holder.Replace(active) {
		return
	}
	st.host.Logger.Info().Uint64("version", uint64(number)).Msg("configuration: version in force")
	if st.host.InForce != nil {
		st.host.InForce(number)
	}
	select {
	case st.versions <- number:
	default:
	}
}

func (st *site) problem(problem string, err error) {
	st.host.Logger.Error().Err(err).Msg("registry: " + problem)
}

// addClient runs the membership, and tells it what the configuration asks for.
func (st *site) addClient(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return st.client.Run(ctx)
	}, func(error) {
		leaving, stop := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
		defer stop()
		_ = st.client.Leave(leaving)
		if st.host.seat != nil {
			// The replica beside it still has to tell the others.
			time.Sleep(leaveTime)
		}
		cancel()
	})
	watching, stop := context.WithCancel(ctx)
	group.Add(func() error {
		st.follow(watching)
		return nil
	}, func(error) { stop() })
}

// follow adapts subscriptions, slots and links to each version in force, and
// does what comes up at intervals.
func (st *site) follow(ctx context.Context) {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-st.versions:
			st.adapt(ctx)
		case now := <-ticker.C:
			st.tend(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (st *site) adapt(ctx context.Context) {
	document := st.host.holder.Current().Document
	own := document.Services[st.node.LocalTarget().Service]
	st.chooser.Links.SetCapacity(balancer.Rate(document.Links.BytesPerSecond), document.Links.ShareForUnimportant)
	st.guard.SetHold(time.Duration(document.Quarantine.Hold))
	if own.Slots > 0 {
		if err := st.client.Resize(ctx, membership.Slots(own.Slots)); err != nil {
			return
		}
	}
	_ = st.client.Watch(ctx, st.services(document))
}

// services lists the services that this node sends calls to: all where callers
// enter, else those that its target calls.
func (st *site) services(document *configuration.Document) []request.ServiceName {
	if st.host.Settings.Listen.Callers == "" {
		return document.Services[st.host.Settings.Service].Calls
	}
	names := make([]request.ServiceName, 0, len(document.Services))
	for name := range document.Services {
		names = append(names, name)
	}
	return names
}

// announceDrain tells the replica that the target leaves.
func (st *site) announceDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = st.client.Change(ctx, membership.Draining)
}

func (st *site) sendReport(report quarantine.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = st.client.Report(ctx, report)
	if st.host.Platform != nil {
		st.announced.died(ctx)
		return
	}
	_ = st.client.Change(ctx, membership.Down)
	st.down.Store(true)
}
