// Package view implements the command `magnolia config view`.
//
// # Usage
//
//	command := view.New()
//	err := command.Run(ctx, tools)
package view

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Version configuration.Version `help:"Show this version in place of the latest."`
	listing.Flags
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Shows the configuration in force, comments included. Its number and who made it go
to the error stream, so that the output is the text alone.

Examples:
  magnolia config view
  magnolia config view --version 12 > before.jsonc
  magnolia config view --json version,operator,note`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Configuration](ctx, tools, operator.ViewConfiguration, operator.VersionQuery{Version: options.Version})
	if err != nil {
		return err
	}
	if len(options.JSON) > 0 {
		return listing.ShowOne(tools.Streams, options.Flags, flatten(answer), nil)
	}
	tools.Streams.Errorf("version %d by %s: %s", answer.Version, answer.Operator, answer.Note)
	tools.Streams.Printf("%s", answer.Text)
	return nil
}

// versionDocument is a version with its text as a flat JSON object.
type versionDocument struct {
	Version  configuration.Version `json:"version"`
	Operator string                `json:"operator"`
	Note     string                `json:"note"`
	PatchID  string                `json:"patch-id"`
	Digest   string                `json:"digest"`
	Text     string                `json:"text"`
}

func flatten(answer operator.Configuration) versionDocument {
	return versionDocument{answer.Version, answer.Operator, answer.Note, answer.PatchID, answer.Digest, answer.Text}
}
