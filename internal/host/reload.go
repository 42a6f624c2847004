package host

import (
	"reflect"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Reload takes over what may change while the process runs: the seeds and the
// level of the log. It may be called at any time after Run began, from one
// goroutine.
func (ho *Host) Reload(next *settings.Settings) {
	ho.reloading.Lock()
	defer ho.reloading.Unlock()
	current := *ho.settingsNow()
	unchanged := *next
	unchanged.Seeds, unchanged.SeedPort, unchanged.LogLevel = current.Seeds, current.SeedPort, current.LogLevel
	unchanged.Replica.FirstStart = current.Replica.FirstStart
	needsRestart := !reflect.DeepEqual(unchanged, current)
	current.Seeds, current.SeedPort, current.LogLevel = next.Seeds, next.SeedPort, next.LogLevel
	ho.current.Store(&current)
	if ho.replicas != nil {
		ho.replicas.SetSeeds(ho.seedAddresses())
	}
	ho.Logger.SetLevel(levelOf(current.LogLevel))
	ho.Logger.Info().Int("seeds", len(current.Seeds)).Str("log-level", string(current.LogLevel)).
		Bool("needs-restart", needsRestart).Msg("settings: reloaded; a change of anything else takes effect at the next start")
}

// settingsNow gives the settings with what was reloaded.
func (ho *Host) settingsNow() *settings.Settings {
	if current := ho.current.Load(); current != nil {
		return current
	}
	return ho.Settings
}

// seedAddresses lists where replicas listen, the own one first.
func (ho *Host) seedAddresses() []peer.Address {
	now := ho.settingsNow()
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
