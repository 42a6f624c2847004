package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Ports below the range from which the system takes the ports of connections.
const (
	lowestPort   = 20_000
	highestPort  = 32_000
	portAttempts = 1000
)

// reservation keeps ports from other processes until their own server starts.
type reservation struct {
	listeners []net.Listener
}

// take gives a free address on loopback.
func (r *reservation) take() (settings.Address, error) {
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			r.listeners = append(r.listeners, listener)
			return settings.Address(listener.Addr().String()), nil
		}
	}
	return "", oops.Errorf("no free port was found from %d to %d; end other meshes first", lowestPort, highestPort)
}

// release frees the ports for their servers.
func (r *reservation) release() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	r.listeners = nil
}
