package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	// rateFactorPerHost multiplies the load of the whole mesh for each of its 24 hosts. The
	// load is about half of what the targets can serve, so that failures come from faults.
	rateFactorPerHost = 0.4 / 24
	// maxAttempts is how many times a caller sends a request.
	maxAttempts      = 3
	pollInterval     = 500 * time.Millisecond
	finalReadTimeout = 20 * time.Second
	fileMode         = 0o600
)

// Run is one soak test. Its fields are set before Execute.
type Run struct {
	// Program is the path of magnoliad.
	Program string
	Seed    uint64
	// FaultDuration is the time with faults; time for recovery and for the final check
	// follow.
	FaultDuration time.Duration
	// MaxHosts bounds the number of processes; the mesh has four in each failure
	// domain.
	MaxHosts int
	// Folder holds the plan, the settings, the logs and the data.
	Folder string
	// Plan is played instead of the plan of the seed, unless it is nil.
	Plan *Plan
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64  `json:"seed"`
	Hosts    int     `json:"hosts"`
	Faults   []Fault `json:"faults"`
	Requests int     `json:"requests"`
	// WholeShare is the share of requests that succeeded over the whole run, and
	// RecoveredShare that after recovery.
	WholeShare      float64  `json:"whole"`
	RecoveredShare  float64  `json:"recovered"`
	AcceptedChanges int      `json:"changes-accepted"`
	Returns         []Return `json:"returns,omitempty"`
	// SkippedFaults is how many losses of disks came too late for the run.
	SkippedFaults  int      `json:"skipped,omitempty"`
	BrokenPromises []string `json:"broken"`
}

// execution is the state of a run in progress.
type execution struct {
	run       *Run
	design    mesh.Design
	processes *mesh.Processes
	mesh      *mesh.Mesh
	sender    *changeSender
	plan      Plan

	overlaps overlaps
	calm     calm
	losses   losses
	votes    votes
	// loadStartedAt is the time from which samples and kills are counted.
	loadStartedAt time.Time

	lock         sync.Mutex
	overdueStops []string
	// kills holds when each host was killed.
	kills map[int][]time.Duration
	err   error
	// versionByRun holds the last version in force that each run of a process
	// reported, by node and process id.
	versionByRun       map[string]int
	versionRegressions []string
	// outdated lists the processes that had an old version in force, and staleReads the
	// replicas that answered a read with one.
	outdated, staleReads []string
}

// Execute starts the site, injects the faults of the plan and returns the report.
// It returns an error if a fault could not be injected, since the run proves
// nothing then.
func (run *Run) Execute(ctx context.Context) (Report, error) {
	plan := NewPlan(run.Seed, run.FaultDuration, run.MaxHosts)
	if run.Plan != nil {
		plan = *run.Plan
	}
	design := mesh.GotaJusta()
	if plan.Replicas == pairedReplicas {
		design.ServicesPerPlace = min(run.MaxHosts/pairedReplicas, len(design.Services))
	} else {
		design.Places = design.Places[:min(len(design.Places), max(run.MaxHosts/len(design.Services), 1))]
	}
	current := &execution{run: run, design: design, plan: plan, versionByRun: make(map[string]int), kills: make(map[int][]time.Duration)}
	current.processes = &mesh.Processes{Program: run.Program, Folder: run.Folder, MaxReplicas: plan.Replicas, Latencies: link.Latencies{BetweenDomains: plan.Links.BetweenDomains, BetweenRegions: plan.Links.BetweenRegions}, BytesPerSecond: plan.Links.BytesPerSecond}
	current.mesh = &mesh.Mesh{Design: design, System: current.processes, Seed: run.Seed, Records: target.NewRecords()}
	if err := current.mesh.Start(ctx); err != nil {
		return Report{}, err
	}
	observed, err := current.observe(ctx)
	if err = errors.Join(err, current.mesh.Stop()); err != nil {
		return Report{}, err
	}
	return current.report(observed), ctx.Err()
}

func (execution *execution) report(observed observations) Report {
	accepted := 0
	for _, sent := range observed.changes {
		if sent.AcknowledgedVersion > 0 {
			accepted++
		}
	}
	return Report{
		Seed: execution.run.Seed, Hosts: len(execution.processes.Hosts()), Faults: execution.plan.Faults, Requests: len(observed.samples),
		Returns: execution.votes.returns(), SkippedFaults: execution.losses.skipped,
		WholeShare: observed.succeededShare(load.Span{To: observed.recoverySpan.To}), RecoveredShare: observed.succeededShare(observed.recoverySpan), AcceptedChanges: accepted, BrokenPromises: observed.brokenPromises(),
	}
}

