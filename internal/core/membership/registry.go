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
func (registry *Registry) Start(now time.Time, epoch Epoch) {
	setDefault(&registry.LeaseTime, DefaultLeaseTime)
	setDefault(&registry.ReconnectTime, DefaultReconnectTime)
	setDefault(&registry.WarmTime, DefaultWarmTime)
	setDefault(&registry.RegisterRate, DefaultRegisterRate)
	setDefault(&registry.OrphanTime, DefaultOrphanTime)
	registry.epoch = epoch
	registry.started = now
	registry.lastTick = now
	registry.pace = newPace(now, registry.RegisterRate)
	registry.table = newTable()
	registry.leases = map[request.NodeID]time.Time{}
	registry.listeners = map[subscriber]*listener{}
	registry.peers = map[request.NodeID]*peer{}
}

// Register grants a lease, or asks the node to come later or with a higher
// sequence.
func (registry *Registry) Register(now time.Time, announcement Announcement) Lease {
	known := registry.table.records[announcement.Node]
	_, held := registry.leases[announcement.Node]
	if !held {
		if wait := registry.pace.wait(now, announcement.Node, registry.RegisterRate); wait > 0 {
			return Lease{RetryAfter: wait}
		}
	}
	record := Record{Announcement: announcement, Holder: registry.Self}
	if known != nil && known.Incarnation > announcement.Incarnation {
		return registry.outdated(known)
	}
	if known != nil && !record.newer(known) && !(held && sameKey(known, &record)) {
		return registry.again(announcement.Node)
	}
	registry.put(now, record)
	registry.leases[announcement.Node] = now.Add(registry.LeaseTime)
	return registry.granted(announcement.Node)
}

// Renew lengthens a lease. A node that the replica does not know, or knows
// better, is asked to register again.
func (registry *Registry) Renew(now time.Time, node request.NodeID, incarnation Incarnation, sequence Sequence) Lease {
	known := registry.table.records[node]
	_, held := registry.leases[node]
	if !held || known == nil {
		return registry.again(node)
	}
	if known.Incarnation > incarnation {
		return registry.outdated(known)
	}
	if known.Incarnation != incarnation || known.Sequence != sequence || known.Holder != registry.Self {
		return registry.again(node)
	}
	registry.leases[node] = now.Add(registry.LeaseTime)
	return registry.granted(node)
}

// Disconnected shortens the lease of a node whose session broke.
func (registry *Registry) Disconnected(now time.Time, node request.NodeID) {
	registry.Unsubscribe(node)
	expires, held := registry.leases[node]
	short := now.Add(registry.ReconnectTime)
	if held && short.Before(expires) {
		registry.leases[node] = short
	}
}

// Release ends the lease of a node that has stopped as planned.
func (registry *Registry) Release(now time.Time, node request.NodeID, incarnation Incarnation) {
	known := registry.table.records[node]
	if _, held := registry.leases[node]; !held || known == nil || known.Incarnation != incarnation {
		return
	}
	registry.expire(now, node)
}

// Tick ends the leases that were not renewed. A replica that itself stood
// still grants the time that it missed.
func (registry *Registry) Tick(now time.Time) {
	missed := now.Sub(registry.lastTick)
	registry.lastTick = now
	if missed > largestTick || missed < 0 {
		registry.shift(missed)
		return
	}
	for node, expires := range registry.leases {
		if !now.Before(expires) {
			registry.expire(now, node)
		}
	}
	registry.pace.forget(now)
	registry.dropOrphans(now)
	registry.table.forget(now, goneTime)
}

// Warming says whether the replica may lack records because it has just
// started.
func (registry *Registry) Warming(now time.Time) bool {
	return now.Sub(registry.started) < registry.WarmTime
}

// Records gives all live records of a service.
func (registry *Registry) Records(service request.ServiceName) []Record {
	return registry.table.list(service).sorted()
}

// HeldElsewhere tells whether another replica holds the lease of a node.
func (registry *Registry) HeldElsewhere(node request.NodeID) bool {
	known := registry.table.records[node]
	return known != nil && known.live() && known.Holder != registry.Self
}

// Leases counts the leases that this replica holds.
func (registry *Registry) Leases() int {
	return len(registry.leases)
}

func (registry *Registry) put(now time.Time, record Record) {
	before := record.Service
	if known := registry.table.records[record.Node]; known != nil {
		before = known.Service
	}
	if !registry.table.merge(now, record) {
		return
	}
	registry.feed.add(record.Node, record.Service)
	if before != record.Service {
		registry.feed.add(record.Node, before)
	}
}

func (registry *Registry) expire(now time.Time, node request.NodeID) {
	delete(registry.leases, node)
	known := registry.table.records[node]
	if known == nil || known.Holder != registry.Self || !known.live() {
		return
	}
	ended := *known
	ended.Gone = true
	registry.put(now, ended)
}

func (registry *Registry) shift(missed time.Duration) {
	for node, expires := range registry.leases {
		registry.leases[node] = expires.Add(missed)
	}
}

func (registry *Registry) granted(node request.NodeID) Lease {
	epoch, sent := registry.Position(node)
	return Lease{Granted: registry.LeaseTime, Epoch: epoch, Sent: sent}
}

// again asks a node to register with a record above the known one.
func (registry *Registry) again(node request.NodeID) Lease {
	lease := Lease{Again: true}
	if known := registry.table.records[node]; known != nil {
		lease.Incarnation, lease.Above = known.Incarnation, known.Sequence
	}
	return lease
}

// outdated refuses an older incarnation while the newer one lives. Once that
// one is gone, the older one, whose clock was set back, may rise above it.
func (registry *Registry) outdated(known *Record) Lease {
	if known.live() {
		return Lease{RetryAfter: registry.LeaseTime}
	}
	return registry.again(known.Node)
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
