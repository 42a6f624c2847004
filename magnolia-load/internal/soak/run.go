package soak

import (
	"bufio"
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

	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	// loadPerPlace is the factor on the load of the whole mesh for each of its six
	// failure domains: about half of what the targets serve, so that what fails does
	// so because of a fault.
	loadPerPlace = 0.4 / 6
	// attempts is how often a caller sends a request.
	attempts      = 3
	watchInterval = 500 * time.Millisecond
	readingTime   = 20 * time.Second
	fileMode      = 0o600
)

// Run is one soak. Its fields are set before Play.
type Run struct {
	// Program is the path of magnoliad.
	Program string
	Seed    uint64
	// Trouble is the time with faults; recovery and a calm time follow.
	Trouble time.Duration
	// Hosts bounds the number of processes; the mesh has four for each place.
	Hosts int
	// Folder keeps the plan, the settings, the logs and the data.
	Folder string
}

// Report tells how a run went.
type Report struct {
	Seed     uint64  `json:"seed"`
	Hosts    int     `json:"hosts"`
	Faults   []Fault `json:"faults"`
	Requests int     `json:"requests"`
	// Whole is the share answered whole, over the run and at its end.
	Whole     float64  `json:"whole"`
	Recovered float64  `json:"recovered"`
	Accepted  int      `json:"changes-accepted"`
	Broken    []string `json:"broken"`
}

// playing is a run under way.
type playing struct {
	run       *Run
	design    mesh.Design
	processes *mesh.Processes
	mesh      *mesh.Mesh
	operators *operators
	plan      []Fault

	lock    sync.Mutex
	overdue []string
	failure error
	// lives keeps the version that each life of a process had in force.
	lives map[string]int
	back  []string
}

// Play brings the site up, plays the plan and gives what was seen.
func (run *Run) Play(ctx context.Context) (Report, error) {
	design := mesh.GotaJusta()
	design.Places = design.Places[:min(len(design.Places), max(run.Hosts/len(design.Services), 1))]
	pl := &playing{run: run, design: design, lives: make(map[string]int)}
	pl.processes = &mesh.Processes{Program: run.Program, Folder: run.Folder}
	pl.mesh = &mesh.Mesh{Design: design, System: pl.processes, Seed: run.Seed, Records: target.NewRecords()}
	if err := pl.mesh.Start(ctx); err != nil {
		return Report{}, err
	}
	all, err := pl.play(ctx)
	if err = errors.Join(err, pl.mesh.Stop()); err != nil {
		return Report{}, err
	}
	return pl.report(all), ctx.Err()
}

func (pl *playing) report(all seen) Report {
	accepted := 0
	for _, sent := range all.changes {
		if sent.Version > 0 {
			accepted++
		}
	}
	return Report{
		Seed: pl.run.Seed, Hosts: len(pl.processes.Hosts()), Faults: pl.plan, Requests: len(all.samples),
		Whole: all.whole(load.Span{To: all.recovered.To}), Recovered: all.whole(all.recovered), Accepted: accepted, Broken: all.broken(),
	}
}

func (pl *playing) replicas() []*mesh.Process {
	var replicas []*mesh.Process
	for _, host := range pl.processes.Hosts() {
		if host.Replica {
			replicas = append(replicas, host)
		}
	}
	return replicas
}

