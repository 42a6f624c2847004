// Package settings reads the settings file of one magnoliad process: where the
// host is, which target it serves, where it listens, and on a host with a disk,
// the replica that it holds. The file is JSON with comments.
//
// # Usage
//
//	loaded, err := settings.Read(text)
//	if err != nil {
//		return err // settings.Faults, each with its line and field
//	}
//	listen(loaded.Listen.Callers)
//
// Read needs no file but the text. Paths in it are relative to the folder of
// the settings file; [Settings.Resolve] makes them so.
package settings

import (
	"cmp"
	"net/netip"
	"path/filepath"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

// Faults lists everything that is wrong with a settings file.
type Faults = strictjson.Faults

// Address is an IP number with a port, as in "10.1.0.5:7403".
type Address string

// LogLevel is the least level of the lines that are logged.
type LogLevel string

// Settings is the settings file of one process.
type Settings struct {
	// Node names the node for the whole life of its host.
	Node          request.NodeID     `json:"node"`
	Region        request.RegionName `json:"region"`
	FailureDomain request.DomainName `json:"failure-domain"`
	// Service is the service of the local target; absent on a host that only
	// holds a replica.
	Service request.ServiceName `json:"service"`
	// Target is where the local target listens.
	Target Address `json:"target"`
	Listen Listen  `json:"listen"`
	// Advertise tells others where to reach this process instead.
	Advertise Advertise `json:"advertise"`
	// Seeds are the peer addresses of replicas; one that answers is enough.
	Seeds []Address `json:"seeds"`
	// SeedPort replaces the port of each seed, for lists that name another
	// port of the same hosts. Zero keeps the ports.
	SeedPort uint16 `json:"seed-port"`
	// DataFolder is the one folder of a host with a disk.
	DataFolder string `json:"data-folder"`
	// Replica is given only on a host with a disk.
	Replica  Replica  `json:"replica"`
	Security Security `json:"security"`
	// Platform is given where a platform runs the host: its calls come in here.
	Platform Platform `json:"platform"`
	// Memory is what the process may use, sockets included; zero is no bound.
	Memory configuration.Bytes `json:"memory"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// RetryBudget bounds the retries of all nodes together.
	RetryBudget RetryBudget `json:"retry-budget"`
	LogLevel    LogLevel    `json:"log-level"`
}

// Platform holds the addresses at which a platform and its operators call this
// process, in the platform's own protocol.
type Platform struct {
	// Control takes announcements of the local target, and on a host with a
	// replica the operators' calls.
	Control Address `json:"control"`
	// Ready takes the question whether callers may send work here.
	Ready Address `json:"ready"`
}

// Stop bounds a planned stop of the process.
type Stop struct {
	// Linger is how long callers are still served after the process has said
	// that it leaves, until they have gone elsewhere.
	Linger configuration.Duration `json:"linger"`
	// Grace is the time from the signal to the forced end of the process; zero
	// means that it is not forced.
	Grace configuration.Duration `json:"grace"`
}

// RetryBudget bounds what all nodes together send to a service beyond the first
// attempts.
type RetryBudget struct {
	// Share is the ratio of retries to calls; zero leaves the budget to the
	// configuration.
	Share float64 `json:"share"`
	// Slack is the number of retries in a window on top of it.
	Slack float64 `json:"slack"`
	// Window is the time over which retries are counted; zero lets recent
	// successes alone earn them.
	Window configuration.Duration `json:"window"`
}

// Listen holds the addresses that the process listens at.
type Listen struct {
	// Callers takes the requests of callers.
	Callers Address `json:"callers"`
	// Outbound takes the calls of the local target to other services.
	Outbound Address `json:"outbound"`
	// Peers takes the other processes of the system, who are told this address unless
	// another one is advertised.
	Peers Address `json:"peers"`
	// Admin takes operators, metrics and health checks.
	Admin Address `json:"admin"`
}

// Advertise holds the addresses at which other processes reach this one, where these
// are not the ones that it listens at, as behind a proxy or a translation of addresses.
type Advertise struct {
	// Peers stands in place of listen.peers.
	Peers Address `json:"peers"`
}

// Replica is the replica of the control state that a host holds.
type Replica struct {
	// Members are the hosts that hold replicas, this one included. The log is
	// formed only when all of them are there and none has one; a host whose disk
	// was lost waits until an operator puts its replica in the place of the old.
	Members []Member `json:"members"`
	// FormsFromSeeds stands in place of Members: the seeds form the log, other
	// hosts join it by themselves, and so does a host that lost its disk.
	FormsFromSeeds bool `json:"forms-from-seeds"`
	// FirstStart says that the whole site starts for the first time; without it
	// no log is formed.
	FirstStart bool `json:"first-start"`
	// LostDisks is how many disks may be lost at once. No configuration is
	// accepted before twice as many and one replicas vote.
	LostDisks int `json:"lost-disks"`
	// InitialConfiguration is the file of the first version. It is read only
	// while there is no version. Without it the first version is an operator's.
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
	// PlaintextOnLoopback leaves TLS out; it is allowed only if each address is
	// one of the loopback range.
	PlaintextOnLoopback bool `json:"plaintext-on-loopback"`
	// PlaintextOnClosedNetwork leaves TLS out on any address. It is for networks
	// that nobody else reaches, on hosts that are given no keys.
	PlaintextOnClosedNetwork bool `json:"plaintext-on-closed-network"`
}

// Plaintext tells whether peers and operators connect without TLS.
func (security Security) Plaintext() bool {
	return security.PlaintextOnLoopback || security.PlaintextOnClosedNetwork
}

// SetDefaults sets what a file need not give.
func (settings *Settings) SetDefaults() {
	settings.LogLevel = "info"
}

// HoldsReplica tells whether the host holds a replica.
func (settings *Settings) HoldsReplica() bool {
	return len(settings.Replica.Members) > 0 || settings.Replica.FormsFromSeeds
}

// OnPlatform tells whether a platform runs the host.
func (settings *Settings) OnPlatform() bool {
	return settings.Platform.Control != ""
}

// PeerAddress is where other processes reach this one.
func (settings *Settings) PeerAddress() Address {
	return cmp.Or(settings.Advertise.Peers, settings.Listen.Peers)
}

// SeedAddresses gives the peer addresses of the seeds.
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

// Read reads and checks a settings file. The error is of type [Faults] and
// names every fault with its line and field.
func Read(text []byte) (*Settings, error) {
	loaded := new(Settings)
	source, faults := strictjson.Decode(text, loaded)
	if len(faults) == 1 && faults[0].Field == "" {
		return nil, faults.Err()
	}
	check := checker{source: source, settings: loaded, faults: faults}
	check.all()
	if err := check.faults.Err(); err != nil {
		return nil, err
	}
	return loaded, nil
}

// Resolve makes the paths relative to the folder of the settings file.
func (settings *Settings) Resolve(folder string) {
	for _, path := range []*string{
		&settings.DataFolder, &settings.Replica.InitialConfiguration,
		&settings.Security.Authority, &settings.Security.Certificate, &settings.Security.Key,
	} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
