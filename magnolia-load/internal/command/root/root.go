// Package root implements the command line of magnolia-load.
//
// # Usage
//
//	os.Exit(int(root.Main(ctx, factory.New(), os.Args[1:])))
package root

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/demo"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/measure"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/soak"
)

// commandLine declares the commands for the command line parser.
type commandLine struct {
	Demo    demo.Options    `cmd:"" help:"Show magnoliawall and the naive version under the same load."`
	Measure measure.Options `cmd:"" help:"Run a measurement by name."`
	Soak    soak.Options    `cmd:"" help:"Run real processes under seeded faults and check promises."`
}

// Main runs the command that the arguments name and returns its exit code.
func Main(ctx context.Context, tools *factory.Factory, arguments []string) program.ExitCode {
	app := program.Program{
		Name:        "magnolia-load",
		Description: "Stand-in targets, load and measurements for magnoliawall.",
		Streams:     tools.Streams,
		Bindings:    []any{tools},
	}
	return app.Main(ctx, &commandLine{}, arguments)
}
