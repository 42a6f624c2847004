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

// announced holds what the local target says of itself.
type announced struct {
	site *site

	lock     sync.Mutex
	presence presence.Presence
}

// Announce takes in an announcement; the node follows it at once, and other
// nodes as soon as they hear of it.
func (an *announced) Announce(ctx context.Context, told presence.Announcement) presence.Verdict {
	an.lock.Lock()
	defer an.lock.Unlock()
	before, served := an.presence.Current()
	verdict := an.presence.Announce(time.Now(), told)
	current, serving := an.presence.Current()
	if verdict == presence.Outdated {
		an.log("announcement is outdated", told, serving)
		return verdict
	}
	if before.Instance != current.Instance || served != serving {
		an.log("target changed", told, serving)
	}
	an.follow(ctx)
	return verdict
}

// Withdraw ends the life of a target.
func (an *announced) Withdraw(ctx context.Context, instance request.InstanceID) {
	an.lock.Lock()
	defer an.lock.Unlock()
	wasCurrent := an.presence.Withdraw(time.Now(), instance)
	an.site.host.Logger.Info().Str("instance", string(instance)).Bool("current", wasCurrent).Msg("target: withdrawn")
	an.follow(ctx)
}

func (an *announced) log(what string, told presence.Announcement, serving bool) {
	an.site.host.Logger.Info().Str("instance", string(told.Instance)).Str("service", string(told.Service)).
		Int64("birth", int64(told.StartMillis)).Int64("sequence", int64(told.Sequence)).Int("slots", told.Slots).
		Bool("draining", told.Draining).Bool("serving", serving).Msg("target: " + what)
}

// follow brings the node and the registry to what is known of the target.
func (an *announced) follow(ctx context.Context) {
	current, serving := an.presence.Current()
	current.Service = cmp.Or(current.Service, an.site.host.Settings.Service)
	an.site.node.SetLocalTarget(node.LocalTarget{
		Instance: current.Instance,
		Service:  current.Service,
		Slots:    current.Slots,
		Serving:  serving,
	})
	state := membership.Down
	switch {
	case serving && current.ColdRemaining > 0:
		state = membership.Cold
	case serving:
		state = membership.Ready
	}
	if err := an.site.client.Present(ctx, current.Service, membership.Slots(current.Slots), state); err != nil {
		an.site.problem("the announcement was not passed on", err)
	}
}

// died notes that the target's process is gone: it gets nothing until it
// announces itself again.
func (an *announced) died(ctx context.Context) {
	an.lock.Lock()
	defer an.lock.Unlock()
	current, _ := an.presence.Current()
	current.Service = cmp.Or(current.Service, an.site.host.Settings.Service)
	an.site.node.SetLocalTarget(node.LocalTarget{Instance: current.Instance, Service: current.Service, Slots: current.Slots})
	if err := an.site.client.Change(ctx, membership.Down); err != nil {
		an.site.problem("the target's death was not passed on", err)
	}
}

// addPlatform serves the calls of the platform.
func (ho *Host) addPlatform(group *run.Group) error {
	if ho.Platform == nil {
		return nil
	}
	var targets port.Targets
	var documents port.Documents
	if ho.site != nil {
		targets = ho.site.announced
	}
	if ho.seat != nil {
		documents = ho.seat
	}
	if err := ho.servePlatform(group, ho.Settings.Platform.Control, ho.Platform.Control(targets, documents)); err != nil {
		return err
	}
	if ho.site == nil {
		return nil
	}
	return ho.servePlatform(group, ho.Settings.Platform.Ready, ho.Platform.Ready(ho.site.node.Ready))
}

// servePlatform ends at once when the process stops: until then the platform
// sees that the node leaves, and targets can still announce that they do.
func (ho *Host) servePlatform(group *run.Group, address settings.Address, handler http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: ho.Logger.Std("platform: ", 0)}
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) { _ = server.Close() })
	return nil
}
