// Package soak implements the command `magnolia-load soak`.
//
// # Usage
//
//	options := &soak.Options{Program: "bin/magnoliad", Seeds: 3, Seed: 1, For: 20 * time.Second, Hosts: 12}
//	err := options.Run(ctx, tools)
package soak

import (
	"context"
	"encoding/json"
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
	minFaultDuration = 5 * time.Second
	maxHosts         = 24
	folderMode       = 0o700
)

// Options holds the flags of the command.
type Options struct {
	Program string        `required:"" type:"path" help:"Path of magnoliad."`
	Seeds   int           `default:"1" help:"Number of runs; each has the next seed."`
	Seed    uint64        `default:"1" help:"Seed of the first run."`
	For     time.Duration `default:"20s" help:"Time with faults; 20 s without follow."`
	Hosts   int           `default:"12" help:"Number of processes, four for each failure domain, 24 at most."`
	Plan    string        `type:"path" help:"File with a plan that is played instead of the seed's." placeholder:"FILE"`
	Keep    string        `type:"path" help:"Folder in which plans, logs and data stay." placeholder:"FOLDER"`
	JSON    bool          `name:"json" help:"Write each report as one JSON document."`
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Runs real processes of magnoliad on loopback under faults that a seed gives:
kills, planned stops, freezes, reloads, lost disks, splits and kills of the whole
site, alone and overlapping, while callers send requests and operators change the
configuration. Ends with a line for each seed and each broken promise, and with
exit code 1 if any was broken.

Examples:
  magnolia-load soak --program bin/magnoliad --seeds 3
  magnolia-load soak --program bin/magnoliad --seed 17 --for 1m --keep /tmp/soak-17
  magnolia-load soak --program bin/magnoliad --for 16s --plan script/soak-plans/pairs.json`
}

// Run runs the seeds one after the other and prints a report for each. It returns
// an error with exit code 1 if a promise was broken.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	if options.Seeds < 1 || options.For < minFaultDuration || options.Hosts < 4 || options.Hosts > maxHosts {
		return program.WithCode(program.ExitUsage, oops.Errorf("give at least one seed, %s and 4 to %d hosts", minFaultDuration, maxHosts))
	}
	if _, err := exec.LookPath(options.Program); err != nil {
		return program.WithCode(program.ExitUsage, oops.Wrapf(err, "build magnoliad first, or use script/soak"))
	}
	brokenPromises := 0
	for index := range options.Seeds {
		report, err := options.runSeed(ctx, options.Seed+uint64(index))
		if err != nil {
			return err
		}
		brokenPromises += len(report.BrokenPromises)
		if err := writeReport(tools.Streams, report, options.JSON); err != nil {
			return err
		}
	}
	tools.Streams.Printf("seeds %d promises broken %d\n", options.Seeds, brokenPromises)
	if brokenPromises > 0 {
		return program.WithCode(program.ExitFailure, oops.Errorf("promises were broken; run the seed again with --keep and see docs/operate/soak.md"))
	}
	return nil
}

func (options *Options) runSeed(ctx context.Context, seed uint64) (soak.Report, error) {
	folder, err := options.runFolder(seed)
	if err != nil {
		return soak.Report{}, err
	}
	if options.Keep == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	plan, err := options.readPlan()
	if err != nil {
		return soak.Report{}, err
	}
	run := &soak.Run{Plan: plan, Program: options.Program, Seed: seed, FaultDuration: options.For, MaxHosts: options.Hosts, Folder: folder}
	return run.Execute(ctx)
}

// readPlan returns the plan of the file, or nil without one.
func (options *Options) readPlan() (*soak.Plan, error) {
	if options.Plan == "" {
		return nil, nil
	}
	text, err := os.ReadFile(options.Plan)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, oops.Wrapf(err, "reading the plan"))
	}
	plan := &soak.Plan{}
	if err := json.Unmarshal(text, plan); err != nil {
		return nil, program.WithCode(program.ExitUsage, oops.Wrapf(err, "reading the plan %s", options.Plan))
	}
	return plan, nil
}

func (options *Options) runFolder(seed uint64) (string, error) {
	if options.Keep == "" {
		folder, err := os.MkdirTemp("", "magnolia-soak-")
		return folder, oops.Wrapf(err, "creating a temporary folder")
	}
	folder := filepath.Join(options.Keep, fmt.Sprintf("seed-%d", seed))
	if entries, err := os.ReadDir(folder); err == nil && len(entries) > 0 {
		return "", program.WithCode(program.ExitUsage, oops.Errorf("%s already holds a run: choose another folder or remove it", folder))
	}
	return folder, oops.Wrapf(os.MkdirAll(folder, folderMode), "creating the folder of the run")
}

func writeReport(streams *terminal.Streams, report soak.Report, asJSON bool) error {
	if asJSON {
		return terminal.WriteJSON(streams.Out, report)
	}
	for _, line := range report.Lines() {
		streams.Printf("%s\n", line)
	}
	return nil
}