func (execution *execution) replicas() []*mesh.Process {
	var replicas []*mesh.Process
	for _, host := range execution.processes.Hosts() {
		if host.Replica {
			replicas = append(replicas, host)
		}
	}
	return replicas
}

func (execution *execution) observe(ctx context.Context) (observations, error) {
	hosts := execution.processes.Hosts()
	if err := execution.writePlan(); err != nil {
		return observations{}, err
	}
	execution.sender = newChangeSender(execution.mesh.AdminAddresses(), execution.run.Seed)
	for _, host := range hosts {
		host.Link.AddDelay(execution.plan.LinkDelay)
	}
	execution.sender.routes.Store(int64(execution.plan.Routes))
	execution.sender.usualInterval, execution.sender.bursts = cmp.Or(execution.plan.ChangeInterval, changeInterval), execution.plan.Bursts
	if err := execution.setCustomers(ctx); err != nil {
		return observations{}, err
	}
	if err := execution.sender.sendBefore(ctx, execution.plan.ChangesBefore); err != nil {
		return observations{}, err
	}
	execution.mesh.Records.WatchCustomers()
	callers := execution.mesh.Callers()
	for _, caller := range callers {
		caller.CustomerKey = callersKey
	}
	flooding := newFlood(execution.design.Kinds, callers)
	recoverySpan := load.Span{From: execution.run.FaultDuration + recoveryTimeout, To: execution.run.FaultDuration + recoveryTimeout + checkDuration}
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	background := sync.WaitGroup{}
	background.Go(func() { execution.sender.run(backgroundCtx) })
	background.Go(func() { execution.sender.grow(backgroundCtx, execution.plan.Growths) })
	background.Go(func() { execution.watchVersions(backgroundCtx) })
	background.Go(func() { execution.watchReads(backgroundCtx) })
	background.Go(func() { flooding.run(backgroundCtx) })
	background.Go(func() { execution.watchVotes(backgroundCtx) })
	execution.loadStartedAt = time.Now()
	group := make(chan []groupReading, 1)
	go func() {
		wait.For(ctx, recoverySpan.From)
		group <- execution.readGroup(ctx)
	}()
	injecting := sync.WaitGroup{}
	injecting.Go(func() { execution.injectFaults(ctx) })
	runner := &load.Runner{
		Plan: load.Plan{
			Seed: execution.run.Seed, Kinds: execution.design.Kinds, EntryNodes: len(callers), MaxAttempts: maxAttempts,
			Phases: []load.Phase{{Name: "soak", Duration: recoverySpan.To, RateFactor: rateFactorPerHost * float64(len(hosts))}},
		},
		Callers: callers, KeyPrefix: "soak",
	}
	samples := runner.Run(ctx)
	injecting.Wait()
	// The sender must have stopped before the configurations are read, so that they
	// hold every acknowledged change.
	stopBackground()
	background.Wait()
	observed := observations{
		kinds: execution.design.Kinds, samples: samples, records: execution.mesh.Records, finalConfigurations: execution.readConfigurations(ctx), resourceUses: execution.readResourceUses(),
		recoverySpan: recoverySpan, group: <-group,
	}
	observed.changes, observed.versionRegressions, observed.overdueStops = execution.sender.changes, execution.versionRegressions, execution.overdueStops
	observed.kills, observed.outdated, observed.staleReads = execution.kills, execution.outdated, execution.staleReads
	var err error
	if observed.logsWithKeys, err = logsWithKeys(execution.run.Folder); err != nil {
		return observations{}, err
	}
	observed.floodSentAt, observed.admittedWithdrawn = flooding.sentAt, flooding.admittedWithdrawn
	for _, limited := range execution.mesh.HostTargets() {
		observed.limitedPeriods = append(observed.limitedPeriods, limited.LimitedPeriods()...)
	}
	for _, host := range hosts {
		observed.unexpectedExits = append(observed.unexpectedExits, host.UnexpectedExits()...)
	}
	return observed, execution.err
}

func (execution *execution) writePlan() error {
	text, err := json.MarshalIndent(execution.plan, "", "\t")
	if err != nil {
		return err
	}
	return oops.Wrapf(os.WriteFile(filepath.Join(execution.run.Folder, "plan.json"), text, fileMode), "writing the plan")
}

// injectFaults injects the faults at their times, so that they may overlap, and
// returns when the last one is over.
func (execution *execution) injectFaults(ctx context.Context) {
	startedAt := time.Now()
	faults := sync.WaitGroup{}
	defer faults.Wait()
	for _, fault := range execution.plan.Faults {
		if !wait.For(ctx, fault.At-time.Since(startedAt)) {
			return
		}
		faults.Go(func() { execution.injectFault(ctx, fault) })
	}
}

