// Package membership implements the service registry with which nodes discover
// the targets of each service.
//
// A node registers with one replica, which grants it a lease and publishes its
// record. A record carries the node's incarnation and sequence. Of two records of
// one node the newer one always wins, so that records can be merged in any order.
// Each replica sends the records whose leases it holds to the other replicas. A
// node that moves to another replica raises its sequence, so that its record
// survives the end of the old lease.
//
// A replica sends its subscribers deltas that are numbered by an epoch and a
// sequence. A subscriber that detects a gap subscribes again with a digest of
// each of its lists, and receives the lists whose digests differ. A subscriber
// that reaches no replica keeps its lists.
//
// # Usage
//
//	registry := &membership.Registry{Self: id}
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
// A [Registry] and a [View] do no I/O and are not safe for concurrent use.
package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Defaults of the fields of [Registry], and limits.
const (
	DefaultLeaseTime = 3 * time.Second
	// DefaultRenewInterval is the interval at which a node renews its lease.
	DefaultRenewInterval          = time.Second
	DefaultReconnectTime          = time.Second
	DefaultWarmUpTime             = 5 * time.Second
	DefaultRegistrationsPerSecond = 200.0
	DefaultOrphanRetention        = 2 * time.Hour
	// delistedRetention is how long a record is kept after it was removed from
	// its service's list, so that an older record cannot restore it.
	delistedRetention = 10 * time.Minute
	// maxTickInterval is the time between two ticks above which the replica
	// itself counts as paused.
	maxTickInterval = time.Second
	// maxFeedChanges limits the changes that are kept for subscribers. When it
	// is reached, the older half is dropped.
	maxFeedChanges = 8192
)

// Registry is the service registry of one replica. It grants leases to nodes,
// merges the records of the other replicas, and sends updates to subscribers. Set
// its exported fields before Start; a zero field selects the default.
type Registry struct {
	// Self is the id of this replica.
	Self request.NodeID
	// LeaseTime is the duration of a lease after a registration or a renewal.
	LeaseTime time.Duration
	// ReconnectTime is the longest time that a lease lasts after its session
	// broke.
	ReconnectTime time.Duration
	// WarmUpTime is the time after the start during which the replica may lack
	// records, so that nobody drops a record because it is missing here.
	WarmUpTime time.Duration
	// RegistrationsPerSecond limits the registrations of nodes without a lease.
	RegistrationsPerSecond float64
	// OrphanRetention is how long the records of a silent replica are kept.
	OrphanRetention time.Duration

	epoch      Epoch
	startedAt  time.Time
	lastTickAt time.Time
	table      recordTable
	// leases holds the expiry of each lease.
	leases        map[request.NodeID]time.Time
	feed          changeFeed
	subscriptions map[subscriberKey]*activeSubscription
	sources       map[request.NodeID]*replicaSource
	limiter       registrationLimiter
}

// Start initializes the registry. The epoch must be higher than those of earlier
// starts of this replica.
func (registry *Registry) Start(now time.Time, epoch Epoch) {
	setDefault(&registry.LeaseTime, DefaultLeaseTime)
	setDefault(&registry.ReconnectTime, DefaultReconnectTime)
	setDefault(&registry.WarmUpTime, DefaultWarmUpTime)
	setDefault(&registry.RegistrationsPerSecond, DefaultRegistrationsPerSecond)
	setDefault(&registry.OrphanRetention, DefaultOrphanRetention)
	registry.epoch = epoch
	registry.startedAt = now
	registry.lastTickAt = now
	registry.limiter = newRegistrationLimiter(now, registry.RegistrationsPerSecond)
	registry.table = newRecordTable()
	registry.leases = map[request.NodeID]time.Time{}
	registry.subscriptions = map[subscriberKey]*activeSubscription{}
	registry.sources = map[request.NodeID]*replicaSource{}
}

// Register grants a lease to a node, or asks the node to retry later or to
// register again with a higher sequence.
func (registry *Registry) Register(now time.Time, announcement Announcement) Lease {
	known := registry.table.records[announcement.Node]
	_, held := registry.leases[announcement.Node]
	if !held {
		if wait := registry.limiter.delay(now, announcement.Node, registry.RegistrationsPerSecond); wait > 0 {
			return Lease{RetryAfter: wait}
		}
	}
	record := Record{Announcement: announcement, Holder: registry.Self}
	if known != nil && known.Incarnation > announcement.Incarnation {
		return registry.refuseOutdated(known)
	}
	if known != nil && !record.supersedes(known) && !(held && sameVersion(known, &record)) {
		return registry.requireRegistration(announcement.Node)
	}
	registry.mergeRecord(now, record)
	registry.leases[announcement.Node] = now.Add(registry.LeaseTime)
	return registry.grantedLease(announcement.Node)
}

