package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
)

// unreadPollInterval is the time between two looks for requests that are not read yet.
const unreadPollInterval = 2 * time.Millisecond

// waitingConnections are the connections of a server on which no request has begun.
// The shutdown of [http.Server] closes those that were used before, also if a request
// has arrived on one and waits to be read, as it may on a host with a busy processor.
type waitingConnections struct {
	lock sync.Mutex
	set  map[net.Conn]struct{}
}

// update follows the state of a connection; it is the ConnState of a server.
func (waiting *waitingConnections) update(connection net.Conn, state http.ConnState) {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(waiting.set, connection)
		return
	}
	if waiting.set == nil {
		waiting.set = make(map[net.Conn]struct{})
	}
	waiting.set[connection] = struct{}{}
}

// awaitRead waits until no request waits to be read, or the context ends.
func (waiting *waitingConnections) awaitRead(ctx context.Context) {
	ticker := time.NewTicker(unreadPollInterval)
	defer ticker.Stop()
	for waiting.anyUnread() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (waiting *waitingConnections) anyUnread() bool {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	for connection := range waiting.set {
		if socket.Peek(connection) == socket.Readable {
			return true
		}
	}
	return false
}
