// Package list implements the command `magnolia target list`.
//
// # Usage
//
//	command := list.New()
//	err := command.Run(ctx, tools)
package list

import (
	"context"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the flags of the command, as kong parses them.
type Options struct {
	listing.Flags
}

var columns = []listing.Column[operator.TargetRow]{
	{Header: "SERVICE", Cell: func(row operator.TargetRow) string { return string(row.Service) }},
	{Header: "NODE", Cell: func(row operator.TargetRow) string { return string(row.Node) }},
	{Header: "REGION", Cell: func(row operator.TargetRow) string { return string(row.Region) }},
	{Header: "DOMAIN", Cell: func(row operator.TargetRow) string { return string(row.Domain) }},
	{Header: "STATE", Cell: func(row operator.TargetRow) string { return row.State }},
	{Header: "SLOTS", Cell: func(row operator.TargetRow) string { return fmt.Sprint(row.Slots) }},
	{Header: "ADDRESS", Cell: func(row operator.TargetRow) string { return row.Address }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the live targets that the asked replica knows: their node, place, state and
slots. A draining target takes no new work; a cold one little.

Examples:
  magnolia target list
  magnolia target list --json node,service,state`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Targets](ctx, tools, operator.ListTargets, operator.Done{})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Targets, columns)
}
