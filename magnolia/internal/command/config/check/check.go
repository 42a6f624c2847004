// Package check implements the command `magnolia config check`.
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

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	File string `arg:"" help:"Configuration file, JSON with comments."`
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Checks a configuration file as the system would before it accepts one, and names
every fault with its line and field. It asks no node.

Examples:
  magnolia config check examples/gota-justa.jsonc`
}

// Run executes the command.
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
