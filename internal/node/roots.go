package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const rootShards = 64

// root is a root request of which the local target works on at least one call.
// Outbound calls of the target are attached to it by their trace id.
type root struct {
	lock          sync.Mutex
	allowance     retry.Account
	work          request.Work
	depth         uint32
	started       time.Time
	inboundCalls  int
	outboundCalls int
	// waitingSince is when the target last began to wait for downstream services.
	waitingSince   time.Time
	downstreamWait time.Duration
	// lastRefusal is the last refusal that a call of this root got from a downstream
	// service.
	lastRefusal *web.Refusal
}

// rootTable holds the roots in flight at one node, by id in shards with a lock each.
// A shard's lock is taken before a root's.
type rootTable struct {
	shards [rootShards]rootShard
}

type rootShard struct {
	lock  sync.Mutex
	roots map[request.RootID]*root
}

func (table *rootTable) shard(id request.RootID) *rootShard {
	return &table.shards[id[15]%rootShards]
}

// enter adds an inbound call and the retry allowance that came with it. Calls of one
// root at one node share their allowance.
func (table *rootTable) enter(work request.Work, depth uint32, share retry.Allowance, now time.Time) *root {
	shard := table.shard(work.Root)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	current := shard.roots[work.Root]
	if current == nil {
		current = &root{work: work, depth: depth, started: now}
		if shard.roots == nil {
			shard.roots = make(map[request.RootID]*root)
		}
		shard.roots[work.Root] = current
	}
	current.lock.Lock()
	defer current.lock.Unlock()
	current.inboundCalls++
	current.allowance.Remaining += share
	if work.Deadline.After(current.work.Deadline) {
		current.work.Deadline = work.Deadline
	}
	return current
}

// leave removes an inbound call and returns the unspent allowance to give back: all
// of it with the last call of the root here, and zero otherwise.
func (table *rootTable) leave(current *root) retry.Allowance {
	shard := table.shard(current.work.Root)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	current.lock.Lock()
	defer current.lock.Unlock()
	current.inboundCalls--
	if current.inboundCalls > 0 {
		return 0
	}
	delete(shard.roots, current.work.Root)
	return current.allowance.Close()
}

// find returns the root with an id, if it is in flight.
func (table *rootTable) find(id request.RootID) (*root, bool) {
	shard := table.shard(id)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	current, ok := shard.roots[id]
	return current, ok
}

// beginWait and endWait enclose the time in which the target waits for a downstream
// call.
func (root *root) beginWait(now time.Time) {
	root.lock.Lock()
	defer root.lock.Unlock()
	if root.outboundCalls == 0 {
		root.waitingSince = now
	}
	root.outboundCalls++
}

func (root *root) endWait(now time.Time, refused *web.Refusal) {
	root.lock.Lock()
	defer root.lock.Unlock()
	root.outboundCalls--
	if refused != nil {
		root.lastRefusal = refused
	}
	if root.outboundCalls == 0 {
		root.downstreamWait += now.Sub(root.waitingSince)
	}
}

// downstreamRefusal returns the refusal that caused a failed answer of the target, or
// nil.
func (root *root) downstreamRefusal(status int) *web.Refusal {
	root.lock.Lock()
	defer root.lock.Unlock()
	if root.lastRefusal == nil || !isGatewayFailure(status) {
		return nil
	}
	upstream := *root.lastRefusal
	upstream.Code = upstreamCode(upstream.Code)
	upstream.Outcome = request.Unknown
	upstream.IsActionOutcome = false
	return &upstream
}

// upstreamCode returns the code under which callers upstream see a refusal of a
// downstream service. They cannot avoid it by choosing another target of their own.
func upstreamCode(code request.Code) request.Code {
	switch {
	case !request.Describe(code).RetryElsewhere:
		return code
	case code == request.AnswerBroken:
		return request.TargetDied
	case code == request.TargetUnreachable, code == request.PeerIncompatible, code == request.NotReady:
		return request.NoTarget
	}
	return request.OverloadedBelow
}

// isGatewayFailure reports whether a target answers with the status when a service
// that it depends on fails.
func isGatewayFailure(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// waitedDownstream returns the time spent waiting for downstream services so far,
// including a wait in progress, and whether one of them refused.
func (root *root) waitedDownstream(now time.Time) (time.Duration, bool) {
	root.lock.Lock()
	defer root.lock.Unlock()
	total := root.downstreamWait
	if root.outboundCalls > 0 {
		total += now.Sub(root.waitingSince)
	}
	return total, root.lastRefusal != nil
}
