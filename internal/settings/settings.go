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
	"path/filepath"

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
	// Seeds are the peer addresses of replicas; one that answers is enough.
	Seeds []Address `json:"seeds"`
	// DataFolder is the one folder of a host with a disk.
	DataFolder string `json:"data-folder"`
	// Replica is given only on a host with a disk.
	Replica  Replica  `json:"replica"`
	Security Security `json:"security"`
	LogLevel LogLevel `json:"log-level"`
}

// Listen holds the addresses that the process listens at.
type Listen struct {
	// Callers takes the requests of callers.
	Callers Address `json:"callers"`
	// Outbound takes the calls of the local target to other services.
	Outbound Address `json:"outbound"`
	// Peers takes the other processes of the system, who learn it from here.
	Peers Address `json:"peers"`
	// Admin takes operators, metrics and health checks.
	Admin Address `json:"admin"`
}

// Replica is the replica of the control state that a host holds.
type Replica struct {
	// Members are the hosts that hold replicas, this one included. The log is
	// formed only when all of them are there and none has one; a host whose disk
	// was lost waits until an operator puts its replica in the place of the old.
	Members []Member `json:"members"`
	// InitialConfiguration is the file of the first version. It is read only
	// while there is no version.
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
}

// SetDefaults sets what a file need not give.
func (settings *Settings) SetDefaults() {
	settings.LogLevel = "info"
}

// HoldsReplica tells whether the host holds a replica.
func (settings *Settings) HoldsReplica() bool {
	return len(settings.Replica.Members) > 0
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
