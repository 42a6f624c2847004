// Package factory holds what every command of magnoliad is given.
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

// Factory is what a command needs from outside. A test sets its own fields.
type Factory struct {
	Streams *terminal.Streams
}

// New gives the factory of the program.
func New() *Factory {
	return &Factory{Streams: terminal.System()}
}

// Settings reads and checks a settings file. All faults are printed, each with
// its line and field.
func (factory *Factory) Settings(path string) (*settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, fmt.Errorf("read settings: %w", err))
	}
	loaded, err := settings.Read(text)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, fmt.Errorf("settings %s:\n%w", path, err))
	}
	loaded.Resolve(filepath.Dir(path))
	return loaded, nil
}

// Logger gives the logger of a process.
func (factory *Factory) Logger(level settings.LogLevel) *log.Logger {
	return &log.Logger{
		Level:  log.ParseLevel(string(level)),
		Writer: decision.NewWriter(factory.Streams.Out),
	}
}
