package peer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How soon a connection to a peer that went silent is given up. After a cut of
// some seconds a kept connection would otherwise wait for the next retransmission
// of TCP, which by then comes many seconds apart.
const (
	// unansweredTime bounds how long sent bytes may stay unacknowledged: two to
	// three retransmissions over the longest links between regions.
	unansweredTime = 2 * time.Second
	// probeInterval and probeCount find a silent connection that sends nothing.
	probeInterval = time.Second
	probeCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// firstAttempt is how long the first try for a connection takes, above the round
// trip between the farthest regions; each further try takes twice as long. A host
// that was down when it was first tried, or whose answer was lost, is reached
// soon after it is back, and not only when TCP repeats itself a second later.
const firstAttempt = 250 * time.Millisecond

// dialTCP opens a connection that notices a silent peer.
func dialTCP(ctx context.Context, address Address) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := dialAgain(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", string(address))
	})
	if err != nil {
		return nil, err
	}
	boundSilence(conn)
	return conn, nil
}

// dialAgain tries anew after each try that got no answer, until the context
// ends. A refusal is an answer.
func dialAgain(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for length := firstAttempt; ; length *= 2 {
		attempt, cancel := context.WithTimeout(ctx, length)
		conn, err := dial(attempt)
		silent := err != nil && attempt.Err() != nil
		cancel()
		if !silent || ctx.Err() != nil {
			return conn, err
		}
	}
}

// watchAccepted makes an accepted connection notice a silent peer.
func watchAccepted(conn net.Conn) {
	accepted, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// Without the probes the connection is only found silent later.
	_ = accepted.SetKeepAliveConfig(keepAlive)
	boundSilence(accepted)
}

func boundSilence(conn net.Conn) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// Without the bound the connection is only given up later, by its keep-alive.
	_ = control.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredTime.Milliseconds()))
	})
}
