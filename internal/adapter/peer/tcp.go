package peer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a TCP connection to a silent peer fails. Without them, an
// open connection that survives a network outage of some seconds would wait for
// the next TCP retransmission; by then, retransmissions are many seconds apart.
const (
	// userTimeout (TCP_USER_TIMEOUT) bounds how long sent bytes may stay
	// unacknowledged: two to three retransmissions over the longest links between
	// regions.
	userTimeout = 2 * time.Second
	// keepAliveProbeInterval and keepAliveProbeCount detect a silent peer on a
	// connection that sends nothing.
	keepAliveProbeInterval = time.Second
	keepAliveProbeCount    = 2
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: keepAliveProbeCount}

// firstDialTimeout bounds the first attempt to connect; each further attempt gets
// twice as long. It is longer than the round trip between the farthest regions.
// Short attempts reach a host soon after it is back, or after its answer was lost,
// where TCP repeats the SYN only after a second.
const firstDialTimeout = 250 * time.Millisecond

// dialTCP opens a connection with the timeouts for silent peers.
func dialTCP(ctx context.Context, address Address) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig}
	conn, err := dialWithRetries(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", string(address))
	})
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn)
	return conn, nil
}

// dialWithRetries repeats dial after each attempt that timed out, until the
// context ends. Other errors, such as a refused connection, end it at once.
func dialWithRetries(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for timeout := firstDialTimeout; ; timeout *= 2 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt)
		unanswered := err != nil && attempt.Err() != nil
		cancel()
		if !unanswered || ctx.Err() != nil {
			return conn, err
		}
	}
}

// detectSilence sets the timeouts for silent peers on an accepted connection.
func detectSilence(conn net.Conn) {
	accepted, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// On error the connection stays usable; a silent peer is only detected later.
	_ = accepted.SetKeepAliveConfig(keepAliveConfig)
	setUserTimeout(accepted)
}

func setUserTimeout(conn net.Conn) {
	rawConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := rawConn.SyscallConn()
	if err != nil {
		return
	}
	// On error the connection stays usable; it then fails later, by its keep-alive.
	_ = control.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
