package admission

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// spentUnit is the least time already spent on a request that ranks its waiting
// call above others of the same importance.
const spentUnit = 4 * time.Millisecond

const (
	spentClassCount    = 16
	ranksPerImportance = spentClassCount * ranksPerClass
	ranksPerClass      = request.ExcessCount * request.BucketCount
)

// rank orders waiting calls; a higher one is served first and displaced last.
type rank uint32

// rankOf combines importance, a logarithmic class of the time already spent, how
// far the call lies over the share of its customer, and bucket, in this order.
func rankOf(work request.Work) rank {
	class := min(bits.Len64(uint64(max(work.Spent, 0)/spentUnit)), spentClassCount-1)
	priority := work.Priority
	callRank := rank(priority.Importance())*ranksPerImportance + rank(class)*ranksPerClass + rank(priority.Bucket())
	return callRank + rank(request.MaxExcess-work.Excess)*request.BucketCount
}

func (callRank rank) importance() request.Importance {
	return request.Importance(callRank / ranksPerImportance)
}

// highestOfImportance is the highest rank of the same importance.
func (callRank rank) highestOfImportance() rank {
	return callRank - callRank%ranksPerImportance + ranksPerImportance - 1
}

func (callRank rank) priority() request.Priority {
	return request.NewPriority(callRank.importance(), request.Bucket(callRank%request.BucketCount))
}

// queuedCall is a call in the queue.
type queuedCall struct {
	rank       rank
	arrival    uint64
	call       request.CallID
	enqueuedAt time.Time
	deadline   time.Time
	// waitUntil ends the wait of a call with a patience of its own; zero leaves
	// the wait to the limits of the gate.
	waitUntil time.Time
}

// compare orders by rank, and within a rank puts the older call last, so that
// it is served first.
func (queued queuedCall) compare(other queuedCall) int {
	return cmp.Or(cmp.Compare(queued.rank, other.rank), cmp.Compare(other.arrival, queued.arrival))
}

// callQueue holds waiting calls, lowest rank first.
type callQueue struct {
	calls    []queuedCall
	arrivals uint64
}

func (queue *callQueue) size() int {
	return len(queue.calls)
}

// ahead is the number of queued calls that are served before a new call of this
// rank.
func (queue *callQueue) ahead(newRank rank) int {
	index, _ := slices.BinarySearchFunc(queue.calls, newRank, func(queued queuedCall, newRank rank) int {
		return cmp.Compare(queued.rank, newRank)
	})
	return len(queue.calls) - index
}

func (queue *callQueue) insert(added queuedCall) {
	queue.arrivals++
	added.arrival = queue.arrivals
	index, _ := slices.BinarySearchFunc(queue.calls, added, queuedCall.compare)
	queue.calls = slices.Insert(queue.calls, index, added)
}

// displace removes the call of the lowest rank if a new call of this rank
// precedes it.
func (queue *callQueue) displace(newRank rank) (queuedCall, bool) {
	if len(queue.calls) == 0 || queue.calls[0].rank >= newRank {
		return queuedCall{}, false
	}
	displaced := queue.calls[0]
	queue.calls = slices.Delete(queue.calls, 0, 1)
	return displaced, true
}

// pop removes the call that is served next.
func (queue *callQueue) pop() queuedCall {
	last := len(queue.calls) - 1
	popped := queue.calls[last]
	queue.calls = queue.calls[:last]
	return popped
}

// promote moves the calls that were enqueued before a time ahead of all others
// of their importance, in order of arrival. While the queue is never empty, the
// calls of the lowest ranks would otherwise wait until their deadline.
func (queue *callQueue) promote(enqueuedBefore time.Time) {
	promoted := false
	for index := range queue.calls {
		queued := &queue.calls[index]
		// A call with a patience of its own is refused when that is over. If such
		// calls were served by age, the calls of all request trees would wait about
		// equally long, and most trees would end too late.
		if !queued.waitUntil.IsZero() || queued.enqueuedAt.After(enqueuedBefore) || queued.rank == queued.rank.highestOfImportance() {
			continue
		}
		queued.rank = queued.rank.highestOfImportance()
		promoted = true
	}
	if promoted {
		slices.SortFunc(queue.calls, queuedCall.compare)
	}
}

func (queue *callQueue) remove(call request.CallID) {
	queue.calls = slices.DeleteFunc(queue.calls, func(queued queuedCall) bool { return queued.call == call })
}

// expire removes the calls whose own patience is over, and those that would miss
// their deadline even if they started now and took the shortest latency. It
// appends a notice for each.
func (queue *callQueue) expire(now time.Time, shortestLatency time.Duration, notices []Notice) []Notice {
	queue.calls = slices.DeleteFunc(queue.calls, func(queued queuedCall) bool {
		if !queued.waitUntil.IsZero() && now.After(queued.waitUntil) {
			notices = append(notices, Notice{Call: queued.call, Decision: refusal(request.WaitedTooLong, RetryAfter(queued.rank.priority()))})
			return true
		}
		if !now.Add(shortestLatency).After(queued.deadline) {
			return false
		}
		notices = append(notices, Notice{Call: queued.call, Decision: refusal(request.DeadlineTooClose, 0)})
		return true
	})
	return notices
}
