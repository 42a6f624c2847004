// Package list implements the command `magnolia replica list`.
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

var columns = []listing.Column[operator.ReplicaRow]{
	{Header: "ID", Cell: func(row operator.ReplicaRow) string { return string(row.ID) }},
	{Header: "ROLE", Cell: func(row operator.ReplicaRow) string { return row.Role }},
	{Header: "DOMAIN", Cell: func(row operator.ReplicaRow) string { return string(row.Domain) }},
	{Header: "REACHED", Cell: func(row operator.ReplicaRow) string { return reachedText(row) }},
	{Header: "ADDRESS", Cell: func(row operator.ReplicaRow) string { return row.Address }},
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Lists the replicas of the control state, and which of them the asked replica
reaches. An id belongs to one disk and is never used again; a host that lost its
disk comes back with a new one.

Examples:
  magnolia replica list
  magnolia replica list --json id,address,role`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Replicas](ctx, tools, operator.ListReplicas, operator.Done{})
	if err != nil {
		return err
	}
	if len(answer.Replicas) == 0 {
		return fmt.Errorf("the asked replica %s has no log: ask another node with --address", answer.Self)
	}
	return listing.Show(tools.Streams, options.Flags, answer.Replicas, columns)
}

func reachedText(row operator.ReplicaRow) string {
	if row.Reached {
		return "yes"
	}
	return "no"
}