// injectFault injects one fault. Signals have no effect on a process that another
// fault has ended.
func (execution *execution) injectFault(ctx context.Context, fault Fault) {
	host := execution.processes.Hosts()[fault.Host]
	if fault.Kind != FaultLimit {
		defer execution.calm.begin()()
	}
	switch fault.Kind {
	case FaultKill:
		execution.killFor(ctx, fault.Duration, fault.Host)
	case FaultStop, FaultStopAgain:
		execution.stopFor(ctx, fault)
	case FaultFreeze:
		execution.overlaps.begin(frozen, fault.Host)
		host.Signal(syscall.SIGSTOP)
		wait.For(ctx, fault.Duration)
		if execution.overlaps.end(frozen, fault.Host) {
			host.Signal(syscall.SIGCONT)
		}
	case FaultLimit:
		stating := execution.mesh.HostTargets()[fault.Host]
		execution.overlaps.begin(limited, fault.Host)
		stating.StateRateLimit(rateLimits[fault.Host%len(rateLimits)])
		wait.For(ctx, fault.Duration)
		if execution.overlaps.end(limited, fault.Host) {
			stating.EndRateLimit()
		}
	case FaultReload:
		host.Signal(syscall.SIGHUP)
	case FaultCutTo, FaultCutFrom, FaultSilence, FaultSlowLink, FaultReset, FaultHalfClose:
		execution.injectLinkFault(ctx, fault, host.Link)
	case FaultLoseDisk:
		replica := execution.replicas()[fault.Host]
		index := slices.Index(execution.processes.Hosts(), replica)
		execution.overlaps.begin(down, index)
		execution.recordKill(index)
		execution.recordError(replica.LoseData())
		execution.votes.recordLoss(replica, fault.Duration)
		execution.startAfter(ctx, fault.Duration, index)
	case FaultLoseDisks, FaultLoseDisksKillAll:
		execution.loseDisks(ctx, fault)
	case FaultSplit:
		execution.split(ctx, fault)
	case FaultKillAll:
		var all []int
		for index := range execution.processes.Hosts() {
			all = append(all, index)
		}
		execution.killFor(ctx, fault.Duration, all...)
	}
}

// killFor kills hosts and starts them again after the pause.
func (execution *execution) killFor(ctx context.Context, pause time.Duration, hosts ...int) {
	execution.overlaps.begin(down, hosts...)
	for _, index := range hosts {
		execution.recordKill(index)
		execution.processes.Hosts()[index].Kill()
	}
	if len(hosts) == len(execution.processes.Hosts()) {
		execution.stateRateLimitsAnew()
	}
	execution.startAfter(ctx, pause, hosts...)
}

// stateRateLimitsAnew is called once no process knows the rate limits any more.
func (execution *execution) stateRateLimitsAnew() {
	for _, stating := range execution.mesh.HostTargets() {
		stating.StateRateLimitAnew()
	}
}

// stopFor stops a host as planned and starts it again after the fault's duration.
func (execution *execution) stopFor(ctx context.Context, fault Fault) {
	host := execution.processes.Hosts()[fault.Host]
	execution.overlaps.begin(down, fault.Host)
	repeating := sync.WaitGroup{}
	if fault.Kind == FaultStopAgain {
		repeating.Go(func() {
			for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
				wait.For(ctx, repeatedSignalInterval)
				host.Signal(signal)
			}
		})
	}
	if host.Stop() {
		execution.recordOverdueStop(host)
		execution.recordKill(fault.Host)
	}
	// Before the next start, which is not to receive these signals.
	repeating.Wait()
	execution.startAfter(ctx, fault.Duration, fault.Host)
}

// repeatedSignalInterval is the time between the signals of FaultStopAgain.
const repeatedSignalInterval = 60 * time.Millisecond

// rateLimits are the limits that targets state, in calls per second.
var rateLimits = []request.Rate{0.5, 2, 7.4}

// slowLinkDelay is the delay that a slow link adds: several times the round trip
// between the regions that are farthest apart, and less than the timeout after
// which a peer is considered down.
const slowLinkDelay = 200 * time.Millisecond

// injectLinkFault injects a fault of the link to a process.
func (execution *execution) injectLinkFault(ctx context.Context, fault Fault, proxy *link.Proxy) {
	switch fault.Kind {
	case FaultReset:
		proxy.ResetConnections()
	case FaultHalfClose:
		proxy.CloseWriteToProcess()
	case FaultSlowLink:
		proxy.AddDelay(slowLinkDelay)
		wait.For(ctx, fault.Duration)
		proxy.AddDelay(-slowLinkDelay)
	default:
		for _, direction := range heldDirections[fault.Kind] {
			proxy.Hold(direction)
		}
		wait.For(ctx, fault.Duration)
		for _, direction := range heldDirections[fault.Kind] {
			proxy.Release(direction)
		}
	}
}

