package mesh

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

// plannedStopTimeout is how long a process may take to stop after SIGTERM; a soak
// test reports a longer stop as a broken promise.
const plannedStopTimeout = 20 * time.Second

// Processes runs a process of magnoliad for each target, with a replica in each of the
// first failure domains. Its exported fields are set before Prepare.
type Processes struct {
	// Program is the path of magnoliad.
	Program string
	// Folder holds settings, logs and data.
	Folder string
	// MaxReplicas is the largest number of replicas.
	MaxReplicas int
	// Latencies are those between the processes' places, and BytesPerSecond is the rate of
	// each direction of a connection; zero values mean neither.
	Latencies      link.Latencies
	BytesPerSecond int64

	ports          portReservation
	processes      []*Process
	replicaDomains map[request.DomainName]bool
	seedAddresses  []string
}

// Process is one process of magnoliad, which may be started and stopped many
// times. Its methods are safe for concurrent use.
type Process struct {
	Node request.NodeID
	// Replica reports whether the process holds a replica.
	Replica bool
	Admin   string
	// Link is the proxy through which other processes connect to this one.
	Link *link.Proxy
	// LinkAddress is the address of the proxy, which is the process's peer address for
	// the others.
	LinkAddress string

	owner    *Processes
	place    request.Place
	folder   string
	settings map[string]any

	lock    sync.Mutex
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	// stopRequested is set when the process is told to end.
	stopRequested   bool
	unexpectedExits []string
}

// Prepare writes the initial configuration.
func (processes *Processes) Prepare(design Design, _ *link.Topology, _ uint64) error {
	processes.replicaDomains = make(map[request.DomainName]bool)
	return oops.Wrapf(os.WriteFile(processes.initialConfigurationPath(), design.Configuration, fileMode), "writing the initial configuration")
}

func (processes *Processes) initialConfigurationPath() string {
	return filepath.Join(processes.Folder, "first.jsonc")
}

// AddHost reserves the addresses of a process and creates its settings.
func (processes *Processes) AddHost(added Host) (Endpoints, error) {
	addresses := make([]string, 0, 5)
	for range 5 {
		reserved, err := processes.ports.reserve()
		if err != nil {
			return Endpoints{}, err
		}
		addresses = append(addresses, string(reserved))
	}
	process := &Process{Node: added.Node, owner: processes, place: added.Place, folder: filepath.Join(processes.Folder, string(added.Node)), Admin: addresses[3], Link: &link.Proxy{Target: addresses[2]}, LinkAddress: addresses[4]}
	process.settings = map[string]any{
		"node": added.Node, "region": added.Place.Region, "failure-domain": added.Place.Domain,
		"service": added.Service.Name, "target": added.TargetAddress,
		"listen":    map[string]string{"callers": addresses[0], "outbound": addresses[1], "peers": addresses[2], "admin": addresses[3]},
		"advertise": map[string]string{"peers": process.LinkAddress},
		"security":  map[string]bool{"plaintext-on-loopback": true},
	}
	if !processes.replicaDomains[added.Place.Domain] && len(processes.replicaDomains) < processes.MaxReplicas {
		processes.replicaDomains[added.Place.Domain] = true
		process.Replica = true
		process.settings["data-folder"] = "data"
		if len(processes.seedAddresses) < seedReplicas {
			processes.seedAddresses = append(processes.seedAddresses, process.LinkAddress)
		}
	}
	processes.processes = append(processes.processes, process)
	return Endpoints{Callers: addresses[0], Outbound: addresses[1], Admin: addresses[3]}, os.MkdirAll(process.folder, folderMode)
}

// Hosts returns the processes.
func (processes *Processes) Hosts() []*Process { return processes.processes }

// Run starts all processes, and kills the running ones when the context ends.
func (processes *Processes) Run(ctx context.Context) error {
	processes.ports.release()
	serving := sync.WaitGroup{}
	defer serving.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nodes []string
	for _, host := range processes.processes {
		nodes = append(nodes, string(host.Node))
	}
	for _, host := range processes.processes {
		host.Link.Peers = nodes
		host.Link.Latencies, host.Link.BytesPerSecond = processes.latenciesTo(host), processes.BytesPerSecond
		listener, err := net.Listen("tcp", host.LinkAddress)
		if err != nil {
			processes.killAll()
			return oops.Wrapf(err, "listening for the link to %s", host.Node)
		}
		serving.Go(func() { host.serveLink(ctx, listener) })
		if err := host.Start(true); err != nil {
			processes.killAll()
			return err
		}
	}
	<-ctx.Done()
	processes.killAll()
	return nil
}

