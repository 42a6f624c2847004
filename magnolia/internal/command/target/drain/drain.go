// Package drain implements the command `magnolia target drain`.
//
// # Usage
//
//	command := drain.New()
//	err := command.Run(ctx, tools)
package drain

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Node request.NodeID `arg:"" help:"Node of the target."`
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Asks the node of a target to stop as planned: it tells its peers, takes no new work,
finishes every request in flight, and its process exits.

Examples:
  magnolia target drain norte-a-agenda-1`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	if _, err := listing.Call[operator.Done](ctx, tools, operator.DrainTarget, operator.NodeQuery{Node: options.Node}); err != nil {
		return err
	}
	tools.Streams.Printf("%s drains\n", options.Node)
	return nil
}
