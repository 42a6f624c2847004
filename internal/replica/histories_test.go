//go:build !race

package replica

// defaultHistories is what script/test plays without the race detector.
const defaultHistories = 20_000
