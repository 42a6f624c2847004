// Package replace implements the command `magnolia replica replace`.
//
// # Usage
//
//	command := replace.New()
//	err := command.Run(ctx, tools)
package replace

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Lost    operator.ReplicaID `arg:"" help:"Id of the lost replica."`
	Address string             `arg:"" help:"Peer address of the new replica's host."`
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Puts the replica of a new host, or of one that lost its disk, in the place of a lost
one: it is added as a learner, promoted once it has caught up, and then the lost
id is removed for good. It may be run again after it was interrupted.

Examples:
  magnolia replica list
  magnolia replica replace 3b6f2aff334bab1b 10.11.1.11:7402`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	replacement := operator.Replacement{Lost: options.Lost, Address: options.Address}
	if _, err := listing.Call[operator.Done](ctx, tools, operator.ReplaceReplica, replacement); err != nil {
		return err
	}
	tools.Streams.Printf("replica %s was replaced by the one at %s\n", options.Lost, options.Address)
	return nil
}