// latenciesTo returns the latency between a process and each other one, or nil if there is
// none.
func (processes *Processes) latenciesTo(process *Process) map[string]time.Duration {
	if processes.Latencies == (link.Latencies{}) {
		return nil
	}
	latencies := make(map[string]time.Duration)
	for _, other := range processes.processes {
		latencies[string(other.Node)] = processes.Latencies.Between(process.place, other.place)
	}
	return latencies
}

// serveLink serves the proxy to a process. An early end of the proxy is recorded as
// an unexpected exit.
func (process *Process) serveLink(ctx context.Context, listener net.Listener) {
	if err := process.Link.Serve(ctx, listener); err != nil {
		process.lock.Lock()
		defer process.lock.Unlock()
		process.unexpectedExits = append(process.unexpectedExits, oops.Wrapf(err, "serving the link to %s", process.Node).Error())
	}
}

func (processes *Processes) killAll() {
	ending := sync.WaitGroup{}
	for _, host := range processes.processes {
		ending.Go(func() { host.Kill() })
	}
	ending.Wait()
}

// Start starts the process unless it runs. Replicas may form their group only at
// the first start of the site.
func (process *Process) Start(first bool) error {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		return nil
	}
	if err := process.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(process.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return oops.Wrapf(err, "opening the log of %s", process.Node)
	}
	command := exec.Command(process.owner.Program, "run", filepath.Join(process.folder, "node.jsonc"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return oops.Wrapf(err, "starting %s", process.Node)
	}
	process.command, process.log, process.exited, process.stopRequested = command, log, make(chan struct{}), false
	go process.waitForExit(command, process.exited)
	return nil
}

// waitForExit waits for the process and records an exit that was not requested.
func (process *Process) waitForExit(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	process.lock.Lock()
	defer process.lock.Unlock()
	if !process.stopRequested {
		process.unexpectedExits = append(process.unexpectedExits, oops.Errorf("%s exited unexpectedly: %v", process.Node, err).Error())
	}
	_ = process.log.Close()
	process.command = nil
	close(exited)
}

func (process *Process) writeSettings(first bool) error {
	settings := process.settings
	settings["seeds"] = process.owner.seedAddresses
	if process.Replica {
		settings["replica"] = map[string]any{
			"forms-from-seeds": true, "first-start": first, "lost-disks": (len(process.owner.replicaDomains) - 1) / 2,
			"initial-configuration": process.owner.initialConfigurationPath(),
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return oops.Wrapf(os.WriteFile(filepath.Join(process.folder, "node.jsonc"), text, fileMode), "writing the settings of %s", process.Node)
}

// Signal sends a signal to the process if it runs.
func (process *Process) Signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (process *Process) Kill() { process.stopWith(syscall.SIGKILL, 0) }

// Stop sends SIGTERM and waits for the end of the process. It kills the process
// and returns true if that takes longer than plannedStopTimeout.
func (process *Process) Stop() bool { return process.stopWith(syscall.SIGTERM, plannedStopTimeout) }

func (process *Process) stopWith(signal syscall.Signal, timeout time.Duration) (overdue bool) {
	process.lock.Lock()
	running, exited := process.command, process.exited
	process.stopRequested = true
	process.lock.Unlock()
	if running == nil {
		return false
	}
	_ = running.Process.Signal(signal)
	if timeout > 0 {
		select {
		case <-exited:
			return false
		case <-time.After(timeout):
			overdue = true
		}
		_ = running.Process.Kill()
	}
	<-exited
	return overdue
}

// LoseData kills the process and removes its data folder before the process can be
// started again.
func (process *Process) LoseData() error {
	for {
		process.Kill()
		if removed, err := process.removeData(); removed {
			return err
		}
	}
}

// removeData removes the data folder unless the process runs. It reports whether
// it tried.
func (process *Process) removeData() (bool, error) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		return false, nil
	}
	return true, os.RemoveAll(filepath.Join(process.folder, "data"))
}

// UnexpectedExits describes the exits that were not requested.
func (process *Process) UnexpectedExits() []string {
	process.lock.Lock()
	defer process.lock.Unlock()
	return slices.Clone(process.unexpectedExits)
}

// PID returns the id of the running process, or zero.
func (process *Process) PID() int {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}
