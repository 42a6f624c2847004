package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// spentUnit is the smallest amount of work that moves a waiting call ahead of
// others of its importance.
const spentUnit = 4 * time.Millisecond

const spentClassBits = 4

// rank orders waiting calls; a higher one is served first and displaced last.
type rank uint32

// rankOf joins importance, a logarithmic class of the work already spent, and
// bucket.
func rankOf(work request.Work) rank {
	class := min(bits.Len64(uint64(max(work.Spent, 0)/spentUnit)), 1<<spentClassBits-1)
	high := rank(work.Priority.Importance())<<spentClassBits | rank(class)
	return high*request.BucketCount + rank(work.Priority.Bucket())
}

// waiter is a call in the line.
type waiter struct {
	rank     rank
	arrival  uint64
	call     request.CallID
	since    time.Time
	deadline time.Time
}

// compare orders by rank, and within a rank puts the older call last, so that
// it is taken first.
func (w waiter) compare(other waiter) int {
	switch {
	case w.rank != other.rank:
		return int(w.rank) - int(other.rank)
	case w.arrival > other.arrival:
		return -1
	case w.arrival < other.arrival:
		return 1
	}
	return 0
}

// line holds waiting calls, lowest rank first.
type line struct {
	waiters  []waiter
	arrivals uint64
}

func (l *line) size() int {
	return len(l.waiters)
}

// ahead gives the number of waiting calls that are served before a new call of
// this rank.
func (l *line) ahead(place rank) int {
	index, _ := slices.BinarySearchFunc(l.waiters, place, func(waiting waiter, place rank) int {
		return int(waiting.rank) - int(place)
	})
	return len(l.waiters) - index
}

func (l *line) insert(joining waiter) {
	l.arrivals++
	joining.arrival = l.arrivals
	index, _ := slices.BinarySearchFunc(l.waiters, joining, waiter.compare)
	l.waiters = slices.Insert(l.waiters, index, joining)
}

func (l *line) lowest() waiter {
	return l.waiters[0]
}

func (l *line) dropLowest() waiter {
	dropped := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return dropped
}

func (l *line) takeHighest() waiter {
	last := len(l.waiters) - 1
	taken := l.waiters[last]
	l.waiters = l.waiters[:last]
	return taken
}

// remove drops a call from the line and tells whether it was there.
func (l *line) remove(call request.CallID) bool {
	for index := range l.waiters {
		if l.waiters[index].call == call {
			l.waiters = slices.Delete(l.waiters, index, index+1)
			return true
		}
	}
	return false
}
