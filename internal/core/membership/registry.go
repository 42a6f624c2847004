// Package membership tells nodes which targets there are.
//
// A node holds a lease with one replica, which is the source of its record. A
// record carries the node's incarnation and sequence; the newer one stands
// wherever two meet, so records can be merged in any order. Replicas pass on
// the records whose leases they hold. A node that moves to another replica
// raises its sequence, so the end of its old lease removes nothing.
//
// Subscribers get deltas with the epoch of the replica and a sequence. Who sees
// a gap subscribes again and sends the digest of each list that it has; lists
// whose digest differs are sent whole. A subscriber that reaches no replica
// keeps its lists.
//
// # Usage
//
//	registry := &membership.Registry{Self: id, Place: place}
//	registry.Start(now, membership.Epoch(now.UnixMilli()))
//	lease := registry.Register(now, announcement)
//	update := registry.Subscribe(now, node, subscription)
//	lease = registry.Renew(now, node, incarnation, sequence)
//	updates := registry.Pull(now, node)
//	registry.Tick(now)
//
//	view := &membership.View{}
//	changed, resync := view.Apply(now, update)
//
// A Registry and a View each belong to one goroutine.
package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The policy that a zero field of [Registry] stands for, and its bounds.
const (
	DefaultLeaseTime     = 3 * time.Second
	DefaultRenewal       = time.Second
	DefaultReconnectTime = time.Second
	DefaultWarmTime      = 5 * time.Second
	DefaultRegisterRate  = 200.0
	DefaultOrphanTime    = 2 * time.Hour
	goneTime             = 10 * time.Minute
	largestTick          = time.Second
	feedLength           = 8192
)

// Registry is the membership of one replica: it holds leases, merges what the
// other replicas hold, and feeds subscribers. The exported fields are set
// before Start.
type Registry struct {
	Self request.NodeID
	// LeaseTime is how long a lease lasts after a renewal.
	LeaseTime time.Duration
	// ReconnectTime is what is left of a lease when its session breaks.
	ReconnectTime time.Duration
	// WarmTime is how long after its start the replica holds what it may lack
	// against no one.
	WarmTime time.Duration
	// RegisterRate bounds the registrations that are taken each second.
	RegisterRate float64
	// OrphanTime is how long the records of a silent replica are kept.
	OrphanTime time.Duration

	epoch     Epoch
	started   time.Time
	lastTick  time.Time
	table     table
	leases    map[request.NodeID]time.Time
	feed      feed
	listeners map[subscriber]*listener
	peers     map[request.NodeID]*peer
	pace      pace
}

// Start begins an epoch, which must be above that of earlier starts.
func (r *Registry) Start(now time.Time, epoch Epoch) {
	setDefault(&r.LeaseTime, DefaultLeaseTime)
	setDefault(&r.ReconnectTime, DefaultReconnectTime)
	setDefault(&r.WarmTime, DefaultWarmTime)
	setDefault(&r.RegisterRate, DefaultRegisterRate)
	setDefault(&r.OrphanTime, DefaultOrphanTime)
	r.epoch = epoch
	r.started = now
	r.lastTick = now
	r.pace = newPace(now, r.RegisterRate)
	r.table = newTable()
	r.leases = map[request.NodeID]time.Time{}
	r.listeners = map[subscriber]*listener{}
	r.peers = map[request.NodeID]*peer{}
}

// Register grants a lease, or asks the node to come later or with a higher
// sequence.
func (r *Registry) Register(now time.Time, announcement Announcement) Lease {
	known := r.table.records[announcement.Node]
	_, held := r.leases[announcement.Node]
	if !held {
		if wait := r.pace.wait(now, announcement.Node, r.RegisterRate); wait > 0 {
			return Lease{RetryAfter: wait}
		}
	}
	record := Record{Announcement: announcement, Holder: r.Self}
	if known != nil && known.Incarnation > announcement.Incarnation {
		return r.outdated(known)
	}
	if known != nil && !record.newer(known) && !(held && sameKey(known, &record)) {
		return r.again(announcement.Node)
	}
	r.put(now, record)
	r.leases[announcement.Node] = now.Add(r.LeaseTime)
	return r.granted(announcement.Node)
}

