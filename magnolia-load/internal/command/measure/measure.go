// Package measure implements the command `magnolia-load measure NAME`.
//
// # Usage
//
//	options := &measure.Options{Name: "overload", Seed: 1}
//	err := options.Run(ctx, tools)
package measure

import (
	"context"
	"strings"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/measure"
)

// Options holds the arguments and flags of the command.
type Options struct {
	Name   string `arg:"" help:"Name of the measurement."`
	Seed   uint64 `default:"1" help:"Seed of the first run; each further run adds one."`
	Runs   int    `help:"Number of runs; five, or two for the longer measurements." placeholder:"NUMBER"`
	Write  bool   `help:"Keep the page and plots in the folder."`
	Folder string `default:"docs/measurements" help:"Folder of the pages."`
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Runs a measurement several times and ends with a line for each figure, the
median over the runs, beside the naive version on the same load and seed.

Measurements: ` + strings.Join(measure.Names(), ", ") + `

Examples:
  magnolia-load measure overload
  magnolia-load measure added-time --runs 3 --seed 7
  magnolia-load measure recovery --write`
}

// Run runs the measurement and prints its figures.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	found, ok := measure.Find(options.Name)
	if !ok {
		return program.WithCode(program.ExitUsage, oops.Errorf("no measurement is named %q; choose from: %s", options.Name, strings.Join(measure.Names(), ", ")))
	}
	if options.Runs < 0 {
		return program.WithCode(program.ExitUsage, oops.Errorf("--runs must not be negative"))
	}
	report, err := measure.Repeat(ctx, found, measure.Settings{
		Seed:     options.Seed,
		Runs:     options.Runs,
		Progress: tools.Streams.Progressf,
	})
	if err != nil {
		return err
	}
	if options.Write {
		if err := report.Write(options.Folder); err != nil {
			return err
		}
	}
	report.WriteLines(tools.Streams.Out)
	return nil
}