// Renew extends a lease. A node without a lease, or with another record than the
// one that the replica has, is asked to register again.
func (registry *Registry) Renew(now time.Time, node request.NodeID, incarnation Incarnation, sequence Sequence) Lease {
	known := registry.table.records[node]
	_, held := registry.leases[node]
	if !held || known == nil {
		return registry.requireRegistration(node)
	}
	if known.Incarnation > incarnation {
		return registry.refuseOutdated(known)
	}
	if known.Incarnation != incarnation || known.Sequence != sequence || known.Holder != registry.Self {
		return registry.requireRegistration(node)
	}
	registry.leases[node] = now.Add(registry.LeaseTime)
	return registry.grantedLease(node)
}

// Disconnected ends the subscription of a node whose session broke, and shortens
// its lease to at most ReconnectTime.
func (registry *Registry) Disconnected(now time.Time, node request.NodeID) {
	registry.Unsubscribe(node)
	expires, held := registry.leases[node]
	shortened := now.Add(registry.ReconnectTime)
	if held && shortened.Before(expires) {
		registry.leases[node] = shortened
	}
}

// Release ends the lease of a node that stops as planned.
func (registry *Registry) Release(now time.Time, node request.NodeID, incarnation Incarnation) {
	known := registry.table.records[node]
	if _, held := registry.leases[node]; !held || known == nil || known.Incarnation != incarnation {
		return
	}
	registry.endLease(now, node)
}

// Tick ends the leases that were not renewed in time. After a pause of the replica
// itself, or a step of the clock, it moves all expiries by the same time instead,
// because the nodes could not renew meanwhile.
func (registry *Registry) Tick(now time.Time) {
	missed := now.Sub(registry.lastTickAt)
	registry.lastTickAt = now
	if missed > maxTickInterval || missed < 0 {
		registry.shiftLeases(missed)
		return
	}
	for node, expires := range registry.leases {
		if !now.Before(expires) {
			registry.endLease(now, node)
		}
	}
	registry.limiter.deleteExpired(now)
	registry.hideOrphans(now)
	registry.table.deleteDelisted(now, delistedRetention)
}

// WarmingUp reports whether the replica may still lack records after its start.
func (registry *Registry) WarmingUp(now time.Time) bool {
	return now.Sub(registry.startedAt) < registry.WarmUpTime
}

// Records returns the listed records of a service, ordered by node.
func (registry *Registry) Records(service request.ServiceName) []Record {
	return registry.table.list(service).sorted()
}

// LeasedElsewhere reports whether another replica holds the lease of a node.
func (registry *Registry) LeasedElsewhere(node request.NodeID) bool {
	known := registry.table.records[node]
	return known != nil && known.isListed() && known.Holder != registry.Self
}

// LeaseCount returns the number of leases that this replica holds.
func (registry *Registry) LeaseCount() int {
	return len(registry.leases)
}

// mergeRecord merges a record and adds the change to the feed, also for the
// service that the node offered before.
func (registry *Registry) mergeRecord(now time.Time, record Record) {
	previousService := record.Service
	if known := registry.table.records[record.Node]; known != nil {
		previousService = known.Service
	}
	if !registry.table.merge(now, record) {
		return
	}
	registry.feed.add(record.Node, record.Service)
	if previousService != record.Service {
		registry.feed.add(record.Node, previousService)
	}
}

// endLease ends a lease and marks the record as gone.
func (registry *Registry) endLease(now time.Time, node request.NodeID) {
	delete(registry.leases, node)
	known := registry.table.records[node]
	if known == nil || known.Holder != registry.Self || !known.isListed() {
		return
	}
	ended := *known
	ended.Gone = true
	registry.mergeRecord(now, ended)
}

// shiftLeases moves the expiry of all leases by the same time.
func (registry *Registry) shiftLeases(missed time.Duration) {
	for node, expires := range registry.leases {
		registry.leases[node] = expires.Add(missed)
	}
}

func (registry *Registry) grantedLease(node request.NodeID) Lease {
	epoch, sent := registry.Position(node)
	return Lease{Duration: registry.LeaseTime, Epoch: epoch, SentSequence: sent}
}

// requireRegistration asks a node to register again with a higher sequence than
// that of the known record.
func (registry *Registry) requireRegistration(node request.NodeID) Lease {
	lease := Lease{RegisterAgain: true}
	if known := registry.table.records[node]; known != nil {
		lease.MinIncarnation, lease.AboveSequence = known.Incarnation, known.Sequence
	}
	return lease
}

// refuseOutdated refuses an older incarnation while the newer one is listed. Once
// the newer one is gone, the node, whose clock was set back, is asked to register
// with that incarnation and a higher sequence.
func (registry *Registry) refuseOutdated(known *Record) Lease {
	if known.isListed() {
		return Lease{RetryAfter: registry.LeaseTime}
	}
	return registry.requireRegistration(known.Node)
}

// sameVersion reports whether two records of a node have the same incarnation and
// sequence and the first is not gone.
func sameVersion(left, right *Record) bool {
	return left.Incarnation == right.Incarnation && left.Sequence == right.Sequence && !left.Gone
}

func setDefault[Value comparable](field *Value, defaultValue Value) {
	var zero Value
	if *field == zero {
		*field = defaultValue
	}
}
