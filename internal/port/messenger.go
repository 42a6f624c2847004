package port

import (
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Messenger carries messages between replicas. It may lose, delay and reorder
// messages, and delivers each at most once.
type Messenger interface {
	// Send sends a message to an address without blocking. A message that cannot be
	// sent is lost.
	Send(address string, message *quorumpb.Message)
	// Received gives the channel of incoming messages for the replicas of this host.
	Received() <-chan *quorumpb.Message
}
