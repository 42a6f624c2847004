// Package root defines the command line of magnolia and runs the command it names.
//
// # Usage
//
//	os.Exit(int(root.Main(ctx, factory.New(), os.Args[1:])))
package root

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/program"
	actionlist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/action/list"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/action/settle"
	certificatecreate "github.com/magnoliawall/magnoliawall/magnolia/internal/command/certificate/create"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/config/check"
	configview "github.com/magnoliawall/magnoliawall/magnolia/internal/command/config/view"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	hostlist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/host/list"
	patchcreate "github.com/magnoliawall/magnoliawall/magnolia/internal/command/patch/create"
	patchlist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/patch/list"
	patchview "github.com/magnoliawall/magnoliawall/magnolia/internal/command/patch/view"
	replicalist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/replica/list"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/replica/replace"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/status"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/target/drain"
	targetlist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/target/list"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/version/diff"
	versionlist "github.com/magnoliawall/magnoliawall/magnolia/internal/command/version/list"
)

// commands is the command tree, as kong parses it. The names of fields are the
// names of commands and flags.
type commands struct {
	Address     string `placeholder:"HOST:PORT" help:"Admin address of any node (MAGNOLIA_ADDRESS)."`
	Operator    string `placeholder:"NAME" help:"Name that changes are recorded under (MAGNOLIA_OPERATOR)."`
	Authority   string `placeholder:"FILE" help:"Certificate of the site's authority (MAGNOLIA_AUTHORITY)."`
	Certificate string `placeholder:"FILE" help:"Your certificate (MAGNOLIA_CERTIFICATE)."`
	Key         string `placeholder:"FILE" help:"Its key (MAGNOLIA_KEY)."`

	Config struct {
		View  configview.Options `cmd:"" help:"Show the configuration in force."`
		Check check.Options      `cmd:"" help:"Check a configuration file and name every fault."`
	} `cmd:"" help:"The configuration."`
	Patch struct {
		Create patchcreate.Options `cmd:"" help:"Change the configuration in force."`
		List   patchlist.Options   `cmd:"" help:"List the latest patches and their outcome."`
		View   patchview.Options   `cmd:"" help:"Show how a patch ended."`
	} `cmd:"" help:"Patches, the only way to change the configuration."`
	Version struct {
		List versionlist.Options `cmd:"" help:"List the versions and who made them."`
		Diff diff.Options        `cmd:"" help:"Show what differs between two versions."`
	} `cmd:"" help:"Numbered versions of the configuration."`
	Target struct {
		List  targetlist.Options `cmd:"" help:"List the live targets."`
		Drain drain.Options      `cmd:"" help:"Let a target leave as planned."`
	} `cmd:"" help:"Targets and their nodes."`
	Host struct {
		List hostlist.Options `cmd:"" help:"List the failure domains and who is silent."`
	} `cmd:"" help:"Hosts by failure domain."`
	Replica struct {
		List    replicalist.Options `cmd:"" help:"List the replicas of the control state."`
		Replace replace.Options     `cmd:"" help:"Put a new replica in the place of a lost one."`
	} `cmd:"" help:"Replicas of the control state."`
	Action struct {
		List   actionlist.Options `cmd:"" help:"List the actions whose end is not recorded."`
		Settle settle.Options     `cmd:"" help:"Record what became of an action in doubt."`
	} `cmd:"" help:"Actions that may not be repeated."`
	Certificates struct {
		Create certificatecreate.Options `cmd:"" help:"Make a certificate of the site."`
	} `cmd:"" name:"certificate" help:"Certificates of nodes and operators."`
	Status status.Options `cmd:"" help:"Sum up what is in force where."`
}

// Main parses the arguments, runs the command and returns the exit code of the
// process.
func Main(ctx context.Context, tools *factory.Factory, arguments []string) program.ExitCode {
	grammar := &commands{}
	magnolia := program.Program{
		Name:        "magnolia",
		Description: "The operators' command line of magnoliawall.",
		Streams:     tools.Streams,
		Bindings:    []any{tools},
		AfterParse: func() {
			tools.Flags = factory.Settings{
				Address:     grammar.Address,
				Operator:    grammar.Operator,
				Authority:   grammar.Authority,
				Certificate: grammar.Certificate,
				Key:         grammar.Key,
			}
		},
	}
	return magnolia.Main(ctx, grammar, arguments)
}
