// Package list implements the command `magnolia patch list`.
//
// # Usage
//
//	command := list.New()
//	err := command.Run(ctx, tools)
package list

import (
	"context"
	"fmt"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the flags of the command, as kong parses them.
type Options struct {
	Most int `default:"50" help:"List at most as many."`
	listing.Flags
}

var columns = []listing.Column[operator.PatchOutcome]{
	{Header: "ID", Cell: func(row operator.PatchOutcome) string { return row.ID }},
	{Header: "STATE", Cell: func(row operator.PatchOutcome) string { return row.State }},
	{Header: "BASE", Cell: func(row operator.PatchOutcome) string { return fmt.Sprint(row.Base) }},
	{Header: "VERSION", Cell: func(row operator.PatchOutcome) string { return fmt.Sprint(row.Version) }},
	{Header: "FAULTS", Cell: func(row operator.PatchOutcome) string { return strings.Join(row.Faults, "; ") }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the latest patches that were decided, oldest first, with their outcome.

Examples:
  magnolia patch list
  magnolia patch list --most 5 --json id,state,version`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.PatchList](ctx, tools, operator.ListPatches, operator.ListQuery{Limit: options.Most})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Patches, columns)
}
