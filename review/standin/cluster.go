package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of all machines of a run. They are the same on each machine, which
// has a loopback address of its own.
type ports struct {
	internal, application, ready, outbound, control int
}

// machine is one machine of the platform with one process of the project.
type machine struct {
	run     *caseRun
	name    string
	ip      string
	zone    string
	region  string
	class   string
	service string

	template string
	settings string
	values   map[string]string
	present  map[string]bool

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// cluster is a small deployment: core machines and sidecar machines.
type cluster struct {
	run      *caseRun
	ports    ports
	prefix   string
	cores    []*machine
	sidecars []*machine
}

// deployment says which machines a cluster has.
type deployment struct {
	cores int
	// tolerated is the number of counted machines that may be lost at once.
	tolerated int
	// services has one entry for each sidecar machine. Each is in a zone of its own.
	services []string
}

func newCluster(run *caseRun, wanted deployment) (*cluster, error) {
	made := &cluster{run: run}
	if err := made.chooseAddresses(wanted.cores + len(wanted.services)); err != nil {
		return nil, err
	}
	for index := range wanted.cores {
		made.cores = append(made.cores, made.newMachine("core", index, "", wanted))
	}
	for index, service := range wanted.services {
		made.sidecars = append(made.sidecars, made.newMachine("sidecar", index, service, wanted))
	}
	seeds := make([]string, 0, 3)
	for _, core := range made.cores[:min(3, len(made.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", core.address(made.ports.control)))
	}
	for _, one := range made.machines() {
		one.values["seeds|json"] = "[" + strings.Join(seeds, ",") + "]"
	}
	return made, nil
}

func (cluster *cluster) machines() []*machine {
	return append(append([]*machine{}, cluster.cores...), cluster.sidecars...)
}

// chooseAddresses draws a loopback network and ports that are free on its addresses.
func (cluster *cluster) chooseAddresses(count int) error {
	for range 50 {
		base := 20000 + rand.IntN(8000)
		cluster.ports = ports{internal: base, application: base + 20, ready: base + 21, outbound: base + 22, control: base + 23}
		cluster.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if cluster.addressesFree(count) {
			return nil
		}
	}
	return errors.New("found no free ports")
}

func (cluster *cluster) addressesFree(count int) bool {
	for index := range count {
		for _, port := range []int{cluster.ports.internal, cluster.ports.internal + 15, cluster.ports.application, cluster.ports.ready, cluster.ports.outbound, cluster.ports.control} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", cluster.prefix, index+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

var zones = []struct{ name, region string }{
	{"salto", "norte"}, {"paysandu", "litoral"}, {"montevideo", "sur"}, {"artigas", "norte"}, {"fray-bentos", "litoral"}, {"canelones", "sur"},
}

func (cluster *cluster) newMachine(class string, index int, service string, wanted deployment) *machine {
	zone := zones[index%len(zones)]
	number := index + 1
	if class == "sidecar" {
		number += wanted.cores
	}
	made := &machine{
		run: cluster.run, name: fmt.Sprintf("%s-%s-%d", class, zone.name, index+1), ip: fmt.Sprintf("%s%d", cluster.prefix, number),
		zone: zone.name, region: zone.region, class: class, service: service,
	}
	made.template = filepath.Join(cluster.run.root, "deploy", "replica.jsonc")
	if class == "sidecar" {
		made.template = filepath.Join(cluster.run.root, "deploy", "node.jsonc")
	}
	made.settings = filepath.Join(cluster.run.folder, made.name+".jsonc")
	address := func(port int) string { return made.address(port) }
	made.values = map[string]string{
		"node": made.name, "region": made.region, "zone": made.zone, "service": service, "ip": made.ip,
		"application-address": address(cluster.ports.application), "listen-addresses.outbound": address(cluster.ports.outbound),
		"listen-addresses.control-plane": address(cluster.ports.control), "listen-addresses.ready": address(cluster.ports.ready),
		"internal-port-range.0": fmt.Sprint(cluster.ports.internal), "internal-port-range.1": fmt.Sprint(cluster.ports.internal + 15),
		"data-dir": filepath.Join(cluster.run.folder, made.name), "bootstrap|json": "true", "fault-tolerance.machines": fmt.Sprint(wanted.tolerated),
		"limits.memory-mb": "284", "bounds.grace-period-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "49", "bounds.budget-window-s": "10",
	}
	return made
}

func (machine *machine) address(port int) string { return fmt.Sprintf("%s:%d", machine.ip, port) }

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/[a-z0-9.-]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z0-9.|-]+)\}\}`)
)

// fillTemplate writes the settings file as the platform does.
func (machine *machine) fillTemplate() error {
	text, err := os.ReadFile(machine.template)
	if err != nil {
		return err
	}
	filled := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if _, present := machine.values[parts[1]]; present {
			return parts[2]
		}
		return ""
	})
	filled = placeholderPattern.ReplaceAllStringFunc(filled, func(name string) string {
		return machine.values[strings.Trim(name, "{}")]
	})
	return os.WriteFile(machine.settings, []byte(filled), 0o600)
}

// start starts the machine's process as the deploy file does.
func (machine *machine) start() error {
	if err := machine.fillTemplate(); err != nil {
		return err
	}
	machine.lock.Lock()
	defer machine.lock.Unlock()
	command := exec.Command(filepath.Join(machine.run.root, "target", "magnoliad"), "run")
	command.Dir = machine.run.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + machine.run.folder, "MAGNOLIAWALL_CONFIG=" + machine.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if os.Getenv("REVIEW_LOGS") != "" {
		file, err := os.OpenFile(filepath.Join(os.Getenv("REVIEW_LOGS"), machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		command.Stdout, command.Stderr = file, file
	}
	if err := command.Start(); err != nil {
		return err
	}
	machine.run.note("platform: %s starts, process %d", machine.name, command.Process.Pid)
	ended := make(chan struct{})
	machine.command, machine.ended = command, ended
	// The settings of a later start say that it is not the first one.
	machine.values["bootstrap|json"] = "false"
	go func() {
		err := command.Wait()
		machine.run.note("platform: the process of %s has ended: %v", machine.name, err)
		close(ended)
	}()
	return nil
}

func (machine *machine) signal(signal syscall.Signal) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.command == nil {
		return
	}
	machine.run.note("platform: %s to %s", signal, machine.name)
	_ = machine.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (machine *machine) kill() {
	machine.lock.Lock()
	command, ended := machine.command, machine.ended
	machine.lock.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-ended
}

func (cluster *cluster) startAll() error {
	for _, one := range cluster.machines() {
		if err := one.start(); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *cluster) stopAll() {
	for _, one := range cluster.machines() {
		one.kill()
	}
}

func sleep(run *caseRun, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-run.ctx.Done():
	}
}
