// Package memory configures the garbage collector and the memory limit of the Go
// runtime for the processes of magnoliawall.
//
// # Usage
//
//	memory.Tune(holdsReplica, 284<<20)
package memory

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap of a node, a few megabytes, grow to several times its
// live size between two collections, within the 64 MB that a node may use. At the
// default, a busy node collects every few hundred calls, which raises the 99th
// percentile of its latency.
const gcPercent = 400

// heapLimitRatio is the ratio of the runtime's soft memory limit to the memory of
// the process. The rest is for socket buffers in the kernel, which count as memory
// of the process too, and for allocations during a collection.
const heapLimitRatio = 0.5

// Tune sets the memory limit and the collection target of the Go runtime. A host
// that holds a replica keeps the default target, since its live heap is large; so
// does a process whose operator set GOGC. ProcessBytes is the memory of the process
// in bytes; zero means no limit.
func Tune(holdsReplica bool, processBytes int64) {
	if processBytes > 0 {
		debug.SetMemoryLimit(int64(heapLimitRatio * float64(processBytes)))
	}
	if holdsReplica || os.Getenv("GOGC") != "" {
		return
	}
	debug.SetGCPercent(gcPercent)
}
