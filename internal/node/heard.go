package node

import "github.com/magnoliawall/magnoliawall/internal/configuration"

// hear notes the version that a peer has in force.
func (no *Node) hear(version configuration.Version) {
	for {
		known := no.heard.Load()
		if uint64(version) <= known || no.heard.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// Heard gives the newest version that a peer is known to have in force. A node
// that is behind it should ask for it.
func (no *Node) Heard() configuration.Version {
	return configuration.Version(no.heard.Load())
}
