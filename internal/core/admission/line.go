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

const (
	spentClasses   = 16
	importanceStep = spentClasses * request.BucketCount
)

// rank orders waiting calls; a higher one is served first and displaced last.
type rank uint32

// rankOf joins importance, a logarithmic class of the work already spent, and
// bucket.
func rankOf(work request.Work) rank {
	class := min(bits.Len64(uint64(max(work.Spent, 0)/spentUnit)), spentClasses-1)
	priority := work.Priority
	return rank(priority.Importance())*importanceStep + rank(class)*request.BucketCount + rank(priority.Bucket())
}

func (r rank) importance() request.Importance {
	return request.Importance(r / importanceStep)
}

// aged is the highest rank of the importance.
func (r rank) aged() rank {
	return r - r%importanceStep + importanceStep - 1
}

func (r rank) priority() request.Priority {
	return request.NewPriority(r.importance(), request.Bucket(r%request.BucketCount))
}

// waiter is a call in the line.
type waiter struct {
	rank     rank
	arrival  uint64
	call     request.CallID
	since    time.Time
	deadline time.Time
	// until is when the call gives up waiting; zero is the gate's own bound.
	until time.Time
}

// compare orders by rank, and within a rank puts the older call last, so that
// it is taken first.
func (w waiter) compare(other waiter) int {
	return cmp.Or(cmp.Compare(w.rank, other.rank), cmp.Compare(other.arrival, w.arrival))
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
		return cmp.Compare(waiting.rank, place)
	})
	return len(l.waiters) - index
}

func (l *line) insert(joining waiter) {
	l.arrivals++
	joining.arrival = l.arrivals
	index, _ := slices.BinarySearchFunc(l.waiters, joining, waiter.compare)
	l.waiters = slices.Insert(l.waiters, index, joining)
}

// displace drops the lowest waiter if a call of this rank goes before it.
func (l *line) displace(place rank) (waiter, bool) {
	if len(l.waiters) == 0 || l.waiters[0].rank >= place {
		return waiter{}, false
	}
	dropped := l.waiters[0]
	l.waiters = slices.Delete(l.waiters, 0, 1)
	return dropped, true
}

// next takes the call that is served next.
func (l *line) next() waiter {
	last := len(l.waiters) - 1
	taken := l.waiters[last]
	l.waiters = l.waiters[:last]
	return taken
}

// age puts the calls that have waited since before a time ahead of all others
// of their importance, in order of arrival. With a line that is never empty,
// the lowest ranks would otherwise wait until their time is over.
func (l *line) age(before time.Time) {
	aged := false
	for index := range l.waiters {
		waiting := &l.waiters[index]
		// A call that has its own bound is refused by it; served by age, the calls of
		// all trees would wait alike, and most trees end too late.
		if !waiting.until.IsZero() || waiting.since.After(before) || waiting.rank == waiting.rank.aged() {
			continue
		}
		waiting.rank = waiting.rank.aged()
		aged = true
	}
	if aged {
		slices.SortFunc(l.waiters, waiter.compare)
	}
}

// remove drops a call from the line.
func (l *line) remove(call request.CallID) {
	l.waiters = slices.DeleteFunc(l.waiters, func(waiting waiter) bool { return waiting.call == call })
}

// expire drops the calls that cannot end before their deadline, even if they
// started now and took only the shortest time, and appends a notice for each.
func (l *line) expire(now time.Time, shortest time.Duration, notices []Notice) []Notice {
	l.waiters = slices.DeleteFunc(l.waiters, func(waiting waiter) bool {
		if !waiting.until.IsZero() && now.After(waiting.until) {
			notices = append(notices, Notice{Call: waiting.call, Decision: refusal(request.WaitedTooLong, RetryAfter(waiting.rank.priority()))})
			return true
		}
		if !now.Add(shortest).After(waiting.deadline) {
			return false
		}
		notices = append(notices, Notice{Call: waiting.call, Decision: refusal(request.DeadlineTooClose, 0)})
		return true
	})
	return notices
}
