package membership

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// changeFeed numbers the changes of the records and keeps the latest ones.
type changeFeed struct {
	sequence Sequence
	changes  []change
}

type change struct {
	sequence Sequence
	node     request.NodeID
	service  request.ServiceName
}

func (feed *changeFeed) add(node request.NodeID, service request.ServiceName) {
	feed.sequence++
	if len(feed.changes) >= maxFeedChanges {
		length := copy(feed.changes, feed.changes[maxFeedChanges/2:])
		feed.changes = feed.changes[:length]
	}
	feed.changes = append(feed.changes, change{sequence: feed.sequence, node: node, service: service})
}

// since returns the changes after a sequence, or false if some of them were
// dropped.
func (feed *changeFeed) since(sequence Sequence) ([]change, bool) {
	if sequence >= feed.sequence {
		return nil, true
	}
	count := int(feed.sequence - sequence)
	if count > len(feed.changes) {
		return nil, false
	}
	return feed.changes[len(feed.changes)-count:], true
}

// subscriberKey identifies a subscriber. The node and the replica of one process
// share an id but subscribe separately.
type subscriberKey struct {
	node    request.NodeID
	replica bool
}

// activeSubscription is the subscription of a node to some services, or that of a
// replica to all records whose leases this one holds.
type activeSubscription struct {
	services map[request.ServiceName]bool
	replica  bool
	// sent is the sequence of the last update to the subscriber. Up to scanned
	// there is nothing else to send.
	sent    Sequence
	scanned Sequence
	// mayLackRecords says that the subscriber got its lists while the replica was
	// warming up, so that they may lack records.
	mayLackRecords bool
}

func (subscription *activeSubscription) wants(changed change) bool {
	return subscription.replica || subscription.services[changed.service]
}

// Subscribe starts or replaces the subscription of a node. The returned update
// holds the records of each list whose digest differs.
func (registry *Registry) Subscribe(now time.Time, node request.NodeID, subscription Subscription) Update {
	active := &activeSubscription{services: map[request.ServiceName]bool{}, sent: registry.feed.sequence, scanned: registry.feed.sequence, mayLackRecords: registry.WarmingUp(now)}
	registry.subscriptions[subscriberKey{node: node}] = active
	answer := Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true}
	for i, service := range subscription.Services {
		active.services[service] = true
		current := registry.table.list(service)
		list := List{Service: service, Digest: current.digest, MayLackRecords: active.mayLackRecords}
		if i >= len(subscription.HeldDigests) || subscription.HeldDigests[i] != current.digest {
			list.HasRecords = true
			list.Records = current.sorted()
		}
		answer.Lists = append(answer.Lists, list)
	}
	return answer
}

// Unsubscribe ends the subscription of a node.
func (registry *Registry) Unsubscribe(node request.NodeID) {
	delete(registry.subscriptions, subscriberKey{node: node})
}

// Position returns the epoch and the sequence of the last update to a node.
func (registry *Registry) Position(node request.NodeID) (Epoch, Sequence) {
	return registry.position(subscriberKey{node: node})
}

func (registry *Registry) position(key subscriberKey) (Epoch, Sequence) {
	if active := registry.subscriptions[key]; active != nil {
		return registry.epoch, active.sent
	}
	return registry.epoch, 0
}

// Pull returns the changes for a node since the last call, as at most one update.
// Once after warming up, it returns the digests of all lists instead, so that the
// node drops the records that it kept although the replica lacked them.
func (registry *Registry) Pull(now time.Time, node request.NodeID) []Update {
	return registry.pull(now, subscriberKey{node: node})
}

func (registry *Registry) pull(now time.Time, key subscriberKey) []Update {
	active := registry.subscriptions[key]
	if active == nil {
		return nil
	}
	if active.mayLackRecords && !registry.WarmingUp(now) {
		return []Update{registry.resyncUpdate(key.node, active)}
	}
	changes, ok := registry.feed.since(active.scanned)
	if !ok {
		return []Update{registry.resyncUpdate(key.node, active)}
	}
	active.scanned = registry.feed.sequence
	records := registry.changedRecords(key.node, active, changes)
	if len(records) == 0 {
		return nil
	}
	update := Update{Epoch: registry.epoch, From: active.sent, To: registry.feed.sequence, Records: records}
	active.sent = registry.feed.sequence
	if !active.replica && !active.mayLackRecords {
		update.Lists = registry.changedDigests(active, records)
	}
	return []Update{update}
}

// resyncUpdate returns an update with the complete state. A node gets only the
// digests and subscribes again if one differs; a replica gets all records.
func (registry *Registry) resyncUpdate(node request.NodeID, active *activeSubscription) Update {
	active.mayLackRecords = false
	active.sent = registry.feed.sequence
	active.scanned = registry.feed.sequence
	if active.replica {
		return registry.replicaAnswer(node, active)
	}
	update := Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true}
	for service := range active.services {
		update.Lists = append(update.Lists, List{Service: service, Digest: registry.table.list(service).digest})
	}
	return update
}

// changedDigests returns the digest of each subscribed list that the records
// change.
func (registry *Registry) changedDigests(active *activeSubscription, records []Record) []List {
	var lists []List
	for _, record := range records {
		if !active.services[record.Service] || slices.ContainsFunc(lists, func(list List) bool { return list.Service == record.Service }) {
			continue
		}
		lists = append(lists, List{Service: record.Service, Digest: registry.table.list(record.Service).digest})
	}
	return lists
}

// changedRecords returns the current record of each node in the changes, once
// per node.
func (registry *Registry) changedRecords(receiver request.NodeID, active *activeSubscription, changes []change) []Record {
	var records []Record
	var included map[request.NodeID]bool
	for _, changed := range changes {
		if !active.wants(changed) || included[changed.node] {
			continue
		}
		current := registry.table.records[changed.node]
		if current == nil || active.replica && !registry.sharesRecord(receiver, current) {
			continue
		}
		if included == nil {
			included = map[request.NodeID]bool{}
		}
		included[changed.node] = true
		records = append(records, *current)
	}
	sortRecords(records)
	return records
}
