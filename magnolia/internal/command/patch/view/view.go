// Package view implements the command `magnolia patch view`.
//
// # Usage
//
//	command := view.New()
//	err := command.Run(ctx, tools)
package view

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/patch/outcome"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	ID string `arg:"" help:"Id of the patch."`
	listing.Flags
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Shows how a patch ended. A patch that was never decided is not known; sending it
again with the same id is safe.

Examples:
  magnolia patch view 01JE8W3Z8X4J9M5T8Q2V7C6B1N
  magnolia patch view 01JE8W3Z8X4J9M5T8Q2V7C6B1N --json state,version`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.PatchOutcome](ctx, tools, operator.ViewPatch, operator.PatchQuery{ID: options.ID})
	if err != nil {
		return err
	}
	if len(options.JSON) > 0 {
		return listing.ShowOne(tools.Streams, options.Flags, answer, nil)
	}
	outcome.Print(tools.Streams, answer)
	return nil
}
