package peer

import (
	"time"

	"golang.org/x/sys/unix"
)

// checkHostTime logs once that the time under way of calls is unknown.
func (transport *Transport) checkHostTime() {
	if hostTime() == 0 && transport.Logger != nil {
		transport.Logger.Warn().Msg("peer: the clock of the host cannot be read; the time that calls are under way is not counted")
	}
}

// hostTime returns the time since the start of the host, or zero if the system does not
// tell it. Unlike the monotonic reading of [time.Time] it goes on while the host is
// suspended, and unlike the time of day nobody sets it.
func hostTime() time.Duration {
	now := unix.Timespec{}
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
