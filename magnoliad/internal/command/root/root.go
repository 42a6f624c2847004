// Package root defines the command line of magnoliad.
//
// # Usage
//
//	os.Exit(int(root.Main(ctx, factory.New(), os.Args[1:])))
package root

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/checksettings"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/run"
)

// commands is the kong grammar of the command line.
type commands struct {
	Run           run.Options           `cmd:"" help:"Run the node of this host."`
	CheckSettings checksettings.Options `cmd:"" help:"Check a settings file and name every fault."`
}

// Main parses the arguments and runs the command that they name.
func Main(ctx context.Context, tools *factory.Factory, arguments []string) program.ExitCode {
	grammar := &commands{Run: *run.New(), CheckSettings: *checksettings.New()}
	magnoliad := program.Program{
		Name:        "magnoliad",
		Description: "The node of magnoliawall on one target host.",
		Streams:     tools.Streams,
		Bindings:    []any{tools},
	}
	return magnoliad.Main(ctx, grammar, arguments)
}
