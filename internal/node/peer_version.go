package node

import "github.com/magnoliawall/magnoliawall/internal/configuration"

// notePeerVersion records the configuration version that a peer has in force.
func (node *Node) notePeerVersion(version configuration.Version) {
	for {
		known := node.newestPeerVersion.Load()
		if uint64(version) <= known || node.newestPeerVersion.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// NewestPeerVersion returns the newest configuration version that a peer reported as
// in force. A node with an older one should fetch it.
func (node *Node) NewestPeerVersion() configuration.Version {
	return configuration.Version(node.newestPeerVersion.Load())
}
