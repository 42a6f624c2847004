//go:build !race

package replica

// defaultHistoryCount is the number of histories without the race detector.
const defaultHistoryCount = 20_000

// groupSizes are the sizes of the groups that lose disks.
var groupSizes = []int{3, 5, 6, 7, 9}
