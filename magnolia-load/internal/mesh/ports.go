package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Bounds of the ports that are tried. They are below the system's range of
// ephemeral ports, so that no outgoing connection takes one.
const (
	minPort         = 20_000
	maxPort         = 32_000
	maxPortAttempts = 1000
)

// portReservation listens on ports until their own servers start, so that no other
// process takes them.
type portReservation struct {
	listeners []net.Listener
}

// reserve returns a free address on loopback.
func (reservation *portReservation) reserve() (settings.Address, error) {
	for range maxPortAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			reservation.listeners = append(reservation.listeners, listener)
			return settings.Address(listener.Addr().String()), nil
		}
	}
	return "", oops.Errorf("found no free port from %d to %d; stop other running meshes", minPort, maxPort)
}

// release closes the listeners so that the servers can use the ports.
func (reservation *portReservation) release() {
	for _, listener := range reservation.listeners {
		_ = listener.Close()
	}
	reservation.listeners = nil
}
