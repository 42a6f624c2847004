//go:build !race

package replica

// defaultHistoryCount is the number of histories without the race detector.
const defaultHistoryCount = 20_000
