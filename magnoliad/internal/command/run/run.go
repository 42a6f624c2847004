// Package run implements the command `magnoliad run`.
//
// # Usage
//
//	command := run.New()
//	command.Settings = "/etc/magnoliad/node.jsonc"
//	err := command.Run(ctx, tools)
package run

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/memory"
	"github.com/magnoliawall/magnoliawall/internal/settings"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/platform"
)

// Options holds the arguments of the command.
type Options struct {
	Settings string `arg:"" env:"MAGNOLIAWALL_CONFIG" help:"Settings file of this process, JSON with comments."`
}

// New returns the command without arguments.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Runs the node of this host, and the replica that its settings name, until
SIGTERM or SIGINT. Then it tells its peers that its target leaves, accepts no new
calls, finishes every request in flight, uploads included, and exits 0. Another
SIGTERM changes nothing; SIGINT then ends the process at once. On SIGHUP, and when
the file changes without a signal, it reloads its settings: seeds and log-level
take effect at once.

Examples:
  magnoliad run /etc/magnoliad/node.jsonc`
}

// Run runs the node until the context ends and reloads its settings on SIGHUP and
// when the file changes.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	watcher := &settings.Watcher{Path: options.Settings, Signals: tools.Reloads, Load: tools.Settings}
	watcher.Remember()
	loaded, err := tools.Settings(options.Settings)
	if err != nil {
		return err
	}
	memory.Tune(loaded.HoldsReplica(), int64(loaded.Memory))
	process := &host.Host{Settings: loaded, Logger: tools.Logger(loaded.LogLevel)}
	if loaded.OnPlatform() {
		process.Platform = platform.Adapter{}
	}
	watchContext, stop := context.WithCancel(ctx)
	defer stop()
	watcher.OnChange = process.Reload
	watcher.OnError = func(err error) {
		process.Logger.Error().Err(err).Msg("settings: reload failed; the previous settings stay in use")
	}
	go watcher.Run(watchContext)
	return process.Run(ctx)
}
