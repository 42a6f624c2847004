package quota

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// minEmptyTime is how long a replica without a token is not asked again. It bounds
	// what a customer far over its quota costs; the tokens of that time stay in the bucket.
	minEmptyTime = 50 * time.Millisecond
	// silentTime is how long a replica that did not answer is not asked again, and
	// maxSilentTime the same after several times.
	silentTime    = time.Second
	maxSilentTime = 2 * time.Second
	// A request waits for a replica timeoutFactor times as long as its answers usually take
	// and timeoutMargin, within the bounds.
	timeoutFactor = 4
	timeoutMargin = 50 * time.Millisecond
	maxTimeout    = 250 * time.Millisecond
	// answerTimeWeight is the weight of one answer in the usual time.
	answerTimeWeight = 0.2
	// ownPartLifetime is how long after its last use the part that a node admits by itself
	// goes on. Later the replicas have granted tokens in between.
	ownPartLifetime = 5 * time.Second
	// maxRemembered bounds the memory for replicas without a token.
	maxRemembered = 1 << 16
)

// Asker decides which replica a node asks for a token. The exported fields are set before
// the first use. Replica is the type of the replicas' addresses.
type Asker[Replica comparable] struct {
	Random    *rand.Rand
	Tolerance Tolerance

	refusals map[refusalKey[Replica]]refusal
	replicas map[Replica]*replicaState
	ownParts map[request.CustomerName]*bucket
}

// replicaState is what a node knows of one replica.
type replicaState struct {
	silentUntil time.Time
	silentTime  time.Duration
	// answerTime is the usual time to an answer; zero before the first one.
	answerTime time.Duration
}

type refusalKey[Replica comparable] struct {
	customer request.CustomerName
	replica  Replica
}

// refusal is a replica's last answer for a customer, if that was no token.
type refusal struct {
	result Result
	until  time.Time
}

// Next returns the first of the replicas, nearest first, that may have a token of the
// customer. Tried is the number of replicas at the beginning of the list that were asked
// for this request already; the position that is returned counts the same way.
func (asker *Asker[Replica]) Next(now time.Time, customer request.CustomerName, replicas []Replica, tried int) (position int, ok bool) {
	for position = tried; position < len(replicas); position++ {
		if asker.isSilent(now, replicas[position]) || asker.refused(now, customer, replicas[position]) {
			continue
		}
		return position, true
	}
	return 0, false
}

// Exhausted reports whether a replica has said that the customer has no token now, and
// the time until the first of the replicas has one.
func (asker *Asker[Replica]) Exhausted(now time.Time, customer request.CustomerName, replicas []Replica) (wait time.Duration, exhausted bool) {
	wait = silentTime
	for _, replica := range replicas {
		last := asker.refusals[refusalKey[Replica]{customer, replica}]
		if last.result != Empty || now.After(last.until) {
			continue
		}
		wait, exhausted = min(wait, last.until.Sub(now)), true
	}
	return wait, exhausted
}

// Timeout returns how long a request waits for the answer of a replica.
func (asker *Asker[Replica]) Timeout(replica Replica) time.Duration {
	usual := asker.state(replica).answerTime
	if usual == 0 {
		return maxTimeout
	}
	return min(timeoutFactor*usual+timeoutMargin, maxTimeout)
}

// Answered records the answer of a replica and the time that it took.
func (asker *Asker[Replica]) Answered(now time.Time, customer request.CustomerName, replica Replica, grant Grant, took time.Duration) {
	state := asker.state(replica)
	if state.answerTime == 0 {
		state.answerTime = took
	}
	state.answerTime += time.Duration(answerTimeWeight * float64(took-state.answerTime))
	state.silentUntil, state.silentTime = time.Time{}, 0
	key := refusalKey[Replica]{customer, replica}
	if grant.Result == Granted {
		delete(asker.refusals, key)
		return
	}
	if asker.refusals == nil || len(asker.refusals) >= maxRemembered {
		asker.refusals = make(map[refusalKey[Replica]]refusal)
	}
	asker.refusals[key] = refusal{result: grant.Result, until: now.Add(max(grant.Wait, minEmptyTime))}
}

// NotAnswered records that a replica did not answer in time. It reports whether that was
// not known yet.
func (asker *Asker[Replica]) NotAnswered(now time.Time, replica Replica) bool {
	state := asker.state(replica)
	if now.Before(state.silentUntil) {
		return false
	}
	state.silentTime = min(max(2*state.silentTime, silentTime), maxSilentTime)
	state.silentUntil = now.Add(state.silentTime)
	return true
}

func (asker *Asker[Replica]) state(replica Replica) *replicaState {
	found := asker.replicas[replica]
	if found == nil {
		if asker.replicas == nil || len(asker.replicas) >= maxRemembered {
			asker.replicas = make(map[Replica]*replicaState)
		}
		found = &replicaState{}
		asker.replicas[replica] = found
	}
	return found
}

// TakeOwnPart takes a token from the part that this node, one of a number of nodes,
// admits while it reaches no replica. Without one it is unavailable, and the time to wait is
// that until replicas are asked again.
func (asker *Asker[Replica]) TakeOwnPart(now time.Time, customer request.CustomerName, limit Limit, nodes int) Grant {
	share := asker.Tolerance.ownPart() / float64(max(nodes, 1))
	if asker.ownParts == nil {
		asker.ownParts = make(map[request.CustomerName]*bucket)
	}
	found := asker.ownParts[customer]
	if found == nil || now.Sub(found.updated) > ownPartLifetime {
		// Nodes that lose the replicas at the same moment begin at different levels, so
		// that together they admit no more than their rate.
		found = newBucket(asker.Random, now)
		asker.ownParts[customer] = found
	}
	found.setLimit(now, float64(limit.Rate)*share, limit.Burst*share+1)
	if _, ok := found.take(now); !ok {
		return Grant{Result: Unavailable, Wait: silentTime}
	}
	return Grant{Result: Granted}
}

func (asker *Asker[Replica]) isSilent(now time.Time, replica Replica) bool {
	return now.Before(asker.state(replica).silentUntil)
}

func (asker *Asker[Replica]) refused(now time.Time, customer request.CustomerName, replica Replica) bool {
	return now.Before(asker.refusals[refusalKey[Replica]{customer, replica}].until)
}