func (pl *playing) play(ctx context.Context) (seen, error) {
	hosts := pl.processes.Hosts()
	pl.plan = NewPlan(pl.run.Seed, pl.run.Trouble, len(hosts), len(pl.replicas()))
	if err := pl.keepPlan(); err != nil {
		return seen{}, err
	}
	pl.operators = newOperators(pl.mesh.Admins(), pl.run.Seed)
	recovered := load.Span{From: pl.run.Trouble + recoveryTime, To: pl.run.Trouble + recoveryTime + calmTime}
	troubled, cease := context.WithCancel(ctx)
	defer cease()
	together := sync.WaitGroup{}
	together.Go(func() { pl.operators.run(troubled) })
	together.Go(func() { pl.watch(troubled) })
	striking := sync.WaitGroup{}
	striking.Go(func() { pl.strike(ctx) })
	runner := &load.Runner{
		Plan: load.Plan{
			Seed: pl.run.Seed, Kinds: pl.design.Kinds, Entries: len(pl.mesh.Callers()), Attempts: attempts,
			Phases: []load.Phase{{Name: "soak", Length: recovered.To, Factor: loadPerPlace * float64(len(pl.design.Places))}},
		},
		Callers: pl.mesh.Callers(), Label: "soak",
	}
	samples := runner.Run(ctx)
	striking.Wait()
	// What is read at the end must hold all that was acknowledged before.
	cease()
	together.Wait()
	all := seen{
		kinds: pl.design.Kinds, samples: samples, records: pl.mesh.Records, finally: pl.read(ctx), sizes: pl.sizes(),
		recovered: recovered,
	}
	all.changes, all.back, all.overdue = pl.operators.changes, pl.back, pl.overdue
	for _, host := range hosts {
		all.exits = append(all.exits, host.Exits()...)
	}
	return all, pl.failure
}

func (pl *playing) keepPlan() error {
	text, err := json.MarshalIndent(pl.plan, "", "\t")
	if err != nil {
		return err
	}
	return oops.Wrapf(os.WriteFile(filepath.Join(pl.run.Folder, "plan.json"), text, fileMode), "the plan cannot be kept")
}

// strike plays the faults, which overlap where their times do, and returns when
// the last one is over.
func (pl *playing) strike(ctx context.Context) {
	began := time.Now()
	faults := sync.WaitGroup{}
	defer faults.Wait()
	for _, fault := range pl.plan {
		if !wait.For(ctx, fault.At-time.Since(began)) {
			return
		}
		faults.Go(func() { pl.carryOut(ctx, fault) })
	}
}

// carryOut carries out one fault. A process that another fault has ended is left to
// that one.
func (pl *playing) carryOut(ctx context.Context, fault Fault) {
	host := pl.processes.Hosts()[fault.Host]
	switch fault.Kind {
	case Kill:
		host.Kill()
		pl.startAfter(ctx, fault.For, host)
	case Stop:
		if host.Stop() {
			pl.noteOverdue(host)
		}
		pl.startAfter(ctx, fault.For, host)
	case Freeze:
		host.Signal(syscall.SIGSTOP)
		wait.For(ctx, fault.For)
		host.Signal(syscall.SIGCONT)
	case Reload:
		host.Signal(syscall.SIGHUP)
	case CutTo, CutFrom, Silence, Slow, Reset, HalfClose:
		pl.harm(ctx, fault, host.Link)
	case LoseDisk:
		replica := pl.replicas()[fault.Host]
		pl.noteFailure(replica.LoseData())
		pl.startAfter(ctx, fault.For, replica)
	case KillAll:
		for _, each := range pl.processes.Hosts() {
			each.Kill()
		}
		pl.startAfter(ctx, fault.For, pl.processes.Hosts()...)
	}
}

// linkDelay is what a slow link adds: some times the round trip between the farthest
// regions, and less than the time after which a peer is given up.
const linkDelay = 200 * time.Millisecond

// harm carries out a fault of the link to a process.
func (pl *playing) harm(ctx context.Context, fault Fault, harmed *link.Proxy) {
	switch fault.Kind {
	case Reset:
		harmed.Reset()
	case HalfClose:
		harmed.HalfClose()
	case Slow:
		harmed.Slow(linkDelay)
		wait.For(ctx, fault.For)
		harmed.Slow(-linkDelay)
	default:
		for _, way := range heldWays[fault.Kind] {
			harmed.Hold(way)
		}
		wait.For(ctx, fault.For)
		for _, way := range heldWays[fault.Kind] {
			harmed.Release(way)
		}
	}
}

