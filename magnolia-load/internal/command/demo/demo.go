// Package demo implements the command `magnolia-load demo`.
//
// # Usage
//
//	options := &demo.Options{For: 10 * time.Second, Seed: 1}
//	err := options.Run(ctx, tools)
package demo

import (
	"context"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

const (
	steadyShare        = 0.3
	overloadShare      = 0.3
	overloadRateFactor = 2
	warmUpDuration     = time.Second
)

// Options holds the flags of the command.
type Options struct {
	For   time.Duration `default:"10s" help:"Length of the load on each version."`
	JSON  bool          `name:"json" help:"Write the tables as one JSON document."`
	Serve bool          `help:"Leave the mesh up and print lines to copy."`
	Seed  uint64        `default:"1" help:"Seed of the load."`
}

// Document is the JSON output. Its times are in seconds; those at the top level
// are magnoliawall's.
type Document struct {
	Seed             uint64             `json:"seed"`
	RecoveryTime     *float64           `json:"recovery-time"`
	PatchInForceTime *float64           `json:"patch-in-force-time"`
	Magnoliawall     experiment.Summary `json:"magnoliawall"`
	Naive            experiment.Summary `json:"naive"`
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Brings up the Gota Justa mesh in small within this process and on loopback:
four services in a chain, a node and a stand-in target of each in every failure
domain of three regions. The load doubles for a while and then ends, and the
configuration is patched in the middle. The naive version gets the same load.

Examples:
  magnolia-load demo
  magnolia-load demo --for 20s --json
  magnolia-load demo --serve`
}

// Run runs the demo on both versions, or serves the mesh until the context ends.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	if options.Serve {
		return options.serve(ctx, tools)
	}
	magnoliawall, err := options.runTrial(ctx, tools, "magnoliawall", tools.Systems.Magnolia())
	if err != nil {
		return err
	}
	naive, err := options.runTrial(ctx, tools, "naive", tools.Systems.Naive())
	if err != nil {
		return err
	}
	document := Document{
		Seed:             options.Seed,
		RecoveryTime:     magnoliawall.RecoveryTime,
		PatchInForceTime: magnoliawall.PatchInForceTime,
		Magnoliawall:     magnoliawall,
		Naive:            naive,
	}
	if options.JSON {
		return terminal.WriteJSON(tools.Streams.Out, document)
	}
	return render(tools.Streams, document)
}

func (options *Options) runTrial(ctx context.Context, tools *factory.Factory, name string, system mesh.Patcher) (experiment.Summary, error) {
	streams := tools.Streams
	streams.Progressf("%s: starting the mesh", name)
	trial := experiment.Trial{
		Design:              tools.Design(),
		System:              system,
		Load:                options.loadProfile(),
		PatchDuringOverload: true,
		Progress: func(progress experiment.Progress) {
			streams.Progressf("%s: %3.0fs %-12s %4.0f requests/s, %4.0f answered whole",
				name, progress.Elapsed.Seconds(), progress.Phase, progress.OfferedRate, progress.Goodput)
		},
	}
	outcome, err := trial.Run(ctx)
	if err != nil {
		return experiment.Summary{}, err
	}
	if outcome.PatchErr != nil {
		streams.Errorf("%s: the patch did not come into force: %v", name, outcome.PatchErr)
	}
	return experiment.Summarize(outcome), ctx.Err()
}

func (options *Options) loadProfile() experiment.LoadProfile {
	before := time.Duration(steadyShare * float64(options.For))
	overload := time.Duration(overloadShare * float64(options.For))
	return experiment.LoadProfile{
		Seed:               options.Seed,
		WarmUp:             warmUpDuration,
		Before:             before,
		Overload:           overload,
		After:              options.For - before - overload,
		OverloadRateFactor: overloadRateFactor,
	}
}
