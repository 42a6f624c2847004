// Package checksettings implements the command `magnoliad check-settings`.
//
// # Usage
//
//	command := checksettings.New()
//	command.Settings = "node.jsonc"
//	err := command.Run(tools)
package checksettings

import (
	"errors"
	"fmt"
	"os"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/factory"
)

// Options holds the arguments of the command.
type Options struct {
	Settings string `arg:"" help:"Settings file of a process, JSON with comments."`
}

// New returns the command without arguments.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Reads a settings file as "magnoliad run" would, without starting anything, and
reports every fault with its line and field. If the file names an initial
configuration, that is checked as well.

Examples:
  magnoliad check-settings /etc/magnoliad/node.jsonc`
}

// Run checks the settings file and the initial configuration that it names. All
// faults are returned as an error with the exit code for wrong usage.
func (options *Options) Run(tools *factory.Factory) error {
	loaded, err := tools.Settings(options.Settings)
	if err != nil {
		return err
	}
	if err := checkInitialConfiguration(loaded.Replica.InitialConfiguration); err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	tools.Streams.Printf("%s: no faults\n", options.Settings)
	return nil
}

func checkInitialConfiguration(path string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("initial configuration %s does not exist", path)
	}
	if err != nil {
		return err
	}
	if _, err := configuration.Parse(text); err != nil {
		return fmt.Errorf("initial configuration %s:\n%w", path, err)
	}
	return nil
}
