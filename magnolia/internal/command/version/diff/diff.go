// Package diff implements the command `magnolia version diff`.
//
// # Usage
//
//	command := diff.New()
//	err := command.Run(ctx, tools)
package diff

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	From configuration.Version `arg:"" help:"The earlier version."`
	To   configuration.Version `arg:"" optional:"" help:"The later version; the latest if left out."`
	listing.Flags
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Shows what differs between two versions, field by field.

Examples:
  magnolia version diff 12
  magnolia version diff 12 15
  magnolia version diff 12 15 --json field,text`
}

var columns = []listing.Column[operator.Change]{
	{Header: "CHANGE", Cell: func(row operator.Change) string { return row.Text }},
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Difference](ctx, tools, operator.DiffVersions, operator.DifferenceQuery{From: options.From, To: options.To})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Changes, columns)
}
