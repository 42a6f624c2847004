// Package list implements the command `magnolia action list`.
//
// # Usage
//
//	command := list.New()
//	err := command.Run(ctx, tools)
package list

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the flags of the command, as kong parses them.
type Options struct {
	listing.Flags
}

var columns = []listing.Column[operator.ActionRow]{
	{Header: "KIND", Cell: func(row operator.ActionRow) string { return string(row.Kind) }},
	{Header: "KEY", Cell: func(row operator.ActionRow) string { return string(row.Key) }},
	{Header: "CUSTOMER", Cell: func(row operator.ActionRow) string { return string(row.Customer) }},
	{Header: "STATE", Cell: func(row operator.ActionRow) string { return stateText(row) }},
	{Header: "NODE", Cell: func(row operator.ActionRow) string { return string(row.Node) }},
	{Header: "ATTEMPT", Cell: func(row operator.ActionRow) string { return row.Attempt }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the actions that may not be repeated and whose end is not recorded: those
that run now, and those in doubt, whose target or node was lost.

Examples:
  magnolia action list
  magnolia action list --json kind,key,attempt,in-doubt`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Actions](ctx, tools, operator.ListActions, operator.Done{})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Actions, columns)
}

func stateText(row operator.ActionRow) string {
	if row.InDoubt {
		return "in-doubt"
	}
	return "running"
}
