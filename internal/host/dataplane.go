package host

import (
	"bytes"
	"context"
	"io"
	"net"
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
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	reportTimeout = time.Second
	leaveTimeout  = 300 * time.Millisecond
)

// dataPlane is the node of the local target and its registry client.
type dataPlane struct {
	host           *Host
	node           *node.Node
	balancer       *balancer.Balancer
	guard          *quarantine.Guard
	registryClient *registry.Client
	versions       chan configuration.Version
	// checkedText is the configuration text that was checked last, and checkedDocument what
	// was parsed from it.
	checkedText     []byte
	checkedDocument *configuration.Document
	// background ends when the process stops, after the node has drained.
	background context.Context
	// targetDown is set when the target died, and cleared when it accepts
	// connections again.
	targetDown      atomic.Bool
	announcedTarget *announcedTarget
	connections     connectionPool
}

// addDataPlane adds the node and the registry client, on a host with a target.
// The node drains when ctx ends; the registry client runs until background ends.
func (host *Host) addDataPlane(ctx, background context.Context, group *run.Group) error {
	if host.Settings.Service == "" {
		return nil
	}
	plane := &dataPlane{host: host, background: background, versions: make(chan configuration.Version, 1)}
	plane.announcedTarget = &announcedTarget{plane: plane, presence: presence.Presence{StartedAt: host.startedAt, Address: presence.Address(host.Settings.Target)}}
	plane.build()
	host.dataPlane = plane
	listeners, err := host.openListeners()
	if err != nil {
		return err
	}
	group.Add(func() error {
		return plane.node.Run(ctx, listeners)
	}, func(error) { host.drain() })
	plane.addRegistryClient(background, group)
	return nil
}

func (host *Host) openListeners() (node.Listeners, error) {
	listeners := node.Listeners{}
	var err error
	if listeners.Callers, err = listen(host.Settings.Listen.Callers); err != nil {
		return listeners, err
	}
	if listeners.Target, err = listen(host.Settings.Listen.Outbound); err != nil {
		return listeners, err
	}
	if host.controlPlane == nil {
		listeners.Peers, err = listen(host.Settings.Listen.Peers)
	}
	return listeners, err
}

func (plane *dataPlane) build() {
	host := plane.host
	plane.balancer = &balancer.Balancer{Self: host.Settings.Node, Place: host.place, Links: &balancer.Links{}}
	plane.guard = &quarantine.Guard{Crash: quarantine.Crash{
		Node:        host.Settings.Node,
		Domain:      host.place.Domain,
		Incarnation: quarantine.Incarnation(host.incarnation),
	}}
	plane.connections = connectionPool{balancer: plane.balancer, transport: host.transport}
	plane.registryClient = plane.newRegistryClient()
	plane.node = &node.Node{
		ID:                    host.Settings.Node,
		Place:                 host.place,
		Service:               host.Settings.Service,
		Configuration:         host.configuration,
		Balancer:              plane.balancer,
		Transport:             host.transport,
		Target:                &web.TargetClient{Address: string(host.Settings.Target), Connections: initialConnectionLimit},
		Claims:                &control.Client{Transport: host.transport, Replicas: host.replicaDirectory},
		Quotas:                plane.newQuotaClient(),
		TargetAnnouncesItself: host.Platform != nil,
		RetryBudget:           nodeBudget(host.Settings.RetryBudget, 0),
		KeyLifetime:           time.Duration(host.Settings.Keys.Lifetime),
		Linger:                time.Duration(host.Settings.Stop.Linger),
		Grace:                 time.Duration(host.Settings.Stop.Grace),
		ForecastTime:          time.Duration(host.Settings.Stop.ForecastTime),
		Guard:                 plane.guard,
		Logger:                host.Logger,
		Decisions:             &decision.Log{Logger: host.Logger},
		OnDrain:               plane.announceDrain,
		OnTargetDeath:         plane.reportTargetDeath,
		OnTargetLeaving:       plane.reportTargetLeaving,
	}
	if host.Platform != nil {
		plane.node.Dialect = host.Platform.Dialect()
		plane.node.MaxProcessorLag = maxProcessorLag
	}
	plane.node.Prepare()
	if host.controlPlane == nil {
		host.transport.Handlers[peer.KindControl] = (&control.Server{Ledger: unavailableLedger{}, Operations: operateFunc(host.operateForPeer)}).Serve
	}
}

// maxProcessorLag is half of the time within which the node has to notice that a
// caller of a platform closed its connection. When work waits longer than this
// for the processor, a call may be sent to the target before the node reads that
// its caller has gone.
const maxProcessorLag = 250 * time.Millisecond

// initialConnectionLimit bounds the connections to the target until the first
// configuration version is active.
const initialConnectionLimit = 512

func (plane *dataPlane) newRegistryClient() *registry.Client {
	host := plane.host
	return &registry.Client{
		Self: membership.Announcement{
			Node:        host.Settings.Node,
			Incarnation: membership.Incarnation(host.incarnation),
			Address:     string(host.Settings.PeerAddress()),
			Place:       host.place,
			Service:     host.Settings.Service,
			State:       plane.initialState(),
		},
		Replicas:         host.replicaDirectory,
		Open:             registry.OpenPeer(host.transport),
		Links:            plane.balancer.Links,
		RestrictedTarget: func(now time.Time) *distribution.RestrictedTarget { return plane.node.RestrictedTarget(now) },
		Follower:         &distribution.Follower{Patch: ledger.ApplyDelta, Check: plane.checkConfiguration},
		Events: registry.Events{
			Targets:       func(now time.Time, view balancer.View) { plane.balancer.Update(now, view) },
			Configuration: plane.activate,
			Confirmed:     func(at time.Time) { plane.node.ConfirmKeys(at) },
			Reports:       func(now time.Time, reports []quarantine.Report) { plane.guard.Apply(now, reports...) },
			Problem:       plane.logProblem,
		},
		Logger: host.Logger,
	}
}

