package admission

import (
	"cmp"
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
	return cmp.Or(cmp.Compare(w.rank, other.rank), cmp.Compare(other.arrival, w.arrival))
}

// line holds waiting calls. Calls that waited for long are served first, in
// order of arrival, and are not displaced any more: with a line that is never
// empty, the lowest ranks would otherwise wait until their time is over.
type line struct {
	// waiters has the lowest rank first.
	waiters []waiter
	// aged has the oldest call first.
	aged     []waiter
	arrivals uint64
}

func (l *line) size() int {
	return len(l.waiters) + len(l.aged)
}

// ahead gives the number of waiting calls that are served before a new call of
// this rank.
func (l *line) ahead(place rank) int {
	index, _ := slices.BinarySearchFunc(l.waiters, place, func(waiting waiter, place rank) int {
		return int(waiting.rank) - int(place)
	})
	return len(l.waiters) - index + len(l.aged)
}

func (l *line) insert(joining waiter) {
	l.arrivals++
	joining.arrival = l.arrivals
	index, _ := slices.BinarySearchFunc(l.waiters, joining, waiter.compare)
	l.waiters = slices.Insert(l.waiters, index, joining)
}

// displaces tells whether a call of this rank goes before the lowest waiter.
func (l *line) displaces(place rank) bool {
	return len(l.waiters) > 0 && l.waiters[0].rank < place
}

func (l *line) dropLowest() waiter {
	dropped := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return dropped
}

// next takes the call that is served next.
func (l *line) next() waiter {
	if len(l.aged) > 0 {
		taken := l.aged[0]
		l.aged = slices.Delete(l.aged, 0, 1)
		return taken
	}
	last := len(l.waiters) - 1
	taken := l.waiters[last]
	l.waiters = l.waiters[:last]
	return taken
}

// age moves the calls that have waited since before a time to the aged ones.
func (l *line) age(before time.Time) {
	kept := l.waiters[:0]
	for _, waiting := range l.waiters {
		if waiting.since.After(before) {
			kept = append(kept, waiting)
			continue
		}
		index, _ := slices.BinarySearchFunc(l.aged, waiting, waiter.compareArrival)
		l.aged = slices.Insert(l.aged, index, waiting)
	}
	l.waiters = kept
}

func (w waiter) compareArrival(other waiter) int {
	return cmp.Compare(w.arrival, other.arrival)
}

// remove drops a call from the line.
func (l *line) remove(call request.CallID) {
	same := func(waiting waiter) bool { return waiting.call == call }
	l.waiters = slices.DeleteFunc(l.waiters, same)
	l.aged = slices.DeleteFunc(l.aged, same)
}

// expire drops the calls that cannot end before their deadline, even if they
// started now and took only the shortest time, and appends a notice for each.
func (l *line) expire(now time.Time, shortest time.Duration, notices []Notice) []Notice {
	late := func(waiting waiter) bool {
		if !now.Add(shortest).After(waiting.deadline) {
			return false
		}
		notices = append(notices, Notice{Call: waiting.call, Decision: refusal(request.DeadlineTooClose, 0)})
		return true
	}
	l.waiters = slices.DeleteFunc(l.waiters, late)
	l.aged = slices.DeleteFunc(l.aged, late)
	return notices
}
