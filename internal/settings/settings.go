// Package settings reads the settings file of one magnoliad process: the region and
// failure domain of the host, the target that it serves, the addresses it listens
// at and, on a host with a disk, the replica that it holds. The file is JSON with
// comments. A [Settings] is not safe for concurrent changes; [Watcher] delivers a
// new one after each change of the file.
//
// # Usage
//
//	loaded, err := settings.Parse(text)
//	if err != nil {
//		return err // settings.Faults, each with its line and field
//	}
//	listen(loaded.Listen.Callers)
//
// Parse opens no files. Paths in the settings are relative to the folder of the
// settings file until [Settings.ResolvePaths] joins them with it.
package settings

import (
	"cmp"
	"net/netip"
	"path/filepath"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

// Faults lists the faults of a settings file.
type Faults = strictjson.Faults

// Address is an IP address with a port, such as "10.1.0.5:7403".
type Address string

// LogLevel is the lowest level that is logged.
type LogLevel string

// Settings is the settings file of one process.
type Settings struct {
	// Node is the name of the node. It does not change during the life of the host.
	Node          request.NodeID     `json:"node"`
	Region        request.RegionName `json:"region"`
	FailureDomain request.DomainName `json:"failure-domain"`
	// Service is the service of the local target, or empty on a host that only
	// holds a replica.
	Service request.ServiceName `json:"service"`
	// Target is the address of the local target.
	Target Address `json:"target"`
	Listen Listen  `json:"listen"`
	// Advertise replaces addresses of Listen in what other processes are told.
	Advertise Advertise `json:"advertise"`
	// Seeds are the peer addresses of replicas. One of them has to be reachable.
	Seeds []Address `json:"seeds"`
	// SeedPort replaces the port of each seed, for lists that contain another port
	// of the same hosts. Zero keeps the ports.
	SeedPort uint16 `json:"seed-port"`
	// DataFolder is the only data folder of a host with a disk.
	DataFolder string `json:"data-folder"`
	// Replica is set only on a host with a disk.
	Replica  Replica  `json:"replica"`
	Security Security `json:"security"`
	// Platform is set where a platform runs the host, and holds the addresses of its
	// calls.
	Platform Platform `json:"platform"`
	// Memory bounds the memory of the process, socket buffers included. Zero means
	// no bound.
	Memory configuration.Bytes `json:"memory"`
	// Stop bounds the duration of a planned stop.
	Stop Stop `json:"stop"`
	// RetryBudget bounds the retries of all nodes together.
	RetryBudget RetryBudget `json:"retry-budget"`
	// Quota is the tolerance of the quotas of customers.
	Quota Quota `json:"quota"`
	// Keys bounds the use of customers' keys without the control plane.
	Keys     Keys     `json:"keys"`
	LogLevel LogLevel `json:"log-level"`
}

// Platform holds the addresses at which a platform and its operators call this
// process, in the platform's own protocol.
type Platform struct {
	// Control receives the announcements of the local target and, on a host with a
	// replica, the operators' calls.
	Control Address `json:"control"`
	// Ready serves the readiness check of callers.
	Ready Address `json:"ready"`
}

// Stop bounds the duration of a planned stop of the process.
type Stop struct {
	// Linger is how long calls are still accepted after the process has announced
	// that it leaves, so that callers can switch to other hosts.
	Linger configuration.Duration `json:"linger"`
	// Grace is the time from the signal until the process is killed. Zero means
	// that it is not killed.
	Grace configuration.Duration `json:"grace"`
	// ForecastTime is how long after the signal calls are accepted that will probably end
	// before the process does, as recent ones took less time than is left. A call that
	// comes later is accepted only if its deadline comes before that. Zero means Linger.
	ForecastTime configuration.Duration `json:"forecast-time"`
}

// RetryBudget bounds the retries that all nodes together send to a service.
type RetryBudget struct {
	// Share is the largest ratio of retries to calls. Zero applies the budget of
	// the configuration instead.
	Share float64 `json:"share"`
	// Slack is the number of retries in a window that are allowed on top of Share.
	Slack float64 `json:"slack"`
	// Window is the time over which calls and retries are counted. With zero,
	// retries are earned by recent successes alone.
	Window configuration.Duration `json:"window"`
}

// Keys bounds how long a node admits calls by the keys of customers that it knows while it
// reaches no replica with a quorum.
type Keys struct {
	// Lifetime is the time within which a withdrawn key is refused even by such a node,
	// which from then on refuses all calls that need a key. With zero it goes on with the
	// keys that it knows.
	Lifetime configuration.Duration `json:"lifetime"`
}

// Quota says by how much a customer may exceed its quota in any window, over all nodes. With
// more, customers near their quota, and those that no replica answers for, lose less.
type Quota struct {
	// Overshoot is a share of the quota, and Slack a number of requests on top of it.
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// SetDefaults sets the values of the optional fields.
func (quota *Quota) SetDefaults() {
	quota.Overshoot, quota.Slack = 0.1, 10
}

// Listen holds the addresses that the process listens at.
type Listen struct {
	// Callers receives the requests of callers.
	Callers Address `json:"callers"`
	// Outbound receives the calls of the local target to other services.
	Outbound Address `json:"outbound"`
	// Peers receives the connections of other magnoliad processes. They are told
	// this address unless Advertise holds another one.
	Peers Address `json:"peers"`
	// Admin serves operators, metrics and health checks.
	Admin Address `json:"admin"`
}

// Advertise holds the addresses at which other processes reach this one if they
// differ from the listen addresses, as behind a proxy or NAT.
type Advertise struct {
	// Peers is advertised instead of listen.peers.
	Peers Address `json:"peers"`
}

// Replica is the replica of the control state that a host holds.
type Replica struct {
	// Members are the hosts that hold replicas, this one included. The log is
	// formed only when all of them are reachable and none has a log. A host that
	// lost its disk waits until an operator replaces its old replica.
	Members []Member `json:"members"`
	// FormsFromSeeds is used instead of Members: the hosts of the seeds form the
	// log, and other hosts join it without an operator, including a host that lost
	// its disk.
	FormsFromSeeds bool `json:"forms-from-seeds"`
	// FirstStart says that all hosts start for the first time. Without it no log
	// is formed.
	FirstStart bool `json:"first-start"`
	// LostDisks is how many disks may be lost at once. No configuration is accepted
	// until 2*LostDisks+1 replicas vote.
	LostDisks int `json:"lost-disks"`
	// InitialConfiguration is the file with the first configuration version. It is
	// read only while there is no version. Without it, an operator submits the
	// first version.
	InitialConfiguration string `json:"initial-configuration"`
}

// Member is a host that holds a replica.
type Member struct {
	Node          request.NodeID     `json:"node"`
	Address       Address            `json:"address"`
	FailureDomain request.DomainName `json:"failure-domain"`
}

// Security names the files of mutual TLS for the peer and admin addresses.
type Security struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// PlaintextOnLoopback disables TLS. All addresses must then be loopback
	// addresses.
	PlaintextOnLoopback bool `json:"plaintext-on-loopback"`
	// PlaintextOnClosedNetwork disables TLS on any address. It is for networks that
	// are closed to others and hosts that are given no keys.
	PlaintextOnClosedNetwork bool `json:"plaintext-on-closed-network"`
}

// Plaintext reports whether peers and operators connect without TLS.
func (security Security) Plaintext() bool {
	return security.PlaintextOnLoopback || security.PlaintextOnClosedNetwork
}

// SetDefaults sets the values of the optional fields.
func (settings *Settings) SetDefaults() {
	settings.LogLevel = "info"
	settings.Quota.SetDefaults()
}

// HoldsReplica reports whether the host holds a replica.
func (settings *Settings) HoldsReplica() bool {
	return len(settings.Replica.Members) > 0 || settings.Replica.FormsFromSeeds
}

// OnPlatform reports whether a platform runs the host.
func (settings *Settings) OnPlatform() bool {
	return settings.Platform.Control != ""
}

// PeerAddress returns the address at which other processes reach this one.
func (settings *Settings) PeerAddress() Address {
	return cmp.Or(settings.Advertise.Peers, settings.Listen.Peers)
}

// SeedAddresses returns the peer addresses of the seeds, with SeedPort applied.
func (settings *Settings) SeedAddresses() []Address {
	addresses := make([]Address, 0, len(settings.Seeds))
	for _, seed := range settings.Seeds {
		parsed, err := netip.ParseAddrPort(string(seed))
		if err == nil && settings.SeedPort != 0 {
			seed = Address(netip.AddrPortFrom(parsed.Addr(), settings.SeedPort).String())
		}
		addresses = append(addresses, seed)
	}
	return addresses
}

// Parse decodes and checks the text of a settings file. The error is of type
// [Faults] and lists every fault with its line and field.
func Parse(text []byte) (*Settings, error) {
	loaded := new(Settings)
	source, faults := strictjson.Decode(text, loaded)
	if len(faults) == 1 && faults[0].Field == "" {
		return nil, faults.Err()
	}
	check := settingsChecker{source: source, settings: loaded, faults: faults}
	check.checkSettings()
	if err := check.faults.Err(); err != nil {
		return nil, err
	}
	return loaded, nil
}

// ResolvePaths joins relative paths with the folder of the settings file.
func (settings *Settings) ResolvePaths(folder string) {
	for _, path := range []*string{
		&settings.DataFolder, &settings.Replica.InitialConfiguration,
		&settings.Security.Authority, &settings.Security.Certificate, &settings.Security.Key,
	} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
