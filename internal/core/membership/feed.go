package membership

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// feed numbers the changes of the table and keeps the latest of them.
type feed struct {
	sequence Sequence
	changes  []change
}

type change struct {
	sequence Sequence
	node     request.NodeID
	service  request.ServiceName
}

func (f *feed) add(node request.NodeID, service request.ServiceName) {
	f.sequence++
	if len(f.changes) >= feedLength {
		kept := copy(f.changes, f.changes[feedLength/2:])
		f.changes = f.changes[:kept]
	}
	f.changes = append(f.changes, change{sequence: f.sequence, node: node, service: service})
}

// since gives the changes after a sequence, or false when they are no longer
// all kept.
func (f *feed) since(sequence Sequence) ([]change, bool) {
	if sequence >= f.sequence {
		return nil, true
	}
	missing := int(f.sequence - sequence)
	if missing > len(f.changes) {
		return nil, false
	}
	return f.changes[len(f.changes)-missing:], true
}

// subscriber names a listener: the node and the replica of one process are two.
type subscriber struct {
	node    request.NodeID
	replica bool
}

// listener is a subscriber: a node that wants some services, or a replica that
// wants all records that this one holds.
type listener struct {
	services map[request.ServiceName]bool
	replica  bool
	// sent is the sequence that the subscriber has been brought to, scanned the
	// one up to which nothing else is due to it.
	sent    Sequence
	scanned Sequence
	partial bool
}

func (l *listener) wants(changed change) bool {
	return l.replica || l.services[changed.service]
}

// Subscribe begins or renews the subscription of a node. The answer holds each
// list whose digest differs.
func (registry *Registry) Subscribe(now time.Time, node request.NodeID, subscription Subscription) Update {
	subscribed := &listener{services: map[request.ServiceName]bool{}, sent: registry.feed.sequence, scanned: registry.feed.sequence, partial: registry.Warming(now)}
	registry.listeners[subscriber{node: node}] = subscribed
	answer := Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true}
	for index, service := range subscription.Services {
		subscribed.services[service] = true
		current := registry.table.list(service)
		list := List{Service: service, Digest: current.digest, Partial: subscribed.partial}
		if index >= len(subscription.Held) || subscription.Held[index] != current.digest {
			list.Whole = true
			list.Records = current.sorted()
		}
		answer.Lists = append(answer.Lists, list)
	}
	return answer
}

// Unsubscribe ends the subscription of a node.
func (registry *Registry) Unsubscribe(node request.NodeID) {
	delete(registry.listeners, subscriber{node: node})
}

// Position gives the epoch and where a node should stand.
func (registry *Registry) Position(node request.NodeID) (Epoch, Sequence) {
	return registry.position(subscriber{node: node})
}

func (registry *Registry) position(of subscriber) (Epoch, Sequence) {
	if subscribed := registry.listeners[of]; subscribed != nil {
		return registry.epoch, subscribed.sent
	}
	return registry.epoch, 0
}

// Pull gives what is due to a node since the last call, as at most one
// update. Once the replica is warm it sends the digests again, so that what
// was held over its start is dropped.
func (registry *Registry) Pull(now time.Time, node request.NodeID) []Update {
	return registry.pull(now, subscriber{node: node})
}

func (registry *Registry) pull(now time.Time, to subscriber) []Update {
	subscribed := registry.listeners[to]
	if subscribed == nil {
		return nil
	}
	if subscribed.partial && !registry.Warming(now) {
		return []Update{registry.restate(to.node, subscribed)}
	}
	changes, ok := registry.feed.since(subscribed.scanned)
	if !ok {
		return []Update{registry.restate(to.node, subscribed)}
	}
	subscribed.scanned = registry.feed.sequence
	records := registry.collect(to.node, subscribed, changes)
	if len(records) == 0 {
		return nil
	}
	update := Update{Epoch: registry.epoch, From: subscribed.sent, To: registry.feed.sequence, Records: records}
	subscribed.sent = registry.feed.sequence
	if !subscribed.replica && !subscribed.partial {
		update.Lists = registry.digests(subscribed, records)
	}
	return []Update{update}
}

// restate sends where the subscriber should stand. A node gets digests and
// asks for the lists that differ; a replica gets all records.
func (registry *Registry) restate(node request.NodeID, subscribed *listener) Update {
	subscribed.partial = false
	subscribed.sent = registry.feed.sequence
	subscribed.scanned = registry.feed.sequence
	if subscribed.replica {
		return registry.replicaAnswer(node, subscribed)
	}
	update := Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true}
	for service := range subscribed.services {
		update.Lists = append(update.Lists, List{Service: service, Digest: registry.table.list(service).digest})
	}
	return update
}

// digests gives the digest of each subscribed list that the records change.
func (registry *Registry) digests(subscribed *listener, records []Record) []List {
	var lists []List
	for _, record := range records {
		if !subscribed.services[record.Service] || slices.ContainsFunc(lists, func(list List) bool { return list.Service == record.Service }) {
			continue
		}
		lists = append(lists, List{Service: record.Service, Digest: registry.table.list(record.Service).digest})
	}
	return lists
}

// collect gives the present record of each node that changed, once.
func (registry *Registry) collect(receiver request.NodeID, subscribed *listener, changes []change) []Record {
	var records []Record
	var seen map[request.NodeID]bool
	for _, changed := range changes {
		if !subscribed.wants(changed) || seen[changed.node] {
			continue
		}
		current := registry.table.records[changed.node]
		if current == nil || subscribed.replica && !registry.passesOn(receiver, current) {
			continue
		}
		if seen == nil {
			seen = map[request.NodeID]bool{}
		}
		seen[changed.node] = true
		records = append(records, *current)
	}
	sortRecords(records)
	return records
}
