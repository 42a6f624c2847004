package mesh

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/host"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

const (
	maxReplicas = 5
	// seedReplicas is how many replicas form the log; the others join it.
	seedReplicas        = 3
	folderMode          = 0o700
	fileMode            = 0o600
	restartPollInterval = 10 * time.Millisecond
)

// Magnolia runs magnoliawall's hosts within this process: a node for each target,
// and a replica of the control state in each of up to five failure domains, with
// its files in a temporary folder. Patch, WaitInForce and Restart may be called
// while Run is active.
type Magnolia struct {
	// LogLevel is the lowest level that is logged to standard error; empty means
	// errors.
	LogLevel settings.LogLevel

	topology     *link.Topology
	folder       string
	ports        portReservation
	hostSettings []*settings.Settings
	members      []settings.Member

	mu        sync.Mutex
	hosts     []*host.Host
	stopHosts context.CancelFunc
	startTime time.Time
	inForce   map[request.NodeID]configuration.Version
	changed   chan struct{}
}

// Prepare creates the temporary folder and writes the initial configuration.
func (magnolia *Magnolia) Prepare(design Design, topology *link.Topology, _ uint64) error {
	folder, err := os.MkdirTemp("", "magnolia-load-")
	if err != nil {
		return oops.Wrapf(err, "creating the temporary folder of the replicas")
	}
	magnolia.topology, magnolia.folder = topology, folder
	magnolia.inForce = make(map[request.NodeID]configuration.Version)
	magnolia.changed = make(chan struct{})
	return oops.Wrapf(os.WriteFile(magnolia.initialConfigurationPath(), design.Configuration, fileMode), "writing the initial configuration")
}

// AddHost reserves the addresses of a host and creates its settings.
func (magnolia *Magnolia) AddHost(added Host) (Endpoints, error) {
	hostSettings := &settings.Settings{
		Node:          added.Node,
		Region:        added.Place.Region,
		FailureDomain: added.Place.Domain,
		Service:       added.Service.Name,
		Target:        settings.Address(added.TargetAddress),
		Security:      settings.Security{PlaintextOnLoopback: true},
	}
	for _, address := range []*settings.Address{&hostSettings.Listen.Callers, &hostSettings.Listen.Outbound, &hostSettings.Listen.Peers, &hostSettings.Listen.Admin} {
		reserved, err := magnolia.ports.reserve()
		if err != nil {
			return Endpoints{}, err
		}
		*address = reserved
	}
	magnolia.topology.SetPlace(string(hostSettings.Listen.Peers), added.Place)
	if err := magnolia.addReplica(hostSettings); err != nil {
		return Endpoints{}, err
	}
	magnolia.hostSettings = append(magnolia.hostSettings, hostSettings)
	return Endpoints{
		Callers:  string(hostSettings.Listen.Callers),
		Outbound: string(hostSettings.Listen.Outbound),
		Admin:    string(hostSettings.Listen.Admin),
	}, nil
}

// addReplica configures a replica on the host if its failure domain has none yet.
func (magnolia *Magnolia) addReplica(hostSettings *settings.Settings) error {
	for _, member := range magnolia.members {
		if member.FailureDomain == hostSettings.FailureDomain {
			return nil
		}
	}
	if len(magnolia.members) == maxReplicas {
		return nil
	}
	hostSettings.DataFolder = filepath.Join(magnolia.folder, string(hostSettings.Node))
	hostSettings.Replica.InitialConfiguration = magnolia.initialConfigurationPath()
	magnolia.members = append(magnolia.members, settings.Member{Node: hostSettings.Node, Address: hostSettings.Listen.Peers, FailureDomain: hostSettings.FailureDomain})
	return oops.Wrapf(os.MkdirAll(hostSettings.DataFolder, folderMode), "creating the data folder of the replica on %s", hostSettings.Node)
}

func (magnolia *Magnolia) initialConfigurationPath() string {
	return filepath.Join(magnolia.folder, "first.jsonc")
}