// heldWays are the ways that a cut holds back.
var heldWays = map[Kind][]link.Way{CutTo: {link.Inward}, CutFrom: {link.Outward}, Silence: {link.Inward, link.Outward}}

func (pl *playing) startAfter(ctx context.Context, pause time.Duration, hosts ...*mesh.Process) {
	wait.For(ctx, pause)
	for _, host := range hosts {
		pl.noteFailure(host.Start(false))
	}
}

func (pl *playing) noteOverdue(host *mesh.Process) {
	pl.lock.Lock()
	defer pl.lock.Unlock()
	pl.overdue = append(pl.overdue, string(host.Node))
}

// noteFailure keeps a fault that could not be carried out: the run says nothing
// then.
func (pl *playing) noteFailure(err error) {
	pl.lock.Lock()
	defer pl.lock.Unlock()
	pl.failure = errors.Join(pl.failure, err)
}

// watch follows the versions in force. Hosts that say nothing are passed over:
// most of them are down or frozen at the moment.
func (pl *playing) watch(ctx context.Context) {
	client := &http.Client{Timeout: watchInterval}
	for wait.For(ctx, watchInterval) {
		for _, host := range pl.processes.Hosts() {
			life := fmt.Sprintf("%s (%d)", host.Node, host.ID())
			version, ok := gauge(client, host.Admin, "magnoliawall_configuration_version")
			// A life that ended while it was asked tells of another one.
			if !ok || life != fmt.Sprintf("%s (%d)", host.Node, host.ID()) {
				continue
			}
			if before := pl.lives[life]; version < before {
				pl.back = append(pl.back, fmt.Sprintf("%s had version %d in force after %d", life, version, before))
			}
			pl.lives[life] = version
		}
	}
}

// gauge reads a metric of a process.
func gauge(client *http.Client, admin, name string) (int, bool) {
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

// read asks every host for the newest configuration. A host that does not know
// it yet has some time.
func (pl *playing) read(ctx context.Context) []reading {
	client := &http.Client{Timeout: askTimeout}
	readings := make([]reading, len(pl.processes.Hosts()))
	asking := sync.WaitGroup{}
	for index, host := range pl.processes.Hosts() {
		asking.Go(func() {
			readings[index].host = string(host.Node)
			for until := time.Now().Add(readingTime); time.Now().Before(until) && ctx.Err() == nil; wait.For(ctx, watchInterval) {
				told, err := ask[struct {
					Version int    `json:"version"`
					Text    string `json:"text"`
				}](ctx, client, host.Admin, "view-configuration", struct{}{})
				readings[index].version, readings[index].text, readings[index].failure = told.Version, told.Text, err
				if err == nil {
					return
				}
			}
		})
	}
	asking.Wait()
	return readings
}

// sizes tells what the processes hold, as the system lists it.
func (pl *playing) sizes() []size {
	var sizes []size
	for _, host := range pl.processes.Hosts() {
		held, err := sizeOf(host.ID())
		held.host, held.failure = string(host.Node), err
		sizes = append(sizes, held)
	}
	return sizes
}

func sizeOf(id int) (size, error) {
	folder := filepath.Join("/proc", strconv.Itoa(id))
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return size{}, err
	}
	text, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return size{}, err
	}
	var total, resident int
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return size{}, err
	}
	return size{memory: resident * os.Getpagesize(), files: len(files)}, nil
}

// Lines gives the report as lines, the seed's own first.
func (report Report) Lines() []string {
	first := fmt.Sprintf("seed %d hosts %d faults %d requests %d whole %.3f recovered %.3f changes %d broken %d",
		report.Seed, report.Hosts, len(report.Faults), report.Requests, report.Whole, report.Recovered, report.Accepted, len(report.Broken))
	return slices.Concat([]string{first}, report.Broken)
}
