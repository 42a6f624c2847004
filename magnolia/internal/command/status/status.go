// Package status implements the command `magnolia status`.
//
// # Usage
//
//	command := status.New()
//	err := command.Run(ctx, tools)
package status

import (
	"context"
	"fmt"
	"strconv"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	listing.Flags
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Sums up the system as the asked replica sees it: the latest version, whether a
quorum answers, in which failure domains it is in force, who is out of reach, and
how many actions are in doubt.

Examples:
  magnolia status
  magnolia status --json version,quorum,domains`
}

var columns = []listing.Column[operator.Status]{
	{Header: "version", Cell: func(row operator.Status) string { return fmt.Sprint(row.Version) }},
	{Header: "quorum", Cell: func(row operator.Status) string {
		return choose(row.Quorum, "yes", "no: nothing can be changed from here")
	}},
	{Header: "leader", Cell: func(row operator.Status) string { return choose(row.Leader != "", string(row.Leader), "none is known") }},
	{Header: "replicas reached", Cell: func(row operator.Status) string { return fmt.Sprintf("%d of %d", row.Reached, row.Replicas) }},
	{Header: "actions in doubt", Cell: func(row operator.Status) string { return fmt.Sprint(row.Actions) }},
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	answer, err := listing.Call[operator.Status](ctx, tools, operator.ViewStatus, operator.Done{})
	if err != nil {
		return err
	}
	shown := columns
	for _, domain := range answer.Domains {
		text := describeDomain(domain)
		shown = append(shown, listing.Column[operator.Status]{
			Header: string(domain.Domain),
			Cell:   func(operator.Status) string { return text },
		})
	}
	return listing.ShowOne(tools.Streams, options.Flags, answer, shown)
}

// describeDomain summarizes one failure domain in a line.
func describeDomain(domain operator.DomainRow) string {
	text := fmt.Sprintf("in force on %d of %d nodes", domain.InForce, domain.Nodes)
	if len(domain.Silent) > 0 {
		text += fmt.Sprintf(", silent: %v", domain.Silent)
	}
	for _, target := range domain.Restricted {
		text += ", " + describeRestricted(target)
	}
	return text + choose(domain.Reached, "", ", out of reach: this is old")
}

// describeRestricted summarizes what a target states about itself.
func describeRestricted(target operator.RestrictedRow) string {
	text := string(target.Node)
	if target.Limited {
		text += fmt.Sprintf(" limited to %s/s (stated %.1f s ago, %d calls refused)", strconv.FormatFloat(float64(target.Limit), 'f', -1, 64), target.AgeSeconds, target.Refused)
	}
	return text + choose(target.Leaving, " leaving", "")
}

func choose(flag bool, yes, no string) string {
	if flag {
		return yes
	}
	return no
}
