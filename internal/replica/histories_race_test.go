//go:build race

package replica

// defaultHistoryCount is lower with the race detector: one goroutine runs a
// history, so that more of them would find no further races.
const defaultHistoryCount = 200

// groupSizes are fewer for the same reason.
var groupSizes = []int{3, 6}
