package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// ports are the same on all hosts.
type ports struct{ outbound, ready, control, inbound, internal, app int }

// host is one machine: a loopback address, a settings file and a process.
type host struct {
	name, zone, ip, service string
	core                    bool
	folder                  string
	command                 *exec.Cmd
	ended                   chan struct{}
	stopping                bool
	instance                *instance
	// serve takes the place of the instance's own server, if it is set.
	serve func(instance *instance, listener net.Listener)
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	record   *record
	root     string
	folder   string
	ports    ports
	hosts    []*host
	fields   map[string]any
	limits   map[string]any
	run      map[bool][]string
	template map[bool]string
	label    int
	// slots is what each instance states.
	slots int
}

const internalPorts = 16

// newCluster makes the hosts, but starts none. It names as many core hosts, and a sidecar
// for each of the services.
func newCluster(record *record, cores int, services ...string) (*cluster, error) {
	root, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), "..", ".."))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	made := &cluster{
		record: record, root: root, folder: folder, slots: defaultSlots,
		run: map[bool][]string{}, template: map[bool]string{},
		fields: map[string]any{
			"grace-period-s": 6, "retry-budget-ratio": 0.2, "retry-budget-slack": 49, "budget-window-s": 10,
		},
		limits: map[string]any{"cpu-share": 0.64, "cpu-cores": 1, "memory-mb": 284, "max-file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0},
	}
	if err := made.readDeployFile(); err != nil {
		return nil, err
	}
	zones := []string{"salto", "paysandu", "montevideo"}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for number := range cores {
		zone := zones[number%len(zones)]
		made.hosts = append(made.hosts, &host{name: fmt.Sprintf("core-%s-%d", zone, number+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, 10+number), core: true})
	}
	for number, service := range services {
		zone := zones[number%len(zones)]
		made.hosts = append(made.hosts, &host{name: fmt.Sprintf("sidecar-%s-%d", zone, number+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, 50+number), service: service})
	}
	return made, made.choosePorts()
}

