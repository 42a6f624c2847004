// Package memory sets how the processes of magnoliawall use their memory.
//
// # Usage
//
//	memory.Tune(holdsReplica, 284<<20)
package memory

import (
	"os"
	"runtime/debug"
)

// garbagePercent lets a node's heap of a few megabytes grow to several times its
// live size between two collections, within the 64 MB that a node may use. At
// the default a busy node collects every few hundred calls, which shows in the
// slowest one in a hundred.
const garbagePercent = 400

// heapShare is the part of a process's memory that the runtime may fill before
// it collects at any cost. The rest is for bytes that the kernel holds for its
// sockets, which count too, and for what is allocated during a collection.
const heapShare = 0.5

// Tune sets the garbage collector of a process. A host that holds a replica
// keeps the default, since its live heap is large; so does a process whose
// operator set GOGC. Most is the memory of the process in bytes; zero is no
// bound.
func Tune(holdsReplica bool, most int64) {
	if most > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(most)))
	}
	if holdsReplica || os.Getenv("GOGC") != "" {
		return
	}
	debug.SetGCPercent(garbagePercent)
}