// Renew lengthens a lease. A node that the replica does not know, or knows
// better, is asked to register again.
func (r *Registry) Renew(now time.Time, node request.NodeID, incarnation Incarnation, sequence Sequence) Lease {
	known := r.table.records[node]
	_, held := r.leases[node]
	if !held || known == nil {
		return r.again(node)
	}
	if known.Incarnation > incarnation {
		return r.outdated(known)
	}
	if known.Incarnation != incarnation || known.Sequence != sequence || known.Holder != r.Self {
		return r.again(node)
	}
	r.leases[node] = now.Add(r.LeaseTime)
	return r.granted(node)
}

// Disconnected shortens the lease of a node whose session broke.
func (r *Registry) Disconnected(now time.Time, node request.NodeID) {
	r.Unsubscribe(node)
	expires, held := r.leases[node]
	short := now.Add(r.ReconnectTime)
	if held && short.Before(expires) {
		r.leases[node] = short
	}
}

// Release ends the lease of a node that has stopped as planned.
func (r *Registry) Release(now time.Time, node request.NodeID, incarnation Incarnation) {
	known := r.table.records[node]
	if _, held := r.leases[node]; !held || known == nil || known.Incarnation != incarnation {
		return
	}
	r.expire(now, node)
}

// Tick ends the leases that were not renewed. A replica that itself stood
// still grants the time that it missed.
func (r *Registry) Tick(now time.Time) {
	missed := now.Sub(r.lastTick)
	r.lastTick = now
	if missed > largestTick || missed < 0 {
		r.shift(missed)
		return
	}
	for node, expires := range r.leases {
		if !now.Before(expires) {
			r.expire(now, node)
		}
	}
	r.pace.forget(now)
	r.dropOrphans(now)
	r.table.forget(now, goneTime)
}

// Warming says whether the replica may lack records because it has just
// started.
func (r *Registry) Warming(now time.Time) bool {
	return now.Sub(r.started) < r.WarmTime
}

// Records gives all live records of a service.
func (r *Registry) Records(service request.ServiceName) []Record {
	return r.table.list(service).sorted()
}

// HeldElsewhere tells whether another replica holds the lease of a node.
func (r *Registry) HeldElsewhere(node request.NodeID) bool {
	known := r.table.records[node]
	return known != nil && known.live() && known.Holder != r.Self
}

// Leases counts the leases that this replica holds.
func (r *Registry) Leases() int {
	return len(r.leases)
}

func (r *Registry) put(now time.Time, record Record) {
	before := record.Service
	if known := r.table.records[record.Node]; known != nil {
		before = known.Service
	}
	if !r.table.merge(now, record) {
		return
	}
	r.feed.add(record.Node, record.Service)
	if before != record.Service {
		r.feed.add(record.Node, before)
	}
}

func (r *Registry) expire(now time.Time, node request.NodeID) {
	delete(r.leases, node)
	known := r.table.records[node]
	if known == nil || known.Holder != r.Self || !known.live() {
		return
	}
	ended := *known
	ended.Gone = true
	r.put(now, ended)
}

func (r *Registry) shift(missed time.Duration) {
	for node, expires := range r.leases {
		r.leases[node] = expires.Add(missed)
	}
}

func (r *Registry) granted(node request.NodeID) Lease {
	epoch, sent := r.Position(node)
	return Lease{Granted: r.LeaseTime, Epoch: epoch, Sent: sent}
}

// again asks a node to register with a record above the known one.
func (r *Registry) again(node request.NodeID) Lease {
	lease := Lease{Again: true}
	if known := r.table.records[node]; known != nil {
		lease.Incarnation, lease.Above = known.Incarnation, known.Sequence
	}
	return lease
}

// outdated refuses an older incarnation while the newer one lives. Once that
// one is gone, the older one, whose clock was set back, may rise above it.
func (r *Registry) outdated(known *Record) Lease {
	if known.live() {
		return Lease{RetryAfter: r.LeaseTime}
	}
	return r.again(known.Node)
}

func sameKey(left, right *Record) bool {
	return left.Incarnation == right.Incarnation && left.Sequence == right.Sequence && !left.Gone
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