// choosePorts looks for ports that are free at all addresses.
func (cluster *cluster) choosePorts() error {
	for range 50 {
		base := 12000 + rand.IntN(18000)
		cluster.ports = ports{inbound: base, app: base + 1, ready: base + 2, outbound: base + 4, control: base + 6, internal: base + 10}
		if cluster.portsFree(base) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (cluster *cluster) portsFree(base int) bool {
	for _, host := range cluster.hosts {
		for port := base; port < base+10+internalPorts; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host.ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

var (
	rolePattern  = regexp.MustCompile(`^\[roles\.([\w-]+)\]$`)
	entryPattern = regexp.MustCompile(`^(\w+) = "(.*)"$`)
)

// readDeployFile takes the commands and templates of the two roles from the deploy file.
func (cluster *cluster) readDeployFile() error {
	text, err := os.ReadFile(filepath.Join(cluster.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	roles := map[string]map[string]string{}
	role := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if found := rolePattern.FindStringSubmatch(line); found != nil {
			role = found[1]
			roles[role] = map[string]string{}
		}
		if found := entryPattern.FindStringSubmatch(line); found != nil && role != "" {
			roles[role][found[1]] = found[2]
		}
	}
	for _, entries := range roles {
		core := entries["on"] == "core"
		cluster.run[core] = strings.Fields(entries["run"])
		template, err := os.ReadFile(filepath.Join(cluster.root, entries["template"]))
		if err != nil {
			return err
		}
		cluster.template[core] = string(template)
	}
	return nil
}

func (cluster *cluster) cores() []*host {
	return cluster.only(func(host *host) bool { return host.core })
}

func (cluster *cluster) sidecars() []*host {
	return cluster.only(func(host *host) bool { return !host.core })
}

func (cluster *cluster) only(wanted func(*host) bool) []*host {
	var found []*host
	for _, host := range cluster.hosts {
		if wanted(host) {
			found = append(found, host)
		}
	}
	return found
}

func (cluster *cluster) at(host *host, port int) string { return fmt.Sprintf("%s:%d", host.ip, port) }

// settings are the fields that the platform fills into the template.
func (cluster *cluster) settings(host *host, first bool) map[string]any {
	var seeds []string
	for _, core := range cluster.cores() {
		seeds = append(seeds, cluster.at(core, cluster.ports.control))
	}
	listen := map[string]any{"control-plane": cluster.at(host, cluster.ports.control)}
	if !host.core {
		listen["outbound"] = cluster.at(host, cluster.ports.outbound)
		listen["inbound"] = cluster.at(host, cluster.ports.inbound)
		listen["ready"] = cluster.at(host, cluster.ports.ready)
	}
	return map[string]any{
		"node": host.name, "zone": host.zone, "region": "norte", "ip": host.ip, "service": host.service,
		"internal-port-range": []int{cluster.ports.internal, cluster.ports.internal + internalPorts - 1},
		"seeds":               seeds[:min(3, len(seeds))], "bootstrap": first,
		"application-address": cluster.at(host, cluster.ports.app),
		"listen-addresses":    listen, "limits": cluster.limits, "bounds": cluster.fields,
		"data-dir":        filepath.Join(host.folder, "data"),
		"fault-tolerance": map[string]any{"machines": (len(cluster.cores()) - 1) / 2},
	}
}

// start starts the process of a host.
func (cluster *cluster) start(host *host, first bool) error {
	host.folder = filepath.Join(cluster.folder, host.name)
	if err := os.MkdirAll(filepath.Join(host.folder, "data"), 0o755); err != nil {
		return err
	}
	path := filepath.Join(host.folder, "local")
	if err := os.WriteFile(path, []byte(fill(cluster.template[host.core], cluster.settings(host, first))), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(host.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	words := cluster.run[host.core]
	command := exec.Command(filepath.Join(cluster.root, words[0]), words[1:]...)
	command.Dir = cluster.root
	command.Env = []string{"MAGNOLIAWALL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	// The processes end with this one, also if it is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	host.command, host.ended, host.stopping = command, make(chan struct{}), false
	cluster.record.add("%s started (%s %s) as process %d", host.name, words[0], strings.Join(words[1:], " "), command.Process.Pid)
	go func(ended chan struct{}) {
		err := command.Wait()
		if !host.stopping {
			cluster.record.say("%s ended by itself: %v", host.name, err)
		}
		close(ended)
	}(host.ended)
	return nil
}

// running reports whether the process of a host runs.
func (host *host) running() bool {
	select {
	case <-host.ended:
		return false
	default:
		return true
	}
}

// kill ends the process of a host.
func (cluster *cluster) kill(host *host) {
	if host.command == nil {
		return
	}
	host.stopping = true
	_ = host.command.Process.Kill()
	<-host.ended
}

func (cluster *cluster) startAll() error {
	for _, host := range cluster.hosts {
		if !host.core {
			if err := cluster.startInstance(host); err != nil {
				return err
			}
		}
		if err := cluster.start(host, true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes, and removes the temporary folder unless KEEP is set.
func (cluster *cluster) close() {
	for _, host := range cluster.hosts {
		cluster.kill(host)
		if host.instance != nil {
			host.instance.close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cluster.folder)
	} else {
		fmt.Println("kept", cluster.folder)
	}
}

var operatorClient = &http.Client{Timeout: 2 * time.Second}

// call makes one operator's call at one core host.
func (cluster *cluster) call(ctx context.Context, host *host, method string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+cluster.at(host, cluster.ports.control)+"/magnoliawall/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// put sends a manifest until it is acknowledged or refused, and returns the status. Version
// and base-version are set here.
func (cluster *cluster) put(manifest map[string]any) (int, error) {
	manifest["base-version"] = any(0)
	if cluster.label > 0 {
		manifest["base-version"] = fmt.Sprintf("r%d", cluster.label)
	}
	manifest["version"] = fmt.Sprintf("r%d", cluster.label+1)
	body, err := json.Marshal(manifest)
	if err != nil {
		return 0, err
	}
	cores := cluster.cores()
	for began, turn := time.Now(), 0; time.Since(began) < 20*time.Second; turn++ {
		core := cores[turn%len(cores)]
		status, answer, err := cluster.call(context.Background(), core, http.MethodPut, body)
		if err == nil && status < 500 && status != 408 && status != 429 {
			cluster.record.add("operator: %s at %s is answered %d %s", manifest["version"], core.name, status, bytes.TrimSpace(answer))
			if status == 200 {
				cluster.label++
			}
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, errors.New("the manifest got no answer within 20 s")
}

// mustPut sends a manifest that has to be acknowledged.
func (cluster *cluster) mustPut(manifest map[string]any) error {
	status, err := cluster.put(manifest)
	if err == nil && status != 200 {
		err = fmt.Errorf("the manifest was refused with %d", status)
	}
	return err
}

// awaitReady waits until all sidecars answer their readiness question with 200.
func (cluster *cluster) awaitReady(hosts ...*host) error {
	for _, host := range hosts {
		deadline := time.Now().Add(20 * time.Second)
		for !cluster.isReady(host) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", host.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (cluster *cluster) isReady(host *host) bool {
	response, err := operatorClient.Get("http://" + cluster.at(host, cluster.ports.ready) + "/magnoliawall/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == 200
}

// route is a route of a manifest.
func route(hostName, prefix, kind, service string) map[string]any {
	return map[string]any{
		"host": hostName, "path-prefix": prefix, "kind": kind, "timeout-s": 5.0, "target-latency-s": 1.5,
		"priority": 1, "service": service, "max-attempts": 2,
	}
}

// manifest is a manifest with these routes.
func manifest(routes map[string]any, services ...string) map[string]any {
	described := map[string]any{}
	for _, service := range services {
		described[service] = map[string]any{"health-path": "/health", "max-connections": 472, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"routes": routes, "services": described,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}
