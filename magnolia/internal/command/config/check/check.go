// Package check is the command `magnolia config check`.
//
// # Usage
//
//	command := check.New()
//	err := command.Run(ctx, tools)
package check

import (
	"fmt"
	"os"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
)

// Options are the arguments of the command.
type Options struct {
	File string `arg:"" help:"Configuration file, JSON with comments."`
}

// New gives the command.
func New() *Options {
	return &Options{}
}

// Help tells of the command at length.
func (options *Options) Help() string {
	return `Checks a configuration file as the system would before it accepts one, and names
every fault with its line and field. It asks no node.

Examples:
  magnolia config check examples/gota-justa.jsonc`
}

// Run runs the command.
func (options *Options) Run(tools *factory.Factory) error {
	text, err := os.ReadFile(options.File)
	if err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	if _, err := configuration.Parse(text); err != nil {
		return program.WithCode(program.ExitUsage, fmt.Errorf("configuration %s:\n%w", options.File, err))
	}
	tools.Streams.Printf("%s: no faults\n", options.File)
	return nil
}
