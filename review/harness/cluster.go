package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a machine from the first one. They are the same on all
// machines.
const (
	portInbound = iota
	portApplication
	portReady
	portOutbound
	portControl
	portInternal
	portCount = portInternal + 16
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// coreMemoryMiB and sidecarMemoryMiB are the memory of the machines of the small sites.
const (
	coreMemoryMiB    = 280
	sidecarMemoryMiB = 284
)

// zones are the zones of the deployment; each is in a region of its own.
var zones = []string{"salto", "paysandu", "montevideo"}

// machine is one machine of the platform with its process.
type machine struct {
	cluster *cluster
	name    string
	zone    string
	ip      string
	// service is empty on a core machine.
	service string
	folder  string

	// lock guards the process and the fields below.
	lock    sync.Mutex
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	// closed says that the case has ended and the process is not started any more.
	closed bool
}

// cluster is a small deployment on loopback addresses: a core machine and one sidecar
// machine for each service in each zone.
type cluster struct {
	record    *record
	folder    string
	firstPort int
	cores     []*machine
	sidecars  []*machine
}

func newCluster(log *record, chosen scenario) (*cluster, error) {
	folder, err := os.MkdirTemp("", "magnoliawall-review-")
	if err != nil {
		return nil, err
	}
	built := &cluster{record: log, folder: folder}
	network := 16 + rand.IntN(200)
	for zone, name := range zones {
		built.cores = append(built.cores, built.newMachine("core-"+name+"-1", name, fmt.Sprintf("127.%d.%d.1", network, zone+1), ""))
		if chosen.sidecarZones > 0 && zone >= chosen.sidecarZones {
			continue
		}
		for index, service := range chosen.services {
			address := fmt.Sprintf("127.%d.%d.%d", network, zone+1, index+10)
			built.sidecars = append(built.sidecars, built.newMachine(fmt.Sprintf("sidecar-%s-%d", name, index+1), name, address, service))
		}
	}
	return built, built.choosePorts()
}

func (cluster *cluster) newMachine(name, zone, ip, service string) *machine {
	return &machine{cluster: cluster, name: name, zone: zone, ip: ip, service: service, folder: filepath.Join(cluster.folder, name)}
}

func (cluster *cluster) machines() []*machine {
	return append(append([]*machine{}, cluster.cores...), cluster.sidecars...)
}

// choosePorts finds ports that are free on all machines.
func (cluster *cluster) choosePorts() error {
	for range 50 {
		cluster.firstPort = 20_000 + 32*rand.IntN(350)
		if cluster.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (cluster *cluster) portsFree() bool {
	for _, machine := range cluster.machines() {
		for offset := range portCount {
			listener, err := net.Listen("tcp", machine.address(offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// sidecar returns the machine of a service in a zone.
func (cluster *cluster) sidecar(service, zone string) *machine {
	for _, machine := range cluster.sidecars {
		if machine.service == service && machine.zone == zone {
			return machine
		}
	}
	return nil
}

// startAll starts all processes for the first time.
func (cluster *cluster) startAll() error {
	for _, machine := range cluster.machines() {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes that were started and removes their files.
func (cluster *cluster) close() {
	for _, machine := range cluster.machines() {
		machine.lock.Lock()
		machine.closed = true
		machine.lock.Unlock()
		machine.kill()
	}
	_ = os.RemoveAll(cluster.folder)
}

func (machine *machine) address(offset int) string {
	return net.JoinHostPort(machine.ip, fmt.Sprint(machine.cluster.firstPort+offset))
}

// fields are the settings that the platform gives to the process.
func (machine *machine) fields(bootstrap bool) fields {
	seeds := make([]string, 0, len(machine.cluster.cores))
	for _, core := range machine.cluster.cores {
		seeds = append(seeds, core.address(portControl))
	}
	first := machine.cluster.firstPort + portInternal
	values := fields{
		"node": machine.name, "ip": machine.ip, "zone": machine.zone, "region": "region-" + machine.zone,
		"internal-port-range": []int{first, first + 15},
		"seeds":               seeds,
		"bootstrap":           bootstrap,
		"fault-tolerance":     fields{"machines": 1, "zones": 0, "regions": 0},
		"bounds": fields{
			"grace-period-s": grace.Seconds(), "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 49,
		},
	}
	listen := fields{"control-plane": machine.address(portControl)}
	if machine.service == "" {
		values["data-dir"] = filepath.Join(machine.folder, "data")
		values["limits"] = fields{"memory-mb": coreMemoryMiB}
	} else {
		values["service"] = machine.service
		values["application-address"] = machine.address(portApplication)
		values["limits"] = fields{"memory-mb": sidecarMemoryMiB}
		listen["inbound"], listen["outbound"], listen["ready"] = machine.address(portInbound), machine.address(portOutbound), machine.address(portReady)
	}
	values["listen-addresses"] = listen
	return values
}

// start starts the process with the command of the deploy file.
func (machine *machine) start(bootstrap bool) error {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.closed {
		return errors.New("the case has ended")
	}
	template := "deploy/node.jsonc"
	if machine.service == "" {
		template = "deploy/replica.jsonc"
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	settings, err := render(string(text), machine.fields(bootstrap))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(machine.folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(machine.folder, "local.jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if machine.log, err = os.OpenFile(filepath.Join(machine.folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	machine.command = exec.Command("target/magnoliad", "run")
	machine.command.Env = []string{"MAGNOLIAWALL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	machine.command.Stdout, machine.command.Stderr = machine.log, machine.log
	if err := machine.command.Start(); err != nil {
		return err
	}
	machine.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(machine.command, machine.exited)
	return nil
}

func (machine *machine) signal(signal syscall.Signal) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	machine.cluster.record.add("platform: %s to %s", signal, machine.name)
	if machine.command != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

// kill kills the process, if it runs, and waits for its end.
func (machine *machine) kill() {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if machine.command == nil {
		return
	}
	_ = machine.command.Process.Kill()
	<-machine.exited
	_ = machine.log.Close()
	machine.command = nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// period. It returns how long the process took to end.
func (machine *machine) terminate() time.Duration {
	machine.lock.Lock()
	exited := machine.exited
	machine.lock.Unlock()
	began := time.Now()
	machine.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		machine.signal(syscall.SIGKILL)
		<-exited
	}
	took := time.Since(began)
	machine.kill()
	return took
}

// ready asks the process whether it is ready.
func (machine *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.address(portReady)+"/magnoliawall/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all sidecar machines are ready.
func (cluster *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, machine := range cluster.sidecars {
		for !machine.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", machine.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// logLines returns the lines in the log of the process that contain a text.
func (machine *machine) logLines(text string) []string {
	content, err := os.ReadFile(filepath.Join(machine.folder, "log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}