// initialState is the target state that is announced at the start. A target that
// announces itself gets no calls before its first announcement.
func (plane *dataPlane) initialState() membership.State {
	if plane.host.Platform != nil {
		return membership.Down
	}
	return membership.Cold
}

// checkConfiguration returns an error for a text that this node cannot use. Otherwise it keeps
// what it has parsed for activate, which the registry client calls next. Only that client's
// goroutine calls both.
func (plane *dataPlane) checkConfiguration(text []byte) error {
	document, err := configuration.Parse(text)
	plane.checkedText, plane.checkedDocument = text, document
	return err
}

// checkedConfiguration returns the document of a text, which is parsed unless it was the last
// one to be checked.
func (plane *dataPlane) checkedConfiguration(text []byte) (*configuration.Document, error) {
	document, same := plane.checkedDocument, bytes.Equal(plane.checkedText, text)
	plane.checkedText, plane.checkedDocument = nil, nil
	if document != nil && same {
		return document, nil
	}
	return configuration.Parse(text)
}

// activate makes a configuration version the active one at this node.
func (plane *dataPlane) activate(number configuration.Version, text []byte) {
	document, err := plane.checkedConfiguration(text)
	if err != nil {
		plane.logProblem("configuration version is invalid and was not activated", err)
		return
	}
	if !plane.host.configuration.Replace(node.CompileConfiguration(number, text, document)) {
		return
	}
	plane.host.Logger.Info().Uint64("version", uint64(number)).Msg("configuration: version in force")
	if plane.host.OnVersionActivated != nil {
		plane.host.OnVersionActivated(number)
	}
	select {
	case plane.versions <- number:
	default:
	}
}

func (plane *dataPlane) logProblem(problem string, err error) {
	plane.host.Logger.Error().Err(err).Msg("registry: " + problem)
}

// addRegistryClient runs the registry client and applies each active version.
func (plane *dataPlane) addRegistryClient(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return plane.registryClient.Run(ctx)
	}, func(error) {
		leaving, stop := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
		defer stop()
		_ = plane.registryClient.Leave(leaving)
		if plane.host.controlPlane != nil {
			// Gives the replica on this host time to tell the other nodes.
			time.Sleep(leaveTimeout)
		}
		cancel()
	})
	watching, stop := context.WithCancel(ctx)
	group.Add(func() error {
		plane.maintain(watching)
		return nil
	}, func(error) { stop() })
}

// maintain applies each activated version, and runs the periodic maintenance.
func (plane *dataPlane) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-plane.versions:
			plane.applyVersion(ctx)
			plane.announcedTarget.recheck()
		case now := <-ticker.C:
			plane.runMaintenance(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (plane *dataPlane) applyVersion(ctx context.Context) {
	document := plane.host.configuration.Current().Document
	own := document.Services[plane.node.LocalTarget().Service]
	plane.balancer.Links.SetCapacity(balancer.Rate(document.Links.BytesPerSecond), document.Links.ShareForUnimportant)
	plane.guard.SetHold(time.Duration(document.Quarantine.Hold))
	if own.Slots > 0 {
		if err := plane.registryClient.SetSlots(ctx, membership.Slots(own.Slots)); err != nil {
			return
		}
	}
	_ = plane.registryClient.SetServices(ctx, plane.calledServices(document))
}

// calledServices lists the services that this node sends calls to: all of them if
// it serves callers, otherwise those that its target calls.
func (plane *dataPlane) calledServices(document *configuration.Document) []request.ServiceName {
	if plane.host.Settings.Listen.Callers == "" {
		return document.Services[plane.host.Settings.Service].Calls
	}
	names := make([]request.ServiceName, 0, len(document.Services))
	for name := range document.Services {
		names = append(names, name)
	}
	return names
}

// announceDrain tells the registry that the target is draining.
func (plane *dataPlane) announceDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = plane.registryClient.SetState(ctx, membership.Draining)
}

// reportTargetLeaving tells the registry that the target said in an answer that it is
// leaving.
func (plane *dataPlane) reportTargetLeaving(local node.LocalTarget) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if plane.host.Platform != nil {
		plane.announcedTarget.leave(ctx, local)
		return
	}
	if err := plane.registryClient.SetState(ctx, membership.Down); err != nil {
		plane.logProblem("that the target is leaving was not sent to a replica", err)
	}
	plane.host.Logger.Info().Str("seen", plane.awaitTargetEnd()).Msg("target: the run that was leaving has ended; the next one gets calls")
	plane.node.ForgetLocalTarget()
	plane.targetDown.Store(true)
}

// awaitTargetEnd waits until a new connection to the target is refused or closed, which
// tells the end of its run where targets do not announce themselves. It returns what was
// seen of that.
func (plane *dataPlane) awaitTargetEnd() string {
	conn, err := net.DialTimeout("tcp", string(plane.host.Settings.Target), reportTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(plane.background, func() { _ = conn.Close() })
	defer stop()
	if _, err = io.Copy(io.Discard, conn); err != nil {
		return err.Error()
	}
	return "the target closed the connection"
}

func (plane *dataPlane) reportTargetDeath(report quarantine.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = plane.registryClient.Report(ctx, report)
	if plane.host.Platform != nil {
		plane.announcedTarget.markDown(ctx)
		return
	}
	_ = plane.registryClient.SetState(ctx, membership.Down)
	plane.targetDown.Store(true)
}
