//go:build race

package replica

// defaultHistories is less with the race detector, which finds no more in a
// history: one goroutine plays it.
const defaultHistories = 200
