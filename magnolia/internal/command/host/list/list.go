// Package list implements the command `magnolia host list`.
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
	listing.Flags
}

var columns = []listing.Column[operator.DomainRow]{
	{Header: "DOMAIN", Cell: func(row operator.DomainRow) string { return string(row.Domain) }},
	{Header: "NODES", Cell: func(row operator.DomainRow) string { return fmt.Sprint(row.Nodes) }},
	{Header: "IN FORCE", Cell: func(row operator.DomainRow) string { return fmt.Sprint(row.InForce) }},
	{Header: "OLDEST", Cell: func(row operator.DomainRow) string { return fmt.Sprint(row.Oldest) }},
	{Header: "REACHED", Cell: func(row operator.DomainRow) string { return reachedText(row) }},
	{Header: "SILENT", Cell: func(row operator.DomainRow) string { return silentText(row) }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the failure domains with their hosts: how many nodes were heard of lately,
how many have the latest version in force, and which are silent.

Examples:
  magnolia host list
  magnolia host list --json domain,nodes,silent`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Status](ctx, tools, operator.ViewStatus, operator.Done{})
	if err != nil {
		return err
	}
	return listing.Show(tools.Streams, options.Flags, answer.Domains, columns)
}

func reachedText(row operator.DomainRow) string {
	if row.Reached {
		return "yes"
	}
	return "no"
}

func silentText(row operator.DomainRow) string {
	names := make([]string, 0, len(row.Silent))
	for _, name := range row.Silent {
		names = append(names, string(name))
	}
	return strings.Join(names, " ")
}