// heldDirections are the directions in which a fault holds back data.
var heldDirections = map[FaultKind][]link.Direction{FaultCutTo: {link.ToProcess}, FaultCutFrom: {link.FromProcess}, FaultSilence: {link.ToProcess, link.FromProcess}}

// startAfter starts hosts after the pause, unless another fault still keeps them down.
func (execution *execution) startAfter(ctx context.Context, pause time.Duration, hosts ...int) {
	wait.For(ctx, pause)
	for _, index := range hosts {
		if execution.overlaps.end(down, index) {
			execution.recordError(execution.processes.Hosts()[index].Start(false))
		}
	}
}

func (execution *execution) recordKill(host int) {
	execution.lock.Lock()
	defer execution.lock.Unlock()
	execution.kills[host] = append(execution.kills[host], time.Since(execution.loadStartedAt))
}

func (execution *execution) recordOverdueStop(host *mesh.Process) {
	execution.lock.Lock()
	defer execution.lock.Unlock()
	execution.overdueStops = append(execution.overdueStops, string(host.Node))
}

// recordError records that a fault could not be injected.
func (execution *execution) recordError(err error) {
	execution.lock.Lock()
	defer execution.lock.Unlock()
	execution.err = errors.Join(execution.err, err)
}

// watchVersions checks that the version in force on a process never decreases. It
// skips hosts that do not answer, most of which are down or frozen.
func (execution *execution) watchVersions(ctx context.Context) {
	client := &http.Client{Timeout: pollInterval}
	for wait.For(ctx, pollInterval) {
		for _, host := range execution.processes.Hosts() {
			processRun := fmt.Sprintf("%s (%d)", host.Node, host.PID())
			askedAt := time.Now()
			version, ok := readGauge(client, host.Admin, "magnoliawall_configuration_version")
			// Skip the answer if the process was restarted during the request.
			if !ok || processRun != fmt.Sprintf("%s (%d)", host.Node, host.PID()) {
				continue
			}
			if previous := execution.versionByRun[processRun]; version < previous {
				execution.versionRegressions = append(execution.versionRegressions, fmt.Sprintf("%s had version %d in force after %d", processRun, version, previous))
			}
			execution.versionByRun[processRun] = version
			execution.checkInForce(processRun, version, askedAt)
		}
	}
}

// readGauge returns the value of a metric of a process.
func readGauge(client *http.Client, admin, name string) (int, bool) {
	response, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), name+" "); found {
			value, err := strconv.Atoi(text)
			return value, err == nil
		}
	}
	return 0, false
}

// readConfigurations asks every host for the newest configuration, and repeats the
// request for up to finalReadTimeout until the host answers.
func (execution *execution) readConfigurations(ctx context.Context) []configurationReading {
	client := &http.Client{Timeout: requestTimeout}
	readings := make([]configurationReading, len(execution.processes.Hosts()))
	asking := sync.WaitGroup{}
	for index, host := range execution.processes.Hosts() {
		asking.Go(func() {
			readings[index].host = string(host.Node)
			for deadline := time.Now().Add(finalReadTimeout); time.Now().Before(deadline) && ctx.Err() == nil; wait.For(ctx, pollInterval) {
				answer, err := post[struct {
					Version int    `json:"version"`
					Text    string `json:"text"`
				}](ctx, client, host.Admin, "view-configuration", struct{}{})
				readings[index].version, readings[index].text, readings[index].err = answer.Version, answer.Text, err
				if err == nil {
					return
				}
			}
		})
	}
	asking.Wait()
	return readings
}

// Lines returns the report as lines of text: a summary, and one line for each
// broken promise.
func (report Report) Lines() []string {
	summary := fmt.Sprintf("seed %d hosts %d faults %d requests %d whole %.3f recovered %.3f changes %d broken %d",
		report.Seed, report.Hosts, len(report.Faults), report.Requests, report.WholeShare, report.RecoveredShare, report.AcceptedChanges, len(report.BrokenPromises))
	if report.SkippedFaults > 0 {
		summary += fmt.Sprintf(" skipped %d", report.SkippedFaults)
	}
	lines := []string{summary}
	for _, returned := range report.Returns {
		lines = append(lines, returned.String())
	}
	return slices.Concat(lines, report.BrokenPromises)
}