func (magnolia *Magnolia) newHost(hostSettings *settings.Settings) *host.Host {
	dial := magnolia.topology.Dialer(request.Place{Region: hostSettings.Region, Domain: hostSettings.FailureDomain})
	return &host.Host{
		Settings: hostSettings,
		Logger:   magnolia.logger(),
		Dial: func(ctx context.Context, address peer.Address) (net.Conn, error) {
			return dial(ctx, "tcp", string(address))
		},
		OnVersionActivated: func(version configuration.Version) { magnolia.recordInForce(hostSettings.Node, version) },
	}
}

func (magnolia *Magnolia) logger() *log.Logger {
	level := magnolia.LogLevel
	if level == "" {
		level = "error"
	}
	return &log.Logger{Level: log.ParseLevel(string(level)), Writer: &log.IOWriter{Writer: os.Stderr}}
}

// Run runs all hosts until the context ends, and then removes their files. It
// starts them again after Restart.
func (magnolia *Magnolia) Run(ctx context.Context) error {
	defer func() { _ = os.RemoveAll(magnolia.folder) }()
	magnolia.ports.release()
	for {
		hostsCtx, stopHosts := context.WithCancel(ctx)
		magnolia.createHosts(stopHosts)
		if err := magnolia.runHosts(hostsCtx); err != nil || ctx.Err() != nil {
			stopHosts()
			return err
		}
	}
}

// createHosts creates the hosts of the next run. stopHosts ends that run.
func (magnolia *Magnolia) createHosts(stopHosts context.CancelFunc) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.stopHosts, magnolia.startTime = stopHosts, time.Now()
	magnolia.inForce = make(map[request.NodeID]configuration.Version)
	magnolia.hosts = nil
	for _, hostSettings := range magnolia.hostSettings {
		hostSettings.Seeds = nil
		for _, member := range magnolia.members[:min(len(magnolia.members), seedReplicas)] {
			hostSettings.Seeds = append(hostSettings.Seeds, member.Address)
		}
		if hostSettings.DataFolder != "" {
			hostSettings.Replica.FormsFromSeeds, hostSettings.Replica.FirstStart = true, true
			hostSettings.Replica.LostDisks = (len(magnolia.members) - 1) / 2
		}
		magnolia.hosts = append(magnolia.hosts, magnolia.newHost(hostSettings))
	}
	close(magnolia.changed)
	magnolia.changed = make(chan struct{})
}

func (magnolia *Magnolia) runHosts(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, started := range magnolia.hosts {
		group.Go(func() error { return started.Run(ctx) })
	}
	return group.Wait()
}

// Restart stops all hosts at once and starts them again on their files. It returns
// the time from their start until the version is in force on all nodes.
func (magnolia *Magnolia) Restart(ctx context.Context, version configuration.Version) (time.Duration, error) {
	previousStart := magnolia.startedAt()
	magnolia.stopRunningHosts()
	for !magnolia.startedAt().After(previousStart) {
		_, changed := magnolia.oldestInForce()
		select {
		case <-changed:
		case <-time.After(restartPollInterval):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	if err := magnolia.WaitInForce(ctx, version); err != nil {
		return 0, err
	}
	return time.Since(magnolia.startedAt()), nil
}

func (magnolia *Magnolia) stopRunningHosts() {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.stopHosts()
}

func (magnolia *Magnolia) startedAt() time.Time {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	return magnolia.startTime
}

// Topology returns the emulated network, which counts the bytes between the hosts.
func (magnolia *Magnolia) Topology() *link.Topology { return magnolia.topology }

// recordInForce records the version in force on a node and wakes waiting callers.
func (magnolia *Magnolia) recordInForce(node request.NodeID, version configuration.Version) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.inForce[node] = version
	close(magnolia.changed)
	magnolia.changed = make(chan struct{})
}

// oldestInForce returns the oldest version in force on any node, or zero if a node
// has none, and a channel that is closed at the next change.
func (magnolia *Magnolia) oldestInForce() (configuration.Version, <-chan struct{}) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	if len(magnolia.inForce) < len(magnolia.hostSettings) {
		return 0, magnolia.changed
	}
	oldest := configuration.Version(0)
	for _, version := range magnolia.inForce {
		if oldest == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest, magnolia.changed
}
