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
	// seedCount is how many replicas form the log; the others join it.
	seedCount   = 3
	folderMode  = 0o700
	fileMode    = 0o600
	restartPoll = 10 * time.Millisecond
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
func (magnolia *Magnolia) Begin(design Design, links *link.Map, _ uint64) error {
	folder, err := os.MkdirTemp("", "magnolia-load-")
	if err != nil {
		return oops.Wrapf(err, "no temporary folder for the replicas")
	}
	magnolia.links, magnolia.folder = links, folder
	magnolia.inForce = make(map[request.NodeID]configuration.Version)
	magnolia.changed = make(chan struct{})
	return oops.Wrapf(os.WriteFile(magnolia.initialFile(), design.Text, fileMode), "the first configuration cannot be kept")
}

// Add prepares the process of a host.
func (magnolia *Magnolia) Add(added Host) (Endpoints, error) {
	made := &settings.Settings{
		Node:          added.Node,
		Region:        added.Place.Region,
		FailureDomain: added.Place.Domain,
		Service:       added.Service.Name,
		Target:        settings.Address(added.Target),
		Security:      settings.Security{PlaintextOnLoopback: true},
	}
	for _, address := range []*settings.Address{&made.Listen.Callers, &made.Listen.Outbound, &made.Listen.Peers, &made.Listen.Admin} {
		taken, err := magnolia.ports.take()
		if err != nil {
			return Endpoints{}, err
		}
		*address = taken
	}
	magnolia.links.Put(string(made.Listen.Peers), added.Place)
	if err := magnolia.seat(made); err != nil {
		return Endpoints{}, err
	}
	magnolia.settings = append(magnolia.settings, made)
	return Endpoints{
		Callers:  string(made.Listen.Callers),
		Outbound: string(made.Listen.Outbound),
		Admin:    string(made.Listen.Admin),
	}, nil
}

// seat gives a host a replica if its failure domain has none yet.
func (magnolia *Magnolia) seat(made *settings.Settings) error {
	for _, member := range magnolia.members {
		if member.FailureDomain == made.FailureDomain {
			return nil
		}
	}
	if len(magnolia.members) == mostReplicas {
		return nil
	}
	made.DataFolder = filepath.Join(magnolia.folder, string(made.Node))
	made.Replica.InitialConfiguration = magnolia.initialFile()
	magnolia.members = append(magnolia.members, settings.Member{Node: made.Node, Address: made.Listen.Peers, FailureDomain: made.FailureDomain})
	return oops.Wrapf(os.MkdirAll(made.DataFolder, folderMode), "no folder for the replica of %s", made.Node)
}

func (magnolia *Magnolia) initialFile() string { return filepath.Join(magnolia.folder, "first.jsonc") }

func (magnolia *Magnolia) newHost(made *settings.Settings) *host.Host {
	dial := magnolia.links.Dialer(request.Place{Region: made.Region, Domain: made.FailureDomain})
	return &host.Host{
		Settings: made,
		Logger:   magnolia.logger(),
		Dial: func(ctx context.Context, address peer.Address) (net.Conn, error) {
			return dial(ctx, "tcp", string(address))
		},
		InForce: func(version configuration.Version) { magnolia.enforced(made.Node, version) },
	}
}

func (magnolia *Magnolia) logger() *log.Logger {
	level := magnolia.LogLevel
	if level == "" {
		level = "error"
	}
	return &log.Logger{Level: log.ParseLevel(string(level)), Writer: &log.IOWriter{Writer: os.Stderr}}
}

// Run runs all hosts until the context ends, and removes their files.
func (magnolia *Magnolia) Run(ctx context.Context) error {
	defer func() { _ = os.RemoveAll(magnolia.folder) }()
	magnolia.ports.release()
	for {
		life, end := context.WithCancel(ctx)
		magnolia.start(end)
		if err := magnolia.runLife(life); err != nil || ctx.Err() != nil {
			end()
			return err
		}
	}
}

// start makes the hosts of the next life, which end calls an end to.
func (magnolia *Magnolia) start(end context.CancelFunc) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.end, magnolia.began = end, time.Now()
	magnolia.inForce = make(map[request.NodeID]configuration.Version)
	magnolia.hosts = nil
	for _, made := range magnolia.settings {
		made.Seeds = nil
		for _, member := range magnolia.members[:min(len(magnolia.members), seedCount)] {
			made.Seeds = append(made.Seeds, member.Address)
		}
		if made.DataFolder != "" {
			made.Replica.FormsFromSeeds, made.Replica.FirstStart = true, true
			made.Replica.LostDisks = (len(magnolia.members) - 1) / 2
		}
		magnolia.hosts = append(magnolia.hosts, magnolia.newHost(made))
	}
	close(magnolia.changed)
	magnolia.changed = make(chan struct{})
}

func (magnolia *Magnolia) runLife(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, running := range magnolia.hosts {
		group.Go(func() error { return running.Run(ctx) })
	}
	return group.Wait()
}

// Restart ends all hosts at once, starts them again on their files, and gives
// the time from their start until the version is in force on all nodes.
func (magnolia *Magnolia) Restart(ctx context.Context, version configuration.Version) (time.Duration, error) {
	before := magnolia.startedAt()
	magnolia.endLife()
	for !magnolia.startedAt().After(before) {
		_, changed := magnolia.oldest()
		select {
		case <-changed:
		case <-time.After(restartPoll):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	if err := magnolia.WaitInForce(ctx, version); err != nil {
		return 0, err
	}
	return time.Since(magnolia.startedAt()), nil
}

func (magnolia *Magnolia) endLife() {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.end()
}

func (magnolia *Magnolia) startedAt() time.Time {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	return magnolia.began
}

// Links gives the connections between the hosts.
func (magnolia *Magnolia) Links() *link.Map { return magnolia.links }

// enforced notes a version in force at a node.
func (magnolia *Magnolia) enforced(node request.NodeID, version configuration.Version) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	magnolia.inForce[node] = version
	close(magnolia.changed)
	magnolia.changed = make(chan struct{})
}

// oldest gives the oldest version in force at any node, and a channel that
// closes when that may have changed.
func (magnolia *Magnolia) oldest() (configuration.Version, <-chan struct{}) {
	magnolia.mu.Lock()
	defer magnolia.mu.Unlock()
	if len(magnolia.inForce) < len(magnolia.settings) {
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
