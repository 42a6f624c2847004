package port

import (
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Messenger carries messages between replicas. It may lose, delay and reorder
// them, and does not double them.
type Messenger interface {
	// Send passes a message on to an address without waiting. A message that
	// cannot be passed on is lost.
	Send(address string, message *quorumpb.Message)
	// Received gives the messages that arrive for the replicas of this host.
	Received() <-chan *quorumpb.Message
}
