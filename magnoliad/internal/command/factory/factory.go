// Package factory provides the dependencies that the commands of magnoliad share.
//
// # Usage
//
//	tools := factory.New()
//	loaded, err := tools.Settings("/etc/magnoliad/node.jsonc")
package factory

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/internal/settings"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
)

// Factory holds the dependencies of the commands. Tests set its fields.
type Factory struct {
	Streams *terminal.Streams
	// Reloads receives the signals to reload the settings.
	Reloads chan os.Signal
}

// New returns the factory of the program, with the streams of the process.
func New() *Factory {
	return &Factory{Streams: terminal.System(), Reloads: make(chan os.Signal, 1)}
}

// Settings reads and checks a settings file and resolves its paths. The error lists
// all faults, each with its line and field, and has the exit code for wrong usage.
func (factory *Factory) Settings(path string) (*settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, fmt.Errorf("read settings: %w", err))
	}
	loaded, err := settings.Parse(text)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, fmt.Errorf("settings %s:\n%w", path, err))
	}
	loaded.ResolvePaths(filepath.Dir(path))
	return loaded, nil
}

// Logger returns a logger that writes to the output stream.
func (factory *Factory) Logger(level settings.LogLevel) *log.Logger {
	return &log.Logger{
		Level:  log.ParseLevel(string(level)),
		Writer: decision.NewWriter(factory.Streams.Out),
	}
}
