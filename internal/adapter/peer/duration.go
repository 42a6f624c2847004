package peer

import "time"

// maxStatedTime bounds the times that a message can state.
const maxStatedTime = 24 * time.Hour

// StatedTime converts a time that a message states as a count of units. A count that is
// negative gives zero, and one of more than a day a day.
func StatedTime(count int64, unit time.Duration) time.Duration {
	return time.Duration(min(max(count, 0), int64(maxStatedTime/unit))) * unit
}
