package host

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// announcedTarget is the state of the local target by its own announcements.
type announcedTarget struct {
	plane *dataPlane

	lock     sync.Mutex
	presence presence.Presence
	// checking says that the target is being asked to confirm its announcement, and
	// checkedAt when it was last asked.
	checking  bool
	checkedAt time.Time
}

// Announce implements [port.TargetAnnouncements]. The node applies the announcement before it
// returns; other nodes do when the registry tells them.
func (target *announcedTarget) Announce(ctx context.Context, announcement presence.Announcement) presence.Verdict {
	target.lock.Lock()
	defer target.lock.Unlock()
	before, served := target.presence.Current()
	verdict := presence.Foreign
	if target.plane.knowsService(announcement.Service) {
		verdict = target.presence.Announce(time.Now(), announcement)
	}
	current, serving := target.presence.Current()
	if verdict != presence.Accepted {
		target.logAnnouncement("announcement is "+verdict.String(), announcement, serving)
		return verdict
	}
	if before.Instance != current.Instance || served != serving {
		target.logAnnouncement("target changed", announcement, serving)
	}
	target.applyPresence(ctx)
	target.startCheck()
	return verdict
}

// knowsService reports whether a service is that of this host or in the configuration in
// force. Before there is one, all are known.
func (plane *dataPlane) knowsService(service request.ServiceName) bool {
	current := plane.host.configuration.Current()
	_, configured := current.Document.Services[service]
	return configured || service == plane.host.Settings.Service || current.Version == 0
}

// confirmTimeout bounds the health check that confirms an announcement, and
// confirmInterval the time between two of them.
const (
	confirmTimeout  = time.Second
	confirmInterval = time.Second
)

// recheck asks the target again to confirm its announcement, if that is still needed.
func (target *announcedTarget) recheck() {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.startCheck()
}

// startCheck asks the target in the background to confirm its announcement, if that is
// needed and the configuration tells how. The lock is held.
func (target *announcedTarget) startCheck() {
	announcement, ok := target.presence.Unconfirmed()
	if !ok || target.checking || time.Since(target.checkedAt) < confirmInterval {
		return
	}
	document := target.plane.host.configuration.Current().Document
	service, known := document.Services[announcement.Service]
	if !known {
		return
	}
	target.checking, target.checkedAt = true, time.Now()
	go func() {
		var err error
		if service.HealthPath != "" {
			err = target.plane.node.CheckTarget(announcement.Instance, service.HealthPath, confirmTimeout)
		}
		target.finishCheck(announcement, err)
	}()
}

// finishCheck takes over the result of the target's health check, which is nil if the
// target is healthy.
func (target *announcedTarget) finishCheck(announcement presence.Announcement, err error) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.checking = false
	if err != nil {
		target.plane.host.Logger.Warn().Str("instance", string(announcement.Instance)).Err(err).
			Msg("target: announcement from before the start of this process is not confirmed; the target gets no calls yet")
		return
	}
	if !target.presence.Confirm(announcement) {
		return
	}
	target.logAnnouncement("announcement from before the start of this process is confirmed", announcement, true)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	target.applyPresence(ctx)
}

// leave records that the target said in an answer that it is leaving.
func (target *announcedTarget) leave(ctx context.Context, local node.LocalTarget) {
	target.lock.Lock()
	defer target.lock.Unlock()
	if target.presence.Leave(local.Instance, local.StartMillis) {
		target.applyPresence(ctx)
	}
}

// Withdraw implements [port.TargetAnnouncements].
func (target *announcedTarget) Withdraw(ctx context.Context, instance request.InstanceID) {
	target.lock.Lock()
	defer target.lock.Unlock()
	wasCurrent := target.presence.Withdraw(time.Now(), instance)
	target.plane.host.Logger.Info().Str("instance", string(instance)).Bool("current", wasCurrent).Msg("target: withdrawn")
	target.applyPresence(ctx)
}

func (target *announcedTarget) logAnnouncement(event string, announcement presence.Announcement, serving bool) {
	target.plane.host.Logger.Info().Str("instance", string(announcement.Instance)).Str("service", string(announcement.Service)).Str("address", string(announcement.Address)).
		Int64("birth", int64(announcement.StartMillis)).Int64("sequence", int64(announcement.Sequence)).Int("slots", announcement.Slots).
		Bool("draining", announcement.Draining).Bool("serving", serving).Msg("target: " + event)
}

// applyPresence passes the target's state to the node and the registry.
func (target *announcedTarget) applyPresence(ctx context.Context) {
	current, serving := target.presence.Current()
	current.Service = cmp.Or(current.Service, target.plane.host.Settings.Service)
	target.plane.node.SetLocalTarget(node.LocalTarget{
		Instance:    current.Instance,
		StartMillis: current.StartMillis,
		Service:     current.Service,
		Slots:       current.Slots,
		Serving:     serving,
	})
	state := membership.Down
	switch {
	case serving && current.ColdRemaining > 0:
		state = membership.Cold
	case serving:
		state = membership.Ready
	}
	if err := target.plane.registryClient.SetTarget(ctx, current.Service, membership.Slots(current.Slots), state); err != nil {
		target.plane.logProblem("the target's announcement was not sent to a replica", err)
	}
}

// markDown records that the target's process died: it gets no calls until it
// announces itself again.
func (target *announcedTarget) markDown(ctx context.Context) {
	target.lock.Lock()
	defer target.lock.Unlock()
	current, _ := target.presence.Current()
	current.Service = cmp.Or(current.Service, target.plane.host.Settings.Service)
	target.plane.node.SetLocalTarget(node.LocalTarget{Instance: current.Instance, StartMillis: current.StartMillis, Service: current.Service, Slots: current.Slots})
	if err := target.plane.registryClient.SetState(ctx, membership.Down); err != nil {
		target.plane.logProblem("the target's death was not sent to a replica", err)
	}
}

// addPlatform serves the platform's control and readiness endpoints.
func (host *Host) addPlatform(group *run.Group) error {
	if host.Platform == nil {
		return nil
	}
	var targets port.TargetAnnouncements
	var documents port.ConfigurationStore
	if host.dataPlane != nil {
		targets = host.dataPlane.announcedTarget
	}
	if host.controlPlane != nil {
		documents = host.controlPlane
	}
	if err := host.servePlatform(group, host.Settings.Platform.Control, host.Platform.Control(targets, documents)); err != nil {
		return err
	}
	if host.dataPlane == nil {
		return nil
	}
	return host.servePlatform(group, host.Settings.Platform.Ready, host.Platform.Ready(host.dataPlane.node.Ready))
}

// servePlatform serves one endpoint for the platform. It closes at once when the
// process stops, and not before: while the node drains, the platform sees that it
// is not ready, and targets can announce that they drain.
func (host *Host) servePlatform(group *run.Group, address settings.Address, handler http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: host.Logger.Std("platform: ", 0)}
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) { _ = server.Close() })
	return nil
}
