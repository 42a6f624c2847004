package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// replicaSource is the state of this replica's subscription to another replica.
type replicaSource struct {
	// epoch and sequence are those of the last update that was applied.
	epoch    Epoch
	sequence Sequence
	// synced is set once the answer to a subscription was applied.
	synced  bool
	heardAt time.Time
}

// SubscribeReplica starts the subscription of another replica to the records
// whose leases this one holds. The answer also contains the records whose leases
// the other replica held, which it may have lost by a restart.
func (registry *Registry) SubscribeReplica(now time.Time, replica request.NodeID) Update {
	active := &activeSubscription{replica: true, sent: registry.feed.sequence, scanned: registry.feed.sequence, mayLackRecords: registry.WarmingUp(now)}
	registry.subscriptions[subscriberKey{node: replica, replica: true}] = active
	return registry.replicaAnswer(replica, active)
}

// UnsubscribeReplica ends the subscription of another replica.
func (registry *Registry) UnsubscribeReplica(replica request.NodeID) {
	delete(registry.subscriptions, subscriberKey{node: replica, replica: true})
}

// PullReplica returns the changes for another replica since the last call.
func (registry *Registry) PullReplica(now time.Time, replica request.NodeID) []Update {
	return registry.pull(now, subscriberKey{node: replica, replica: true})
}

// ApplyReplica applies an update of another replica. It reports whether this
// replica must subscribe to that one again.
func (registry *Registry) ApplyReplica(now time.Time, replica request.NodeID, update Update) bool {
	source := registry.sources[replica]
	if source == nil {
		source = &replicaSource{}
		registry.sources[replica] = source
	}
	source.heardAt = now
	if update.Answer {
		registry.applyAnswer(now, replica, update)
		source.epoch, source.sequence, source.synced = update.Epoch, update.To, true
		return false
	}
	if !source.synced || update.Epoch != source.epoch || update.From > source.sequence {
		return true
	}
	if update.To <= source.sequence {
		return false
	}
	source.sequence = update.To
	for _, record := range update.Records {
		registry.mergeReplicaRecord(now, record)
	}
	return false
}

func (registry *Registry) applyAnswer(now time.Time, replica request.NodeID, answer Update) {
	for _, list := range answer.Lists {
		for _, record := range list.Records {
			registry.mergeReplicaRecord(now, record)
		}
	}
	registry.hideMissing(now, replica, answer)
}

// RecordHeartbeat records a heartbeat of another replica, with the epoch and the
// sequence of the last update that it sent. It reports whether this replica must
// subscribe to that one again.
func (registry *Registry) RecordHeartbeat(now time.Time, replica request.NodeID, epoch Epoch, sent Sequence) bool {
	source := registry.sources[replica]
	if source == nil {
		return true
	}
	source.heardAt = now
	return !source.synced || source.epoch != epoch || sent > source.sequence
}

// PositionReplica returns the epoch and the sequence of the last update to
// another replica.
func (registry *Registry) PositionReplica(replica request.NodeID) (Epoch, Sequence) {
	return registry.position(subscriberKey{node: replica, replica: true})
}

// mergeReplicaRecord merges a record from another replica. If this replica held
// its lease before a restart, the node gets a new lease, in which it must renew.
func (registry *Registry) mergeReplicaRecord(now time.Time, record Record) {
	known := registry.table.records[record.Node]
	if known != nil && !record.supersedes(known) {
		return
	}
	registry.mergeRecord(now, record)
	if record.Holder == registry.Self && record.isListed() {
		if _, held := registry.leases[record.Node]; !held {
			registry.leases[record.Node] = now.Add(max(registry.LeaseTime, registry.WarmUpTime))
		}
		return
	}
	delete(registry.leases, record.Node)
}

// hideMissing hides the records of a replica that are missing in its complete
// answer.
func (registry *Registry) hideMissing(now time.Time, replica request.NodeID, answer Update) {
	for _, list := range answer.Lists {
		if !list.HasRecords || list.MayLackRecords {
			return
		}
	}
	sent := map[request.NodeID]bool{}
	for _, list := range answer.Lists {
		for _, record := range list.Records {
			sent[record.Node] = true
		}
	}
	for node, record := range registry.table.records {
		if record.Holder == replica && record.isListed() && !sent[node] {
			registry.hide(now, record)
		}
	}
}

func (registry *Registry) hide(now time.Time, record *Record) {
	service := record.Service
	registry.table.hide(now, record.Node)
	registry.feed.add(record.Node, service)
}

// hideOrphans hides the records of replicas that have been silent for
// OrphanRetention.
func (registry *Registry) hideOrphans(now time.Time) {
	for replica, source := range registry.sources {
		if now.Sub(source.heardAt) < registry.OrphanRetention {
			continue
		}
		delete(registry.sources, replica)
		for _, record := range registry.table.records {
			if record.Holder == replica && record.isListed() {
				registry.hide(now, record)
			}
		}
	}
}

func (registry *Registry) replicaAnswer(receiver request.NodeID, active *activeSubscription) Update {
	list := List{HasRecords: true, MayLackRecords: active.mayLackRecords}
	for _, record := range registry.table.records {
		if registry.sharesRecord(receiver, record) {
			list.Records = append(list.Records, *record)
		}
	}
	sortRecords(list.Records)
	return Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true, Lists: []List{list}}
}

// sharesRecord reports whether another replica gets the record: its lease is held
// by this replica, or by the other one.
func (registry *Registry) sharesRecord(receiver request.NodeID, record *Record) bool {
	return !record.Hidden && (record.Holder == registry.Self || record.Holder == receiver)
}
