// Package memory sets how the processes of magnoliawall use their memory.
//
// # Usage
//
//	memory.Tune(holdsReplica)
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

// Tune sets the garbage collector of a process. A host that holds a replica
// keeps the default, since its live heap is large; so does a process whose
// operator set GOGC.
func Tune(holdsReplica bool) {
	if holdsReplica || os.Getenv("GOGC") != "" {
		return
	}
	debug.SetGCPercent(garbagePercent)
}
