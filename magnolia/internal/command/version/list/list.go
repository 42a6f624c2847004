// Package list implements the command `magnolia version list`.
//
// # Usage
//
//	command := list.New()
//	err := command.Run(ctx, tools)
package list

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the flags of the command, as kong parses them.
type Options struct {
	After configuration.Version `help:"List the versions after this one."`
	Most  int                   `default:"50" help:"List at most as many, the latest ones."`
	listing.Flags
}

var columns = []listing.Column[operator.VersionRow]{
	{Header: "VERSION", Cell: func(row operator.VersionRow) string { return fmt.Sprint(row.Version) }},
	{Header: "OPERATOR", Cell: func(row operator.VersionRow) string { return row.Operator }},
	{Header: "AT", Cell: func(row operator.VersionRow) string { return row.At.UTC().Format(time.RFC3339) }},
	{Header: "PATCH", Cell: func(row operator.VersionRow) string { return row.PatchID }},
	{Header: "NOTE", Cell: func(row operator.VersionRow) string { return row.Note }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the versions of the configuration, oldest first: who made each, when, and
with which note.

Examples:
  magnolia version list
  magnolia version list --after 40 --json version,operator,note`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Versions](ctx, tools, operator.ListVersions, operator.VersionRange{After: options.After, Limit: options.Most})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Versions, columns)
}
