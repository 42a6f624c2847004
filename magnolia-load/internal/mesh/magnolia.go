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
	mostReplicas = 5
	folderMode   = 0o700
	fileMode     = 0o600
	restartPoll  = 10 * time.Millisecond
)

// Magnolia runs a mesh on magnoliawall's own hosts: a node for each instance,
// and a replica of the control state on a host of each of up to five failure
// domains, with its files in a temporary folder.
type Magnolia struct {
	// LogLevel is the least level that is logged to the error stream; empty
	// means errors.
	LogLevel settings.LogLevel

	links    *link.Map
	folder   string
	ports    reservation
	settings []*settings.Settings
	members  []settings.Member

	mu      sync.Mutex
	hosts   []*host.Host
	end     context.CancelFunc
	began   time.Time
	inForce map[request.NodeID]configuration.Version
	changed chan struct{}
}

// Begin takes what all nodes share.
func (m *Magnolia) Begin(design Design, links *link.Map, _ uint64) error {
	folder, err := os.MkdirTemp("", "magnolia-load-")
	if err != nil {
		return oops.Wrapf(err, "no temporary folder for the replicas")
	}
	m.links, m.folder = links, folder
	m.inForce = make(map[request.NodeID]configuration.Version)
	m.changed = make(chan struct{})
	return oops.Wrapf(os.WriteFile(m.initialFile(), design.Text, fileMode), "the first configuration cannot be kept")
}

// Add prepares the process of a host.
func (m *Magnolia) Add(added Host) (Endpoints, error) {
	made := &settings.Settings{
		Node:          added.Node,
		Region:        added.Place.Region,
		FailureDomain: added.Place.Domain,
		Service:       added.Service.Name,
		Target:        settings.Address(added.Target),
		Security:      settings.Security{PlaintextOnLoopback: true},
	}
	for _, address := range []*settings.Address{&made.Listen.Callers, &made.Listen.Outbound, &made.Listen.Peers, &made.Listen.Admin} {
		taken, err := m.ports.take()
		if err != nil {
			return Endpoints{}, err
		}
		*address = taken
	}
	m.links.Put(string(made.Listen.Peers), added.Place)
	if err := m.seat(made); err != nil {
		return Endpoints{}, err
	}
	m.settings = append(m.settings, made)
	return Endpoints{
		Callers:  string(made.Listen.Callers),
		Outbound: string(made.Listen.Outbound),
		Admin:    string(made.Listen.Admin),
	}, nil
}

// seat gives a host a replica if its failure domain has none yet.
func (m *Magnolia) seat(made *settings.Settings) error {
	for _, member := range m.members {
		if member.FailureDomain == made.FailureDomain {
			return nil
		}
	}
	if len(m.members) == mostReplicas {
		return nil
	}
	made.DataFolder = filepath.Join(m.folder, string(made.Node))
	made.Replica.InitialConfiguration = m.initialFile()
	m.members = append(m.members, settings.Member{Node: made.Node, Address: made.Listen.Peers, FailureDomain: made.FailureDomain})
	return oops.Wrapf(os.MkdirAll(made.DataFolder, folderMode), "no folder for the replica of %s", made.Node)
}

func (m *Magnolia) initialFile() string { return filepath.Join(m.folder, "first.jsonc") }

func (m *Magnolia) newHost(made *settings.Settings) *host.Host {
	dial := m.links.Dialer(request.Place{Region: made.Region, Domain: made.FailureDomain})
	return &host.Host{
		Settings: made,
		Logger:   m.logger(),
		Dial: func(ctx context.Context, address peer.Address) (net.Conn, error) {
			return dial(ctx, "tcp", string(address))
		},
		InForce: func(version configuration.Version) { m.enforced(made.Node, version) },
	}
}

func (m *Magnolia) logger() *log.Logger {
	level := m.LogLevel
	if level == "" {
		level = "error"
	}
	return &log.Logger{Level: log.ParseLevel(string(level)), Writer: &log.IOWriter{Writer: os.Stderr}}
}

// Run runs all hosts until the context ends, and removes their files.
func (m *Magnolia) Run(ctx context.Context) error {
	defer func() { _ = os.RemoveAll(m.folder) }()
	m.ports.release()
	for {
		life, end := context.WithCancel(ctx)
		m.start(end)
		if err := m.runLife(life); err != nil || ctx.Err() != nil {
			end()
			return err
		}
	}
}

// start makes the hosts of the next life, which end calls an end to.
func (m *Magnolia) start(end context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end, m.began = end, time.Now()
	m.inForce = make(map[request.NodeID]configuration.Version)
	m.hosts = nil
	for _, made := range m.settings {
		made.Seeds = nil
		for _, member := range m.members {
			made.Seeds = append(made.Seeds, member.Address)
		}
		if made.DataFolder != "" {
			made.Replica.Members = m.members
		}
		m.hosts = append(m.hosts, m.newHost(made))
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Magnolia) runLife(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, running := range m.hosts {
		group.Go(func() error { return running.Run(ctx) })
	}
	return group.Wait()
}

// Restart ends all hosts at once, starts them again on their files, and gives
// the time from their start until the version is in force on all nodes.
func (m *Magnolia) Restart(ctx context.Context, version configuration.Version) (time.Duration, error) {
	before := m.startedAt()
	m.endLife()
	for !m.startedAt().After(before) {
		_, changed := m.oldest()
		select {
		case <-changed:
		case <-time.After(restartPoll):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	if err := m.WaitInForce(ctx, version); err != nil {
		return 0, err
	}
	return time.Since(m.startedAt()), nil
}

func (m *Magnolia) endLife() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end()
}

func (m *Magnolia) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.began
}

// Links gives the connections between the hosts.
func (m *Magnolia) Links() *link.Map { return m.links }

// enforced notes a version in force at a node.
func (m *Magnolia) enforced(node request.NodeID, version configuration.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inForce[node] = version
	close(m.changed)
	m.changed = make(chan struct{})
}

// oldest gives the oldest version in force at any node, and a channel that
// closes when that may have changed.
func (m *Magnolia) oldest() (configuration.Version, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.inForce) < len(m.settings) {
		return 0, m.changed
	}
	oldest := configuration.Version(0)
	for _, version := range m.inForce {
		if oldest == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest, m.changed
}
