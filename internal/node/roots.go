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

// root is a root request of which the local target works on one call or more.
// Outbound calls of the target are tied to it by their trace id.
type root struct {
	lock     sync.Mutex
	account  retry.Account
	work     request.Work
	depth    uint32
	started  time.Time
	inbound  int
	outbound int
	// belowSince is when the target last began to wait for other services.
	belowSince time.Time
	below      time.Duration
	// refused is the last refusal of a call of this root to a service below.
	refused *web.Refusal
}

// rootTable holds the roots in flight at one node.
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

// enter adds an inbound call with the share of the allowance that came with it.
// Calls of one root at one node share their allowance.
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
	current.inbound++
	current.account.Left += share
	if work.Deadline.After(current.work.Deadline) {
		current.work.Deadline = work.Deadline
	}
	return current
}

// leave ends an inbound call and gives back what it leaves unspent: all of it
// when it is the last of its root here, nothing otherwise.
func (table *rootTable) leave(current *root) retry.Allowance {
	shard := table.shard(current.work.Root)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	current.lock.Lock()
	defer current.lock.Unlock()
	current.inbound--
	if current.inbound > 0 {
		return 0
	}
	delete(shard.roots, current.work.Root)
	return current.account.Close()
}

// find gives the root that an outbound call of the target belongs to.
func (table *rootTable) find(id request.RootID) (*root, bool) {
	shard := table.shard(id)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	current, ok := shard.roots[id]
	return current, ok
}

// wait and resume frame the time in which the target waits for a call below.
func (ro *root) wait(now time.Time) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if ro.outbound == 0 {
		ro.belowSince = now
	}
	ro.outbound++
}

func (ro *root) resume(now time.Time, refused *web.Refusal) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	ro.outbound--
	if refused != nil {
		ro.refused = refused
	}
	if ro.outbound == 0 {
		ro.below += now.Sub(ro.belowSince)
	}
}

// refusedBelow gives the refusal that a failed answer of the target stems from,
// or nil.
func (ro *root) refusedBelow(status int) *web.Refusal {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	if ro.refused == nil || !failsForOthers(status) {
		return nil
	}
	told := *ro.refused
	told.Code = codeFromBelow(told.Code)
	told.Outcome = request.Unknown
	told.Claimed = false
	return &told
}

// codeFromBelow names a refusal of a service below for the callers above, who
// cannot help it by another target of their own.
func codeFromBelow(code request.Code) request.Code {
	switch {
	case !request.Describe(code).Elsewhere:
		return code
	case code == request.AnswerBroken:
		return request.TargetDied
	case code == request.TargetUnreachable, code == request.PeerIncompatible, code == request.NotReady:
		return request.NoTarget
	}
	return request.OverloadedBelow
}

// failsForOthers tells whether a status is what a target answers when a
// service that it needs fails it.
func failsForOthers(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// waited gives the time spent waiting below so far, with that of a wait which has not
// ended, and whether a service below refused.
func (ro *root) waited(now time.Time) (time.Duration, bool) {
	ro.lock.Lock()
	defer ro.lock.Unlock()
	below := ro.below
	if ro.outbound > 0 {
		below += now.Sub(ro.belowSince)
	}
	return below, ro.refused != nil
}
