package registry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

const (
	// maxMoveDelay spreads the moves of all nodes that learn of the replicas at the same
	// time, maxInquiryDelay the inquiries of all nodes whose replica loses its quorum.
	maxMoveDelay    = time.Second
	maxInquiryDelay = 300 * time.Millisecond
	// minInquiryPause and maxInquiryPause bound the pause after all replicas were asked and
	// none has a quorum.
	minInquiryPause = time.Second
	maxInquiryPause = 10 * time.Second
)

// selector decides which replica a node registers with, and when it tries another one. It
// does no I/O. Lists of replicas are in the order in which to try them.
//
// A node that is not registered registers with the first replica that it reaches. A
// registered node first asks the other replica whether it has a quorum: it returns to the
// nearest one if that has, and leaves its own only if that has lost its quorum and another
// has one. So a node that is cut off together with its replica stays with it.
type selector struct {
	// nearestRetryInterval is the mean interval at which a node registered with another
	// replica tries the nearest one again.
	nearestRetryInterval time.Duration
	random               *rand.Rand

	registered bool
	// address is that of the replica, if registered.
	address peer.Address
	// trying is set from next until the result of the attempt is known.
	trying bool
	// nextIndex is the index of the replica to try next, modulo the number of replicas.
	nextIndex      int
	connectAt      time.Time
	nearestRetryAt time.Time
	backoff        backoff

	// quorumLost says that the replica reports that it lacks a quorum. The others are then
	// asked one by one: at inquireAt that with inquiryIndex.
	quorumLost   bool
	inquireAt    time.Time
	inquiryIndex int
	inquiryPause time.Duration
}

// next returns the replica to try now, if any. The result of the attempt must be passed to
// register, accepts or fail.
func (selector *selector) next(now time.Time, replicas []peer.Address) (peer.Address, bool) {
	if selector.trying || len(replicas) == 0 {
		return "", false
	}
	address, due := selector.due(now, replicas)
	selector.trying = due
	return address, due
}

func (selector *selector) due(now time.Time, replicas []peer.Address) (peer.Address, bool) {
	if !selector.registered {
		return replicas[selector.nextIndex%len(replicas)], !now.Before(selector.connectAt)
	}
	if selector.quorumLost {
		return selector.nextInquiry(now, replicas)
	}
	if selector.address == replicas[0] || now.Before(selector.nearestRetryAt) {
		return "", false
	}
	selector.nearestRetryAt = selector.drawNearestRetry(now)
	return replicas[0], true
}

// nextInquiry returns the replica to ask now whether it has a quorum. After all were asked
// it pauses, for longer each time.
func (selector *selector) nextInquiry(now time.Time, replicas []peer.Address) (peer.Address, bool) {
	if now.Before(selector.inquireAt) {
		return "", false
	}
	for selector.inquiryIndex < len(replicas) {
		address := replicas[selector.inquiryIndex]
		selector.inquiryIndex++
		if address != selector.address {
			return address, true
		}
	}
	selector.inquiryIndex = 0
	selector.inquiryPause = min(max(2*selector.inquiryPause, minInquiryPause), maxInquiryPause)
	selector.inquireAt = now.Add(selector.inquiryPause/2 + time.Duration(selector.random.Int64N(int64(selector.inquiryPause))))
	return "", false
}

// noteQuorum records whether the replica reports that it lacks a quorum.
func (selector *selector) noteQuorum(now time.Time, lost bool) {
	if lost && !selector.quorumLost {
		selector.inquiryIndex, selector.inquiryPause = 0, 0
		selector.inquireAt = now.Add(time.Duration(selector.random.Int64N(int64(maxInquiryDelay))))
	}
	selector.quorumLost = lost
}

// accepts records that a stream was opened, and whether the replica, if it was asked, has
// lost its quorum. It reports whether the node should register with it.
func (selector *selector) accepts(now time.Time, address peer.Address, lost bool, replicas []peer.Address) bool {
	selector.trying = false
	if !selector.registered {
		return !now.Before(selector.connectAt)
	}
	nearest := len(replicas) > 0 && address == replicas[0]
	return !lost && (selector.quorumLost || nearest)
}

// fail records an attempt without success. It reports whether that was the last replica
// to try, and none is reachable.
func (selector *selector) fail(now time.Time, replicas []peer.Address) bool {
	selector.trying = false
	if selector.registered {
		return false
	}
	selector.nextIndex++
	if selector.nextIndex%max(len(replicas), 1) != 0 {
		return false
	}
	// A node that has left stays paused.
	if retryAt := now.Add(selector.backoff.next(selector.random)); retryAt.After(selector.connectAt) {
		selector.connectAt = retryAt
	}
	return true
}

// register records that the node registers with a replica.
func (selector *selector) register(now time.Time, address peer.Address, replicas []peer.Address) {
	selector.trying = false
	selector.registered, selector.address, selector.quorumLost = true, address, false
	selector.nextIndex = max(slices.Index(replicas, address), 0)
	selector.nearestRetryAt = selector.drawNearestRetry(now)
	selector.backoff.reset()
}

// lose records that the stream to the replica has ended.
func (selector *selector) lose(now time.Time) {
	selector.registered = false
	selector.nextIndex = 0
	selector.connectAt = now.Add(selector.backoff.next(selector.random))
}

// abandon gives up the replica; the next one is tried at once.
func (selector *selector) abandon(replicas []peer.Address) {
	selector.registered = false
	selector.nextIndex = slices.Index(replicas, selector.address) + 1
}

// pauseUntil gives up the replica, and no other one is tried before the given time.
func (selector *selector) pauseUntil(at time.Time) {
	selector.registered = false
	selector.connectAt = at
}

// moveToNearest tries the nearest replica soon. A node that has just started is at one of
// the few seeds, which may be in another region and would send the target lists of all
// nodes there.
func (selector *selector) moveToNearest(now time.Time) {
	soon := now.Add(time.Duration(selector.random.Int64N(int64(maxMoveDelay))))
	if soon.Before(selector.nearestRetryAt) {
		selector.nearestRetryAt = soon
	}
}

func (selector *selector) drawNearestRetry(now time.Time) time.Time {
	interval := selector.nearestRetryInterval
	return now.Add(interval/2 + time.Duration(selector.random.Int64N(int64(interval))))
}
