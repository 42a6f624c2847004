package host

import (
	"reflect"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Reload applies the settings that may change while the process runs: the seeds,
// the seed port and the log level. It may be called at any time after Run was
// called, by one goroutine at a time.
func (host *Host) Reload(next *settings.Settings) {
	host.reloadLock.Lock()
	defer host.reloadLock.Unlock()
	current := *host.currentSettings()
	unchanged := *next
	unchanged.Seeds, unchanged.SeedPort, unchanged.LogLevel = current.Seeds, current.SeedPort, current.LogLevel
	unchanged.Replica.FirstStart = current.Replica.FirstStart
	needsRestart := !reflect.DeepEqual(unchanged, current)
	current.Seeds, current.SeedPort, current.LogLevel = next.Seeds, next.SeedPort, next.LogLevel
	host.reloaded.Store(&current)
	if host.replicaDirectory != nil {
		host.replicaDirectory.SetSeeds(host.replicaAddresses())
	}
	host.Logger.SetLevel(logLevel(current.LogLevel))
	host.Logger.Info().Int("seeds", len(current.Seeds)).Str("log-level", string(current.LogLevel)).
		Bool("needs-restart", needsRestart).Msg("settings: reloaded seeds and log level; changes of other settings take effect at the next start")
}

// currentSettings gives the settings, with the changes of the last reload.
func (host *Host) currentSettings() *settings.Settings {
	if current := host.reloaded.Load(); current != nil {
		return current
	}
	return host.Settings
}

// replicaAddresses lists the addresses of the replicas, this host's own one first.
func (host *Host) replicaAddresses() []peer.Address {
	now := host.currentSettings()
	addresses := make([]peer.Address, 0, len(now.Seeds)+1)
	if now.HoldsReplica() {
		addresses = append(addresses, peer.Address(now.PeerAddress()))
	}
	for _, seed := range now.SeedAddresses() {
		if seed != now.PeerAddress() {
			addresses = append(addresses, peer.Address(seed))
		}
	}
	return addresses
}
