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

// stopLimit bounds a planned stop of a process, which a soak counts as a broken
// promise when it takes longer.
const stopLimit = 20 * time.Second

// Processes runs a mesh on real processes of magnoliad, one for each instance,
// with a replica in each of up to five failure domains. Its exported fields are
// set before Begin.
type Processes struct {
	// Program is the path of magnoliad.
	Program string
	// Folder keeps settings, logs and data.
	Folder string

	ports   reservation
	hosts   []*Process
	replica map[request.DomainName]bool
	seeds   []string
}

// Process is one process, which may be started and ended many times.
type Process struct {
	Node request.NodeID
	// Replica says that the process holds a replica.
	Replica bool
	Admin   string
	// Link is what other processes reach this one through.
	Link *link.Proxy

	link     string
	mesh     *Processes
	folder   string
	settings map[string]any

	lock    sync.Mutex
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	// wanted says that the end of the process was asked for.
	wanted bool
	exits  []string
}

// Begin takes what all nodes share.
func (pr *Processes) Begin(design Design, _ *link.Map, _ uint64) error {
	pr.replica = make(map[request.DomainName]bool)
	return oops.Wrapf(os.WriteFile(pr.first(), design.Text, fileMode), "the first configuration cannot be kept")
}

func (pr *Processes) first() string { return filepath.Join(pr.Folder, "first.jsonc") }

// Add prepares the process of a host.
func (pr *Processes) Add(added Host) (Endpoints, error) {
	addresses := make([]string, 0, 5)
	for range 5 {
		taken, err := pr.ports.take()
		if err != nil {
			return Endpoints{}, err
		}
		addresses = append(addresses, string(taken))
	}
	made := &Process{Node: added.Node, mesh: pr, folder: filepath.Join(pr.Folder, string(added.Node)), Admin: addresses[3], Link: &link.Proxy{Target: addresses[2]}, link: addresses[4]}
	made.settings = map[string]any{
		"node": added.Node, "region": added.Place.Region, "failure-domain": added.Place.Domain,
		"service": added.Service.Name, "target": added.Target,
		"listen":    map[string]string{"callers": addresses[0], "outbound": addresses[1], "peers": addresses[2], "admin": addresses[3]},
		"advertise": map[string]string{"peers": made.link},
		"security":  map[string]bool{"plaintext-on-loopback": true},
	}
	if !pr.replica[added.Place.Domain] && len(pr.replica) < mostReplicas {
		pr.replica[added.Place.Domain] = true
		made.Replica = true
		made.settings["data-folder"] = "data"
		if len(pr.seeds) < seedCount {
			pr.seeds = append(pr.seeds, made.link)
		}
	}
	pr.hosts = append(pr.hosts, made)
	return Endpoints{Callers: addresses[0], Outbound: addresses[1], Admin: addresses[3]}, os.MkdirAll(made.folder, folderMode)
}

// Hosts gives the processes.
func (pr *Processes) Hosts() []*Process { return pr.hosts }

// Run starts all processes and ends those that are left when the context ends.
func (pr *Processes) Run(ctx context.Context) error {
	pr.ports.release()
	serving := sync.WaitGroup{}
	defer serving.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, host := range pr.hosts {
		listener, err := net.Listen("tcp", host.link)
		if err != nil {
			pr.endAll()
			return oops.Wrapf(err, "no link to %s", host.Node)
		}
		serving.Go(func() { host.passOn(ctx, listener) })
		if err := host.Start(true); err != nil {
			pr.endAll()
			return err
		}
	}
	<-ctx.Done()
	pr.endAll()
	return nil
}

// passOn serves the link to a process. Its end counts as one that nobody asked for.
func (process *Process) passOn(ctx context.Context, listener net.Listener) {
	if err := process.Link.Serve(ctx, listener); err != nil {
		process.lock.Lock()
		defer process.lock.Unlock()
		process.exits = append(process.exits, oops.Wrapf(err, "the link to %s ended", process.Node).Error())
	}
}

func (pr *Processes) endAll() {
	ending := sync.WaitGroup{}
	for _, host := range pr.hosts {
		ending.Go(func() { host.Kill() })
	}
	ending.Wait()
}

// Start starts the process, unless it runs. Only the first start of the site may
// form the group of replicas.
func (process *Process) Start(first bool) error {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		return nil
	}
	if err := process.write(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(process.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return oops.Wrapf(err, "no log for %s", process.Node)
	}
	command := exec.Command(process.mesh.Program, "run", filepath.Join(process.folder, "node.jsonc"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return oops.Wrapf(err, "%s cannot be started", process.Node)
	}
	process.command, process.log, process.ended, process.wanted = command, log, make(chan struct{}), false
	go process.watch(command, process.ended)
	return nil
}

// watch notes an end that nobody asked for.
func (process *Process) watch(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	process.lock.Lock()
	defer process.lock.Unlock()
	if !process.wanted {
		process.exits = append(process.exits, oops.Errorf("%s ended by itself: %v", process.Node, err).Error())
	}
	_ = process.log.Close()
	process.command = nil
	close(ended)
}

func (process *Process) write(first bool) error {
	settings := process.settings
	settings["seeds"] = process.mesh.seeds
	if process.Replica {
		settings["replica"] = map[string]any{
			"forms-from-seeds": true, "first-start": first, "lost-disks": (len(process.mesh.replica) - 1) / 2,
			"initial-configuration": process.mesh.first(),
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return oops.Wrapf(os.WriteFile(filepath.Join(process.folder, "node.jsonc"), text, fileMode), "no settings for %s", process.Node)
}

// Signal sends a signal, unless the process has ended.
func (process *Process) Signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// Kill ends the process at once.
func (process *Process) Kill() { process.end(syscall.SIGKILL, 0) }

// Stop ends the process by a planned stop, and tells whether it took longer than
// it may.
func (process *Process) Stop() bool { return process.end(syscall.SIGTERM, stopLimit) }

func (process *Process) end(signal syscall.Signal, limit time.Duration) (overdue bool) {
	process.lock.Lock()
	running, ended := process.command, process.ended
	process.wanted = true
	process.lock.Unlock()
	if running == nil {
		return false
	}
	_ = running.Process.Signal(signal)
	if limit > 0 {
		select {
		case <-ended:
			return false
		case <-time.After(limit):
			overdue = true
		}
		_ = running.Process.Kill()
	}
	<-ended
	return overdue
}

// LoseData ends the process at once and removes its data folder, before anything
// else may start it again.
func (process *Process) LoseData() error {
	for {
		process.Kill()
		if removed, err := process.removeData(); removed {
			return err
		}
	}
}

// removeData removes the data folder unless the process runs.
func (process *Process) removeData() (bool, error) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		return false, nil
	}
	return true, os.RemoveAll(filepath.Join(process.folder, "data"))
}

// Exits tells of the ends that nobody asked for.
func (process *Process) Exits() []string {
	process.lock.Lock()
	defer process.lock.Unlock()
	return slices.Clone(process.exits)
}

// ID gives the id of the running process, or zero.
func (process *Process) ID() int {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}
