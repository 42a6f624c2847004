// Package root is the command line of magnolia-load: it parses the arguments
// and runs the command.
//
// # Usage
//
//	os.Exit(int(root.Main(ctx, factory.New(), os.Args[1:])))
package root

import (
	"context"
	"errors"

	"github.com/alecthomas/kong"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/demo"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/measure"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes.
const (
	ExitOK        ExitCode = 0
	ExitFailure   ExitCode = 1
	ExitUsage     ExitCode = 2
	ExitCancelled ExitCode = 130
)

// commands is the grammar of the command line.
type commands struct {
	Demo    demo.Options    `cmd:"" help:"Show magnoliawall and the naive version under the same load."`
	Measure measure.Options `cmd:"" help:"Run a measurement by name."`
}

// Main runs the command that the arguments name.
func Main(ctx context.Context, tools *factory.Factory, arguments []string) ExitCode {
	line := &commands{Demo: *demo.New(tools), Measure: *measure.New()}
	exit := ExitOK
	exited := false
	parser, err := kong.New(
		line,
		kong.Name("magnolia-load"),
		kong.Description("Stand-in targets, load and measurements for magnoliawall."),
		kong.Writers(tools.Streams.Out, tools.Streams.Err),
		kong.Exit(func(code int) { exit, exited = ExitCode(code), true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(tools),
		kong.UsageOnError(),
	)
	if err != nil {
		tools.Streams.Errorf("magnolia-load: %v", err)
		return ExitFailure
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return exit
	}
	if err != nil {
		tools.Streams.Errorf("magnolia-load: %v; see magnolia-load --help", err)
		return ExitUsage
	}
	return exitOf(tools, parsed.Run())
}

func exitOf(tools *factory.Factory, err error) ExitCode {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	}
	tools.Streams.Errorf("magnolia-load: %v", err)
	return ExitFailure
}
