// Package soak is the command `magnolia-load soak`.
//
// # Usage
//
//	command := &soak.Options{Program: "bin/magnoliad", Seeds: 3, Seed: 1}
//	err := command.Run(ctx, tools)
package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/soak"
)

const (
	shortestRun = 5 * time.Second
	mostHosts   = 24
	folderMode  = 0o700
)

// Options are the flags of the command.
type Options struct {
	Program string        `required:"" type:"path" help:"Path of magnoliad."`
	Seeds   int           `default:"1" help:"Number of runs; each has the next seed."`
	Seed    uint64        `default:"1" help:"Seed of the first run."`
	For     time.Duration `default:"20s" help:"Time with faults; 20 s without follow."`
	Hosts   int           `default:"12" help:"Number of processes, four for each failure domain, 24 at most."`
	Keep    string        `type:"path" help:"Folder in which plans, logs and data stay." placeholder:"FOLDER"`
	JSON    bool          `name:"json" help:"Write each report as one JSON document."`
}

// Help tells of the command at length.
func (options *Options) Help() string {
	return `Runs real processes of magnoliad on loopback under faults that a seed gives:
kills, planned stops, freezes, reloads, lost disks and kills of the whole site,
alone and overlapping, while callers send requests and operators change the
configuration. Ends with a line for each seed and each broken promise, and with
exit code 1 if any was broken.

Examples:
  magnolia-load soak --program bin/magnoliad --seeds 3
  magnolia-load soak --program bin/magnoliad --seed 17 --for 1m --keep /tmp/soak-17`
}

// Run runs the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	if options.Seeds < 1 || options.For < shortestRun || options.Hosts < 4 || options.Hosts > mostHosts {
		return program.WithCode(program.ExitUsage, oops.Errorf("give at least one seed, %s and 4 to %d hosts", shortestRun, mostHosts))
	}
	if _, err := exec.LookPath(options.Program); err != nil {
		return program.WithCode(program.ExitUsage, oops.Wrapf(err, "build magnoliad first, or use script/soak"))
	}
	broken := 0
	for index := range options.Seeds {
		report, err := options.play(ctx, options.Seed+uint64(index))
		if err != nil {
			return err
		}
		broken += len(report.Broken)
		if err := write(tools.Streams, report, options.JSON); err != nil {
			return err
		}
	}
	tools.Streams.Printf("seeds %d promises broken %d\n", options.Seeds, broken)
	if broken > 0 {
		return program.WithCode(program.ExitFailure, oops.Errorf("promises were broken; play the seed again with --keep and read docs/operate/soak.md"))
	}
	return nil
}

func (options *Options) play(ctx context.Context, seed uint64) (soak.Report, error) {
	folder, err := options.folder(seed)
	if err != nil {
		return soak.Report{}, err
	}
	if options.Keep == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	run := &soak.Run{Program: options.Program, Seed: seed, Trouble: options.For, Hosts: options.Hosts, Folder: folder}
	return run.Play(ctx)
}

func (options *Options) folder(seed uint64) (string, error) {
	if options.Keep == "" {
		folder, err := os.MkdirTemp("", "magnolia-soak-")
		return folder, oops.Wrapf(err, "no temporary folder")
	}
	folder := filepath.Join(options.Keep, fmt.Sprintf("seed-%d", seed))
	if left, err := os.ReadDir(folder); err == nil && len(left) > 0 {
		return "", program.WithCode(program.ExitUsage, oops.Errorf("%s holds a run already: name another folder or remove it", folder))
	}
	return folder, oops.Wrapf(os.MkdirAll(folder, folderMode), "no folder to keep the run in")
}

func write(streams *terminal.Streams, report soak.Report, asJSON bool) error {
	if asJSON {
		return terminal.WriteJSON(streams.Out, report)
	}
	for _, line := range report.Lines() {
		streams.Printf("%s\n", line)
	}
	return nil
}
