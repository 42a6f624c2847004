// Package lineage finds the request on whose behalf a target makes a call, where
// the call names none.
//
// A target that makes calls of its own gives them the time that its request has
// left, so that a call ends when its request does. The node beside the target told
// it that time, and so knows when each request ends that the target works on: the
// one that ends when the call does is most likely its parent. That causes can be
// told from times seen outside is an idea of Aguilera et al., "Performance Debugging
// for Distributed Systems of Black Boxes", 2003.
//
// The answer is likely and not certain. It may decide on the order of calls, never
// on a promise.
//
// # Usage
//
//	open := &lineage.Open[parent]{}
//	entry := open.Enter(until, parent)     // the target was told to end by then
//	defer open.Leave(entry)
//
//	parent, ok := open.Parent(deadline)    // of a call of the target
//
// A value is safe for concurrent use, and reads no clock.
package lineage

import (
	"slices"
	"sync"
	"time"
)

const (
	// usual is how much later a call usually seems to end than its request: its
	// time was given in whole milliseconds, rounded down, twice.
	usual = -time.Millisecond
	// farthest is how far from that a call of the request may seem to end: nine in
	// ten are within 2 ms, more where processor time is short. A call with a time
	// limit of its own ends at another time, mostly farther off.
	farthest = 6 * time.Millisecond
)

// Open holds the requests that a target works on.
type Open[Parent any] struct {
	lock    sync.Mutex
	entries []*Entry[Parent]
}

// Entry is a request that a target works on.
type Entry[Parent any] struct {
	until  time.Time
	parent Parent
}

// Enter adds a request that the target was told to end by a time.
func (op *Open[Parent]) Enter(until time.Time, parent Parent) *Entry[Parent] {
	entry := &Entry[Parent]{until: until, parent: parent}
	op.lock.Lock()
	defer op.lock.Unlock()
	op.entries = append(op.entries, entry)
	return entry
}

// Leave drops a request that the target has ended.
func (op *Open[Parent]) Leave(entry *Entry[Parent]) {
	op.lock.Lock()
	defer op.lock.Unlock()
	index := slices.Index(op.entries, entry)
	if index < 0 {
		return
	}
	last := len(op.entries) - 1
	op.entries[index], op.entries[last] = op.entries[last], nil
	op.entries = op.entries[:last]
}

// Parent gives the request that ends nearest to the deadline of a call, if one
// ends near enough.
func (op *Open[Parent]) Parent(deadline time.Time) (parent Parent, ok bool) {
	op.lock.Lock()
	defer op.lock.Unlock()
	nearest := farthest
	for _, entry := range op.entries {
		if distance := (deadline.Sub(entry.until) - usual).Abs(); distance < nearest {
			nearest, parent, ok = distance, entry.parent, true
		}
	}
	return parent, ok
}
