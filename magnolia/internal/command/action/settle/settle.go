// Package settle implements the command `magnolia action settle`.
//
// # Usage
//
//	command := settle.New()
//	err := command.Run(ctx, tools)
package settle

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Kind     request.KindName       `arg:"" help:"Kind of the action."`
	Key      request.IdempotencyKey `arg:"" help:"Idempotency key of the action."`
	Customer request.CustomerName   `help:"Customer of the action, if the list shows one."`
	Attempt  string                 `required:"" help:"Attempt that holds the action, from the list."`
	As       string                 `required:"" enum:"ran,not-run" help:"What you found out: ran or not-run."`
	Note     string                 `required:"" help:"How you found out, for those who ask later."`
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Records what became of an action in doubt, after you looked at the target's own
records. "ran" closes it for good; "not-run" lets a resend run it. It is recorded
with your name and cannot be taken back.

Examples:
  magnolia action list
  magnolia action settle subsidios/file k-7 --attempt 5f0c... --as ran \
    --note "found in the books of subsidios"`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	name, err := tools.Operator()
	if err != nil {
		return err
	}
	settlement := operator.Settlement{
		Kind:     options.Kind,
		Customer: options.Customer,
		Key:      options.Key,
		Attempt:  options.Attempt,
		Ran:      options.As == "ran",
		Operator: name,
		Note:     options.Note,
	}
	if _, err := listing.Call[operator.Done](ctx, tools, operator.SettleAction, settlement); err != nil {
		return err
	}
	tools.Streams.Printf("%s %s is settled as %s\n", options.Kind, options.Key, options.As)
	return nil
}
