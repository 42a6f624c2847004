// Package correlation finds the request on whose behalf a target makes a call that
// names no parent.
//
// A target that calls other services passes on the time that its own request has
// left, so that the call ends when the request does. The node of the target set
// that time, and so knows when each request in progress ends. The request that
// ends at the deadline of a call is most likely its parent. The idea that
// causality can be inferred from externally observed times is from Aguilera et
// al., "Performance Debugging for Distributed Systems of Black Boxes", 2003.
//
// The result is likely, not certain. It may influence the order of calls, but no
// guarantee may depend on it.
//
// # Usage
//
//	requests := &correlation.OpenRequests[parent]{}
//	entry := requests.Enter(deadline, parent) // of a request to the target
//	defer requests.Leave(entry)
//
//	parent, ok := requests.Parent(callDeadline) // of a call by the target
//
// Values are safe for concurrent use, and read no clock.
package correlation

import (
	"slices"
	"sync"
	"time"
)

const (
	// usualOffset is the usual difference between the deadlines of a call and its
	// request: the time left was passed on in whole milliseconds, rounded down,
	// twice.
	usualOffset = -time.Millisecond
	// maxDeviation bounds the deviation from usualOffset of a call that matches.
	// Nine in ten calls of a request are within 2 ms, and more deviate where
	// processor time is short. A call with a timeout of its own has another
	// deadline, mostly farther away.
	maxDeviation = 6 * time.Millisecond
)

// OpenRequests holds the requests in progress at a target.
type OpenRequests[Parent any] struct {
	lock    sync.Mutex
	entries []*Entry[Parent]
}

// Entry is a request in progress at a target.
type Entry[Parent any] struct {
	deadline time.Time
	parent   Parent
}

// Enter adds a request that the target was told to end by the deadline.
func (requests *OpenRequests[Parent]) Enter(deadline time.Time, parent Parent) *Entry[Parent] {
	entry := &Entry[Parent]{deadline: deadline, parent: parent}
	requests.lock.Lock()
	defer requests.lock.Unlock()
	requests.entries = append(requests.entries, entry)
	return entry
}

// Leave removes a request that has ended. Removing it again has no effect.
func (requests *OpenRequests[Parent]) Leave(entry *Entry[Parent]) {
	requests.lock.Lock()
	defer requests.lock.Unlock()
	index := slices.Index(requests.entries, entry)
	if index < 0 {
		return
	}
	last := len(requests.entries) - 1
	requests.entries[index], requests.entries[last] = requests.entries[last], nil
	requests.entries = requests.entries[:last]
}

// Parent returns the request whose deadline best matches that of a call, if one
// is close enough.
func (requests *OpenRequests[Parent]) Parent(callDeadline time.Time) (parent Parent, ok bool) {
	requests.lock.Lock()
	defer requests.lock.Unlock()
	smallest := maxDeviation
	for _, entry := range requests.entries {
		if deviation := (callDeadline.Sub(entry.deadline) - usualOffset).Abs(); deviation < smallest {
			smallest, parent, ok = deviation, entry.parent, true
		}
	}
	return parent, ok
}
